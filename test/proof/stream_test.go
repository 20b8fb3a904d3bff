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

// streamCaller reads one answer to its end, coming back through other entries
// when its connection breaks.
type streamCaller struct {
	d       *deployment
	entries []string
	prompt  string
	tokens  int
	body    string

	text    strings.Builder
	lastID  string
	seen    map[string]bool
	resumed int
	done    bool
	// failure is the explicit error that the caller was given, if any.
	failure string
}

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

// Times of a stream's caller.
const (
	// quietLimit is how long a caller waits for the next event.
	quietLimit   = 3 * time.Second
	streamTries  = 8
	comeBackWait = 200 * time.Millisecond
)

// run reads until the answer is whole or an explicit error ends it.
func (c *streamCaller) run(first int) {
	for n := range streamTries {
		c.read(c.entries[(first+n)%len(c.entries)])
		if c.done || c.failure != "" {
			return
		}
		c.resumed++
		time.Sleep(comeBackWait)
	}
	c.failure = "gave up"
}

// read follows the stream through one entry until it ends or breaks.
func (c *streamCaller) read(entry string) {
	ctx, cancel := context.WithCancel(c.d.t.Context())
	defer cancel()
	quiet := time.AfterFunc(quietLimit, cancel)
	defer quiet.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.d.url(entry)+"/v1/chat/completions", strings.NewReader(c.body))
	if err != nil {
		c.failure = err.Error()
		return
	}
	request.Header.Set("Authorization", "Bearer "+key)
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
		c.refused(response)
		return
	}
	lines := bufio.NewScanner(response.Body)
	id, data := "", ""
	for lines.Scan() && !c.done && c.failure == "" {
		quiet.Reset(quietLimit)
		if v, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			id = v
		}
		if v, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			data = v
		}
		// The empty line ends an event; one that a broken connection cuts short
		// before it is none.
		if lines.Text() == "" && data != "" {
			c.event(id, data)
			data = ""
		}
	}
}

// refused notes a refusal; one that allows a retry is no end.
func (c *streamCaller) refused(response *http.Response) {
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

func (c *streamCaller) event(id, data string) {
	var e struct {
		Choices []struct {
			Delta struct{ Content string } `json:"delta"`
		} `json:"choices"`
		Error *struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if data != "[DONE]" && json.Unmarshal([]byte(data), &e) != nil {
		c.failure = "broken event " + data
		return
	}
	if e.Error != nil {
		c.failure = "error event " + e.Error.Code
		return
	}
	if c.seen[id] {
		c.d.t.Errorf("%s: event %s came twice", c.prompt, id)
	}
	c.seen[id], c.lastID = true, id
	if data == "[DONE]" {
		c.done = true
	}
	for _, choice := range e.Choices {
		c.text.WriteString(choice.Delta.Content)
	}
}

// check fails the test unless what the caller has is exactly its own answer, or
// its beginning before an explicit error.
func (c *streamCaller) check() {
	want := engine.Text(c.prompt, c.tokens)
	got := c.text.String()
	if c.done && got != want {
		c.d.t.Errorf("%s: %d bytes instead of %d", c.prompt, len(got), len(want))
	}
	if !strings.HasPrefix(want, got) {
		c.d.t.Errorf("%s: the answer is not the request's own", c.prompt)
	}
	if !c.done && c.failure == "" {
		c.d.t.Errorf("%s: neither whole nor an explicit error", c.prompt)
	}
}

// TestEachCallerReceivesItsWholeAnswer has streams under way while things fail.
func TestEachCallerReceivesItsWholeAnswer(t *testing.T) {
	engineBreaks := fault{"engine breaks off streams",
		func(d *deployment) {
			d.knobs(d.processes["engine-w1"].address, map[string]any{"break-after-tokens": 40})
		},
		func(d *deployment) { d.knobs(d.processes["engine-w1"].address, map[string]any{}) }}
	engineStalls := fault{"engine stalls",
		func(d *deployment) { d.knobs(d.processes["engine-w1"].address, map[string]any{"stall": true}) },
		func(d *deployment) { d.knobs(d.processes["engine-w1"].address, map[string]any{}) }}
	for _, c := range []struct {
		faults []fault
		// mayFail tells that some callers may get an explicit error.
		mayFail bool
		seeded  bool
	}{
		{faults: []fault{entryKilled}},
		{faults: []fault{entryFrozen}},
		{faults: []fault{signalFault("w1", syscall.SIGKILL, 0)}},
		{faults: []fault{signalFault("w1", syscall.SIGSTOP, syscall.SIGCONT)}},
		{faults: []fault{signalFault("engine-w1", syscall.SIGKILL, 0)}},
		{faults: []fault{cutFault("w1")}},
		{faults: []fault{lostAnswersFault("w1")}},
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
			d := deploy(t, size{entries: 3, engines: 4, services: 0}, nil)
			runStreamsUnder(t, d, c.faults, c.mayFail, c.seeded)
		})
	}
}

const (
	streams      = 150
	streamTokens = 160
)

func runStreamsUnder(t *testing.T, d *deployment, faults []fault, mayFail, seeded bool) {
	is := is.New(t)
	entries := []string{"e1", "e2", "e3"}
	var group sync.WaitGroup
	all := make([]*streamCaller, streams)
	for n := range all {
		all[n] = newStreamCaller(d, entries, fmt.Sprintf("prompt %d of seed %d", n, *seed), streamTokens, seeded)
		group.Go(func() { all[n].run(n) })
	}
	time.Sleep(3 * faultAfter)
	for _, f := range faults {
		f.begin(d)
	}
	time.Sleep(faultFor)
	for _, f := range faults {
		f.end(d)
	}
	group.Wait()
	whole, resumed, failures := 0, 0, map[string]int{}
	for _, c := range all {
		c.check()
		resumed += c.resumed
		if c.done {
			whole++
		} else {
			failures[c.failure]++
		}
	}
	t.Logf("%d of %d whole, callers came back %d times, failures %v", whole, streams, resumed, failures)
	is.True(mayFail || whole == streams)
}
