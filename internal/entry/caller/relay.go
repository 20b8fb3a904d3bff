package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"bramleydeal/internal/entry/agent"
	"bramleydeal/internal/world/answer"
)

// maxHeld bounds the bytes of an answer that a relay keeps, to begin it anew
// elsewhere or to go on from the tokens that the caller has.
const maxHeld = 1 << 20

// relay writes one answer to a caller, each event or byte once, whatever
// number of agents it comes from.
type relay struct {
	w      http.ResponseWriter
	events bool
	// position is the number of events or bytes that the caller has, or that
	// are held back for it.
	position uint64
	head     *agent.Head
	headSent bool
	// held are the events sent, or the bytes not yet sent.
	held     []byte
	overflow bool
	// first is when the answer began to arrive.
	first time.Time
	// gone is set once the caller can no longer be written to.
	gone bool
	// extra are headers of the entry's own.
	extra map[string]string
}

func newRelay(w http.ResponseWriter, events bool, position uint64) *relay {
	return &relay{w: w, events: events, position: position, extra: map[string]string{}}
}

// begin takes the head of an answer. The first one counts.
func (o *relay) begin(h agent.Head) {
	if o.head == nil {
		o.head = &h
		o.first = time.Now()
	}
	if o.events && !o.headSent {
		o.sendHead()
	}
}

func (o *relay) sendHead() {
	header := o.w.Header()
	for _, x := range o.head.Headers {
		if x.Name != "Content-Length" || !o.events {
			header.Add(x.Name, x.Value)
		}
	}
	for name, value := range o.extra {
		header.Set(name, value)
	}
	o.w.WriteHeader(o.head.Status)
	o.headSent = true
}

// add takes the next part of the answer and drops what the caller has already.
// It reports false when a part is missing before it.
func (o *relay) add(d agent.Data) bool {
	if d.Position > o.position {
		return false
	}
	if d.Position+d.Count <= o.position {
		return true
	}
	content := d.Content
	if skip := o.position - d.Position; skip > 0 {
		content = o.skip(content, skip)
	}
	o.position = d.Position + d.Count
	if o.events {
		o.sendEvents(content)
	} else {
		o.hold(content)
	}
	return true
}

func (o *relay) skip(content []byte, n uint64) []byte {
	if !o.events {
		return content[n:]
	}
	for range n {
		content = content[bytes.Index(content, []byte("\n\n"))+2:]
	}
	return content
}

func (o *relay) sendEvents(content []byte) {
	if len(o.held)+len(content) <= maxHeld && !o.overflow {
		o.held = append(o.held, content...)
	} else {
		o.overflow, o.held = true, nil
	}
	o.write(content)
}

// hold keeps bytes back until the answer is whole, so that it can be begun
// anew at another upstream; a long one is let go.
func (o *relay) hold(content []byte) {
	if !o.headSent && len(o.held)+len(content) <= maxHeld {
		o.held = append(o.held, content...)
		return
	}
	o.release()
	o.write(content)
}

func (o *relay) release() {
	if !o.headSent {
		o.sendHead()
		o.write(o.held)
		o.held = nil
	}
}

func (o *relay) write(content []byte) {
	if len(content) == 0 || o.gone {
		return
	}
	if _, err := o.w.Write(content); err != nil {
		o.gone = true
		return
	}
	if f, ok := o.w.(http.Flusher); ok {
		f.Flush()
	}
}

// firstByte returns when the answer began to arrive, zero before.
func (o *relay) firstByte() time.Time { return o.first }

// finish ends a whole answer.
func (o *relay) finish() {
	if !o.events || !o.headSent {
		o.release()
	}
}

// restart makes the relay ready for the answer to begin anew at its first
// byte. It reports false when the caller has part of it already.
func (o *relay) restart() bool {
	if o.events {
		return true
	}
	if o.headSent {
		return false
	}
	o.head, o.held, o.position = nil, nil, 0
	return true
}

// breakOff tells the caller that an answer that has begun will not be whole.
func (o *relay) breakOff(r *answer.Refusal, id string) {
	if !o.events {
		// Closing the connection is all that HTTP leaves to say it.
		panic(http.ErrAbortHandler)
	}
	o.write(append(append([]byte("data: "), r.OpenAI(id)...), "\n\n"...))
}

// resumption is what an engine needs to go on with an answer: the tokens that
// the caller has, as text.
type resumption struct {
	ID      string `json:"id"`
	Created int64  `json:"created"`
	Tokens  int    `json:"tokens"`
	Text    string `json:"text"`
}

type chunk struct {
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

// resumption reads the events that the caller has. It reports false when they
// can't be continued: too long to be kept, several choices, or not understood.
func (o *relay) resumption() (resumption, bool) {
	var out resumption
	if o.overflow || len(o.held) == 0 {
		return out, false
	}
	var text strings.Builder
	for line := range bytes.Lines(o.held) {
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		var c chunk
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

// withResumption adds the resume member to a request's body.
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
