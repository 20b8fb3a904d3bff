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

// eventEnd returns the length of the first event in text with its break, 0
// when the event is not complete.
func eventEnd(text []byte) int {
	if i := bytes.Index(text, eventBreak); i >= 0 {
		return i + len(eventBreak)
	}
	return 0
}

// splitter turns the bytes of an event stream into pieces of whole events,
// each event with an id by which its reader can come back.
type eventSplitter struct {
	// handle names the stream in event ids.
	streamID string
	position uint64
	// skip is the number of events to pass over first.
	skip       uint64
	incomplete []byte
	sawDone    bool
}

// feed adds bytes and returns the piece of the events that they complete.
func (s *eventSplitter) split(text []byte) (Chunk, bool) {
	s.incomplete = append(s.incomplete, text...)
	piece := Chunk{Position: s.position}
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
		piece.Count++
	}
	s.incomplete = append([]byte(nil), s.incomplete...)
	piece.Content = content
	return piece, piece.Count > 0
}

// appendEvent adds an event with its id in place of the upstream's own.
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
