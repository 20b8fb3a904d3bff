package proof

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bramleydeal/internal/standin/engine"
	"github.com/matryer/is"
)

// streamCaller is a caller that reads one streamed response. When its connection breaks,
// it resumes the stream through another entry, from the last event it has received.
type streamCaller struct {
	d       *deployment
	entries []string
	prompt  string
	tokens  int
	body    string

	text strings.Builder
	// lastID is the ID of the last event received, empty for none.
	lastID string
	// seen holds the IDs of the events received.
	seen map[string]bool
	// resumed is the number of connections after the first one.
	resumed int
	// complete is set by the event [DONE], which ends the response.
	complete bool
	// failure is the final error that the caller received, empty for none.
	failure string
}

// newStreamCaller returns a caller whose request asks for the given number of tokens. If
// seeded, the request has a seed, which makes the response repeatable.
func newStreamCaller(d *deployment, entries []string, prompt string, tokens int, seeded bool) *streamCaller {
	body := map[string]any{
		"model": "quotes-1", "stream": true, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	}
	if seeded {
		body["seed"] = 1
	}
	text, err := json.Marshal(body)
	if err != nil {
		d.t.Fatal(err)
	}
	return &streamCaller{d: d, entries: entries, prompt: prompt, tokens: tokens, body: string(text), seen: map[string]bool{}}
}

// Limits of a stream caller.
const (
	// eventTimeout is how long a caller waits for the next event before it reconnects.
	eventTimeout   = 3 * time.Second
	streamAttempts = 8
	reconnectDelay = 200 * time.Millisecond
)

// run reads the stream until the response is complete, an explicit error ends it, or
// streamAttempts connections were not enough. The first connection uses the entry at
// index first.
func (c *streamCaller) run(first int) {
	for n := range streamAttempts {
		c.read(c.entries[(first+n)%len(c.entries)])
		if c.complete || c.failure != "" {
			return
		}
		c.resumed++
		time.Sleep(reconnectDelay)
	}
	c.failure = "response incomplete after all attempts"
}

// read reads the stream through one entry until the stream ends, the connection breaks
// or no event arrives within eventTimeout.
func (c *streamCaller) read(entry string) {
	ctx, cancel := context.WithCancel(c.d.t.Context())
	defer cancel()
	timer := time.AfterFunc(eventTimeout, cancel)
	defer timer.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.d.url(entry)+"/v1/chat/completions", strings.NewReader(c.body))
	if err != nil {
		c.failure = err.Error()
		return
	}
	request.Header.Set("Authorization", "Bearer "+plannersKey)
	request.Close = true
	if c.lastID != "" {
		request.Header.Set("Last-Event-ID", c.lastID)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		c.handleRefusal(response)
		return
	}
	scanner := bufio.NewScanner(response.Body)
	id, data := "", ""
	for scanner.Scan() && !c.complete && c.failure == "" {
		timer.Reset(eventTimeout)
		if v, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			id = v
		}
		if v, ok := strings.CutPrefix(scanner.Text(), "data: "); ok {
			data = v
		}
		// An empty line ends an event. An event that a broken connection interrupts
		// before that line must be ignored.
		if scanner.Text() == "" && data != "" {
			c.handleEvent(id, data)
			data = ""
		}
	}
}

// handleRefusal records a refusal as the caller's failure, unless it allows a retry.
func (c *streamCaller) handleRefusal(response *http.Response) {
	var e struct {
		Error struct {
			Code         string `json:"code"`
			RetryAllowed bool   `json:"retry-allowed"`
		} `json:"error"`
	}
	if json.NewDecoder(response.Body).Decode(&e) != nil || !e.Error.RetryAllowed {
		c.failure = fmt.Sprintf("status %d %s", response.StatusCode, e.Error.Code)
	}
}

// handleEvent processes one complete event. It fails the test if the event was received
// before.
func (c *streamCaller) handleEvent(id, data string) {
	var e struct {
		Choices []struct {
			Delta struct{ Content string } `json:"delta"`
		} `json:"choices"`
		Error *struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if data != "[DONE]" && json.Unmarshal([]byte(data), &e) != nil {
		c.failure = "malformed event " + data
		return
	}
	if e.Error != nil {
		c.failure = "error event " + e.Error.Code
		return
	}
	if c.seen[id] {
		c.d.t.Errorf("%s: event %s received twice", c.prompt, id)
	}
	c.seen[id], c.lastID = true, id
	if data == "[DONE]" {
		c.complete = true
	}
	for _, choice := range e.Choices {
		c.text.WriteString(choice.Delta.Content)
	}
}

// check fails the test unless the caller has received exactly the response to its own
// request, or the beginning of it and an explicit error.
func (c *streamCaller) check() {
	want := engine.Text(c.prompt, c.tokens)
	got := c.text.String()
	if c.complete && got != want {
		c.d.t.Errorf("%s: complete response has the wrong content: got %d bytes, want %d", c.prompt, len(got), len(want))
	}
	if !strings.HasPrefix(want, got) {
		c.d.t.Errorf("%s: received text does not belong to the request", c.prompt)
	}
	if !c.complete && c.failure == "" {
		c.d.t.Errorf("%s: neither a complete response nor an explicit error", c.prompt)
	}
}

// TestEachCallerReceivesItsCompleteResponse runs streams during one or two faults. Every
// caller must receive exactly its own response. An explicit error is allowed only in the
// case that marks it: when the entry and the agent of a stream are lost together, no
// process has the tokens already sent, and a request without a seed cannot be repeated.
func TestEachCallerReceivesItsCompleteResponse(t *testing.T) {
	engineBreaks := fault{"engine interrupts streams",
		func(d *deployment) {
			d.setKnobs(d.processes["engine-w1"].address, map[string]any{"break-after-tokens": 40})
		},
		func(d *deployment) { d.setKnobs(d.processes["engine-w1"].address, map[string]any{}) }}
	engineStalls := fault{"engine stalls",
		func(d *deployment) { d.setKnobs(d.processes["engine-w1"].address, map[string]any{"stall": true}) },
		func(d *deployment) { d.setKnobs(d.processes["engine-w1"].address, map[string]any{}) }}
	for _, c := range []struct {
		faults []fault
		// mayFail allows some callers to receive an explicit error.
		mayFail bool
		seeded  bool
	}{
		{faults: []fault{entryKilled}},
		{faults: []fault{entryStalled}},
		{faults: []fault{signalFault("w1", syscall.SIGKILL, 0)}},
		{faults: []fault{signalFault("w1", syscall.SIGSTOP, syscall.SIGCONT)}},
		{faults: []fault{signalFault("engine-w1", syscall.SIGKILL, 0)}},
		{faults: []fault{droppedTrafficFault("w1")}},
		{faults: []fault{droppedResponsesFault("w1")}},
		{faults: []fault{engineBreaks}},
		{faults: []fault{engineStalls}},
		{faults: []fault{platformDown}},
		{faults: []fault{entryKilled, signalFault("w1", syscall.SIGKILL, 0)}, mayFail: true},
		{faults: []fault{entryKilled, signalFault("w1", syscall.SIGKILL, 0)}, seeded: true},
		{faults: []fault{engineBreaks, signalFault("w2", syscall.SIGSTOP, syscall.SIGCONT)}},
		{faults: []fault{entryKilled, signalFault("w1", syscall.SIGSTOP, syscall.SIGCONT)}},
	} {
		name := map[bool]string{true: "repeatable", false: "unseeded"}[c.seeded]
		for _, f := range c.faults {
			name += ", " + f.name
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, fleetSize{entries: 3, engines: 4, services: 0}, nil)
			testStreams(t, d, c.faults, c.mayFail, c.seeded)
		})
	}
}

// Load of a test with streams.
const (
	streamCount     = 150
	tokensPerStream = 160
)

// testStreams runs streamCount streams at once during faults. Unless mayFail is set, all
// of them must be completed.
func testStreams(t *testing.T, d *deployment, faults []fault, mayFail, seeded bool) {
	is := is.New(t)
	entries := []string{"e1", "e2", "e3"}
	var group sync.WaitGroup
	streams := make([]*streamCaller, streamCount)
	for n := range streams {
		streams[n] = newStreamCaller(d, entries, fmt.Sprintf("prompt %d of seed %d", n, *seed), tokensPerStream, seeded)
		group.Go(func() { streams[n].run(n) })
	}
	time.Sleep(3 * faultDelay)
	for _, f := range faults {
		f.begin(d)
	}
	time.Sleep(faultDuration)
	for _, f := range faults {
		f.end(d)
	}
	group.Wait()
	completed, resumed, failures := 0, 0, map[string]int{}
	for _, c := range streams {
		c.check()
		resumed += c.resumed
		if c.complete {
			completed++
		} else {
			failures[c.failure]++
		}
	}
	t.Logf("%d of %d streams complete, %d reconnections, failures %v", completed, streamCount, resumed, failures)
	is.True(mayFail || completed == streamCount)
}
