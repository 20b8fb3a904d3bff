package upstream

import (
	"bytes"
)

// EventSplitter splits a stream of server-sent events into complete events. The
// zero value is ready to use.
type EventSplitter struct {
	pending []byte
	lastID  string
	count   int
	// order is the order of the event IDs so far.
	order eventOrder
	// resumed is set once the stream goes on at another upstream, discontinuous once an event
	// did not follow the one before it then.
	resumed, discontinuous bool
}

// Add appends the next bytes of the stream and returns the complete events so
// far that were not yet returned, unchanged, or nil if there are none. It returns none that do
// not follow the events of the upstream before.
func (e *EventSplitter) Add(p []byte) []byte {
	if e.discontinuous {
		return nil
	}
	e.pending = append(e.pending, p...)
	end := endOfEvents(e.pending)
	// Further blank lines after an event are returned at once; they belong to
	// no event.
	if blank := bytes.TrimLeft(e.pending[end:], "\r\n"); len(blank) == 0 {
		end = len(e.pending)
	}
	if end == 0 {
		return nil
	}
	complete := bytes.Clone(e.pending[:end])
	if !e.order.follow(complete) {
		if e.resumed {
			e.discontinuous = true
			return nil
		}
		e.order.unknown = true // the upstream's own disorder is passed on
	}
	e.pending = append(e.pending[:0], e.pending[end:]...)
	e.count += countEvents(complete)
	if id, ok := lastID(complete); ok {
		e.lastID = id
	}
	return complete
}

// Count returns the number of complete events so far.
func (e *EventSplitter) Count() int { return e.count }

// countEvents returns the number of events in p, which holds complete ones.
func countEvents(p []byte) int {
	n := 0
	for _, b := range eventTerminators {
		n += bytes.Count(p, b)
	}
	return n
}

// LastID returns the last event ID in the complete events, empty if none.
func (e *EventSplitter) LastID() string { return e.lastID }

// Partial reports whether the stream so far ends within an event.
func (e *EventSplitter) Partial() bool { return len(bytes.TrimSpace(e.pending)) > 0 }

// maxEvent is the longest event in bytes, so that an event without end does not use up the
// memory.
const maxEvent = 128 << 10

// TooLong reports whether the stream so far ends within an event that is longer than any may
// be.
func (e *EventSplitter) TooLong() bool { return len(e.pending) > maxEvent }

// Resume prepares for the stream of another upstream, which goes on after the last complete
// event. The bytes of an incomplete one are discarded.
func (e *EventSplitter) Resume() {
	e.pending, e.discontinuous = e.pending[:0], false
	e.resumed = e.resumed || e.count > 0
}

// Resumable reports whether an upstream can be told after which event the stream is to go on.
func (e *EventSplitter) Resumable() bool { return e.count == 0 || e.lastID != "" }

// Discontinuous reports whether an event did not follow those of the upstream before.
func (e *EventSplitter) Discontinuous() bool { return e.discontinuous }

// eventTerminators are the byte sequences that end an event.
var eventTerminators = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n"), []byte("\r\r")}

// endOfEvents returns the offset at which the last complete event in p ends, 0
// if there is none.
func endOfEvents(p []byte) int {
	end := 0
	for _, b := range eventTerminators {
		if i := bytes.LastIndex(p, b); i >= 0 {
			end = max(end, i+len(b))
		}
	}
	return end
}

// lastID returns the value of the last id field in complete events, and whether
// there is one.
func lastID(p []byte) (string, bool) {
	for _, prefix := range [][]byte{[]byte("\nid:"), []byte("\rid:")} {
		if i := bytes.LastIndex(p, prefix); i >= 0 {
			return idValue(p[i+len(prefix):]), true
		}
	}
	if rest, ok := bytes.CutPrefix(p, []byte("id:")); ok {
		return idValue(rest), true
	}
	return "", false
}

func idValue(rest []byte) string {
	if i := bytes.IndexAny(rest, "\r\n"); i >= 0 {
		rest = rest[:i]
	}
	return string(bytes.TrimPrefix(rest, []byte(" ")))
}
