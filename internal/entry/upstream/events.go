package upstream

import (
	"bytes"
)

// Events splits a stream of server-sent events into whole ones.
type Events struct {
	pending []byte
	lastID  string
}

// Add takes the next bytes of the stream and returns those that end whole
// events, as they are. The result is valid until the next call.
func (e *Events) Add(p []byte) []byte {
	e.pending = append(e.pending, p...)
	end := endOfEvents(e.pending)
	// Blank lines after an event belong to none.
	if blank := bytes.TrimLeft(e.pending[end:], "\r\n"); len(blank) == 0 {
		end = len(e.pending)
	}
	if end == 0 {
		return nil
	}
	whole := bytes.Clone(e.pending[:end])
	e.pending = append(e.pending[:0], e.pending[end:]...)
	if id, ok := lastID(whole); ok {
		e.lastID = id
	}
	return whole
}

// LastID returns the id of the last whole event, empty without one.
func (e *Events) LastID() string { return e.lastID }

// Partial tells whether the stream stands in the middle of an event.
func (e *Events) Partial() bool { return len(bytes.TrimSpace(e.pending)) > 0 }

// Discard forgets the beginning of an event that will not be completed.
func (e *Events) Discard() { e.pending = e.pending[:0] }

// blankLines are the ends of an event.
var blankLines = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n"), []byte("\r\r")}

// endOfEvents returns where the last whole event ends, 0 without one.
func endOfEvents(p []byte) int {
	end := 0
	for _, b := range blankLines {
		if i := bytes.LastIndex(p, b); i >= 0 {
			end = max(end, i+len(b))
		}
	}
	return end
}

// lastID returns the last id field of whole events.
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
