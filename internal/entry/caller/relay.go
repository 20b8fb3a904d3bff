package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"bramleydeal/internal/entry/agent"
	"bramleydeal/internal/wire/header"
	"bramleydeal/internal/wire/inbound"
	"bramleydeal/internal/world/answer"
)

// maxBuffered limits the bytes of a response that a relay keeps, so that it can
// restart the response at another upstream or continue after the tokens that
// the caller has.
const maxBuffered = 1 << 20

// bufferFactor is the memory that a byte which is kept takes: buffers that grow have room for more.
const bufferFactor = 2

// relay writes one response to a caller, each event or byte once, even if it
// comes from several agents.
type relay struct {
	w      http.ResponseWriter
	events bool
	// position is the number of events or bytes that were sent to the caller or
	// are buffered for it.
	position uint64
	head     *agent.Head
	headSent bool
	// buffered holds the events already sent, or the bytes not yet sent.
	buffered []byte
	// overflow is true once the events sent were too long to be kept.
	overflow bool
	// headArrivedAt is when head arrived.
	headArrivedAt time.Time
	// callerGone is true once a write to the caller failed.
	callerGone bool
	// extraHeaders are response headers that the entry adds.
	extraHeaders map[string]string
	// connection counts what is buffered, nil if nothing does.
	connection *inbound.Conn
}

// newRelay returns a relay to w, on the given connection, for a caller that has received everything before
// position. events is true if the response is an event stream.
func newRelay(w http.ResponseWriter, connection *inbound.Conn, events bool, position uint64) *relay {
	return &relay{w: w, connection: connection, events: events, position: position, extraHeaders: map[string]string{}}
}

// start handles the head of a response. Only the first head is used, unless
// restart has discarded it.
func (o *relay) start(h agent.Head) {
	if o.head == nil {
		o.head = &h
		o.headArrivedAt = time.Now()
	}
	if o.events && !o.headSent {
		o.sendHead()
	}
}

// accepts reports whether a response with the given head may be relayed. It may not go on with a
// stream that began as a response of another kind: its text would be sent within the stream.
func (o *relay) accepts(h agent.Head) bool {
	return !o.events || !o.headSent || h.Status == o.head.Status && header.IsEventStream(contentType(h)) == header.IsEventStream(contentType(*o.head))
}

// contentType returns the type of a response's content.
func contentType(h agent.Head) string {
	for _, x := range h.Headers {
		if x.Name == "Content-Type" {
			return x.Value
		}
	}
	return ""
}

func (o *relay) sendHead() {
	out := o.w.Header()
	for _, x := range o.head.Headers {
		if x.Name != "Content-Length" || !o.events {
			out.Add(x.Name, x.Value)
		}
	}
	for name, value := range o.extraHeaders {
		out.Set(name, value)
	}
	o.w.WriteHeader(o.head.Status)
	o.headSent = true
}

// add handles the next part of the response and drops what the caller already
// has. It reports false if a part before it is missing.
func (o *relay) add(d agent.Data) bool {
	if d.Position > o.position {
		return false
	}
	if d.Position+d.Count <= o.position {
		return true
	}
	content := d.Content
	if skip := o.position - d.Position; skip > 0 {
		content = o.dropKnown(content, skip)
	}
	o.position = d.Position + d.Count
	if o.events {
		o.sendEvents(content)
	} else {
		o.addBytes(content)
	}
	return true
}

// dropKnown removes the first n events or bytes of content.
func (o *relay) dropKnown(content []byte, n uint64) []byte {
	if !o.events {
		return content[n:]
	}
	for range n {
		content = content[bytes.Index(content, []byte("\n\n"))+2:]
	}
	return content
}

// sendEvents sends events and keeps a copy of them for resumption.
func (o *relay) sendEvents(content []byte) {
	if !o.overflow && o.mayBuffer(content) {
		o.buffered = append(o.buffered, content...)
	} else {
		o.overflow, o.buffered = true, nil
	}
	o.write(content)
}

// addBytes buffers bytes until the response is complete, so that it can be
// restarted at another upstream. A response longer than maxBuffered is sent as
// it arrives.
func (o *relay) addBytes(content []byte) {
	if !o.headSent && o.mayBuffer(content) {
		o.buffered = append(o.buffered, content...)
		return
	}
	o.sendBuffered()
	o.write(content)
}

// mayBuffer reports whether a part of the response may be kept, for which it takes memory.
func (o *relay) mayBuffer(content []byte) bool {
	return len(o.buffered)+len(content) <= maxBuffered && o.connection.Reserve(bufferFactor*int64(len(content)))
}

// sendBuffered sends the head and the buffered bytes, unless they were sent.
func (o *relay) sendBuffered() {
	if !o.headSent {
		o.sendHead()
		o.write(o.buffered)
		o.buffered = nil
	}
}

// write sends content to the caller at once and notes when the caller is gone.
func (o *relay) write(content []byte) {
	if len(content) == 0 || o.callerGone {
		return
	}
	if _, err := o.w.Write(content); err != nil {
		o.callerGone = true
		return
	}
	if f, ok := o.w.(http.Flusher); ok {
		f.Flush()
	}
}

// firstByteAt returns when the response started to arrive, zero if it has not.
func (o *relay) firstByteAt() time.Time { return o.headArrivedAt }

// finish sends what is still buffered of a complete response.
func (o *relay) finish() {
	if !o.events || !o.headSent {
		o.sendBuffered()
	}
}

// restart prepares the relay for another attempt. Bytes start again at position
// 0; it reports false if the caller already has some of them. Events continue
// at the current position, but an error response that has begun has none.
func (o *relay) restart() bool {
	if o.events {
		return !o.headSent || o.head.Status == http.StatusOK
	}
	if o.headSent {
		return false
	}
	o.head, o.buffered, o.position = nil, nil, 0
	return true
}

// abort tells the caller that a started response will not be completed: by an
// error event, or by closing the connection.
func (o *relay) abort(r *answer.Refusal, id string) {
	if !o.events {
		// After the head, HTTP/1.1 leaves no other way to report an error.
		panic(http.ErrAbortHandler)
	}
	o.write(append(append([]byte("data: "), r.OpenAI(id)...), "\n\n"...))
}

// resumption is what an engine needs to continue a response: the tokens that
// the caller has, as text.
type resumption struct {
	ID      string `json:"id"`
	Created int64  `json:"created"`
	Tokens  int    `json:"tokens"`
	Text    string `json:"text"`
}

// completionChunk is the data of an event of a streamed chat completion.
type completionChunk struct {
	ID      string `json:"id"`
	Created int64  `json:"created"`
	Choices []struct {
		Index int `json:"index"`
		Delta struct {
			Content *string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// resumption returns the resumption after the events that were sent to the
// caller. It reports false if they cannot be continued: there are none, they
// were too long to be kept, have several choices, are complete, or cannot be
// parsed.
func (o *relay) resumption() (resumption, bool) {
	var out resumption
	if o.overflow || len(o.buffered) == 0 {
		return out, false
	}
	var text strings.Builder
	for line := range bytes.Lines(o.buffered) {
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		var c completionChunk
		if json.Unmarshal(data, &c) != nil || len(c.Choices) != 1 || c.Choices[0].Index != 0 {
			return out, false
		}
		out.ID, out.Created = c.ID, c.Created
		if delta := c.Choices[0].Delta.Content; delta != nil && *delta != "" {
			text.WriteString(*delta)
			out.Tokens++
		}
		if c.Choices[0].FinishReason != nil {
			return out, false
		}
	}
	out.Text = text.String()
	return out, true
}

// withResumption returns the request's body with the resume member added.
func withResumption(body []byte, r resumption) ([]byte, error) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(body, &members); err != nil {
		return nil, err
	}
	value, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	members["resume"] = value
	return json.Marshal(members)
}
