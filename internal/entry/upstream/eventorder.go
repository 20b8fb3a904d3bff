package upstream

import (
	"bytes"
	"strconv"
)

// eventOrder tells whether the events of a stream follow each other by their IDs. The zero value
// is that of a stream without events.
type eventOrder struct {
	// first and last are the IDs of the first and the last event, count is their number.
	first, last, count uint64
	// unknown is set once an event had no ID or one that is no number.
	unknown bool
}

// follow reports whether complete events follow those before. If so, they count among those from
// now on. IDs must rise, by one if they have done so until now.
func (o *eventOrder) follow(events []byte) bool {
	next := *o
	for event := range splitEvents(events) {
		if isComment(event) {
			continue
		}
		text, _ := lastID(event)
		id, err := strconv.ParseUint(text, 10, 64)
		switch {
		case err != nil:
			if o.count > 0 && !o.unknown {
				return false
			}
			next.unknown = true
		case next.unknown:
		case next.count == 0:
			next.first = id
		case id <= next.last, next.risesByOne() && id != next.last+1:
			return false
		}
		next.last = id
		next.count++
	}
	*o = next
	return true
}

// risesByOne reports whether the IDs of several events rose by one.
func (o *eventOrder) risesByOne() bool { return o.count > 1 && o.last-o.first+1 == o.count }

// splitEvents yields the events in p, which holds complete ones, without the line ends around them.
func splitEvents(p []byte) func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(p) > 0 {
			end := len(p)
			for _, t := range eventTerminators {
				if i := bytes.Index(p, t); i >= 0 {
					end = min(end, i+len(t))
				}
			}
			if event := bytes.Trim(p[:end], "\r\n"); len(event) > 0 && !yield(event) {
				return
			}
			p = p[end:]
		}
	}
}

// isComment reports whether an event consists of comments.
func isComment(event []byte) bool {
	for line := range bytes.FieldsFuncSeq(event, func(r rune) bool { return r == '\r' || r == '\n' }) {
		if line[0] != ':' {
			return false
		}
	}
	return true
}
