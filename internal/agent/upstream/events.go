package upstream

import (
	"bytes"
	"strconv"
)

var (
	eventBreak = []byte("\n\n")
	doneEvent  = []byte("data: [DONE]")
	idField    = []byte("id:")
)

// eventEnd returns the length of the first event in data including the empty line that
// ends it, 0 when the event is not complete.
func eventEnd(data []byte) int {
	if i := bytes.Index(data, eventBreak); i >= 0 {
		return i + len(eventBreak)
	}
	return 0
}

// eventSplitter splits the bytes of an event stream into chunks of whole events. It gives
// each event an id, from which a caller can resume the stream.
type eventSplitter struct {
	// streamID identifies the stream in event ids.
	streamID string
	position uint64
	// skip is the number of events that are still to be left out.
	skip       uint64
	incomplete []byte
	sawDone    bool
}

// split adds bytes and returns the chunk of the events that they complete. It reports
// false when they complete none.
func (s *eventSplitter) split(data []byte) (Chunk, bool) {
	s.incomplete = append(s.incomplete, data...)
	chunk := Chunk{Position: s.position}
	var content []byte
	for {
		n := eventEnd(s.incomplete)
		if n == 0 {
			break
		}
		event := s.incomplete[:n]
		s.incomplete = s.incomplete[n:]
		s.sawDone = s.sawDone || bytes.HasPrefix(event, doneEvent)
		if s.skip > 0 {
			s.skip--
			continue
		}
		content = s.appendEvent(content, event)
		s.position++
		chunk.Count++
	}
	s.incomplete = append([]byte(nil), s.incomplete...)
	chunk.Content = content
	return chunk, chunk.Count > 0
}

// appendEvent appends an event to a buffer with an id of the form STREAM-POSITION, which
// replaces any id that the upstream set.
func (s *eventSplitter) appendEvent(to, event []byte) []byte {
	to = append(to, "id: "...)
	to = append(to, s.streamID...)
	to = append(to, '-')
	to = strconv.AppendUint(to, s.position, 10)
	to = append(to, '\n')
	if !bytes.Contains(event, idField) {
		return append(to, event...)
	}
	for _, line := range bytes.SplitAfter(event, []byte("\n")) {
		if !bytes.HasPrefix(line, idField) {
			to = append(to, line...)
		}
	}
	return to
}
