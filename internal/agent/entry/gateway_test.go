package entry

import (
	"fmt"
	"testing"
	"time"

	"bramleydeal/internal/agent/upstream"
	"bramleydeal/internal/core/client"
	core "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/wire/inbound"
	"bramleydeal/internal/wire/peer"
	"github.com/matryer/is"
)

// TestEndedAnswersAreBoundedTogether guards against an agent that keeps the answers of all requests that
// ended within the resume window, however many and long they are.
func TestEndedAnswersAreBoundedTogether(t *testing.T) {
	is := is.New(t)
	const size, most = 10_000, 100_000
	now := time.Now()
	g := &gateway{
		ledger: core.NewLedger[*job]("a", 100, time.Hour, now), queue: client.NewQueue(client.QueueConfig{Slots: 1000, MaxLength: 1, MaxWait: time.Second}),
		resumable: map[string]*job{}, queued: map[uint64]*job{}, resumeWindow: time.Minute, maxBufferBytes: 1 << 20, maxEndedBytes: most, memory: (*inbound.Budget)(nil),
		start: func(*job) {},
	}
	var read *upstream.Reader
	for n := range 100 {
		j, refusal := g.admit(&peer.ExecuteRequest{Key: fmt.Sprint(n), Account: "planners"}, now.Add(time.Minute), now)
		is.True(refusal == nil)
		is.NoErr(j.response.Append(t.Context(), upstream.Chunk{Count: size, Content: make([]byte, size)}))
		if n == 0 {
			read, _ = j.response.NewReader(0, false)
		}
		j.response.End(upstream.Ending{Complete: true})
		g.finish(j, true, time.Millisecond, now)
	}
	held := 0
	for _, j := range g.resumable {
		held += j.response.Size()
	}
	is.True(held <= most+size) // and the one that is being read
	is.True(g.resumable[ledgerKey("planners", "0")] != nil)
	is.True(g.resumable[ledgerKey("planners", "99")] != nil)
	is.Equal(read.Close(), 0)
	now = now.Add(2 * time.Minute)
	g.tick(now)
	is.Equal(len(g.resumable), 0)
	j, _ := g.admit(&peer.ExecuteRequest{Key: "last", Account: "planners"}, now.Add(time.Minute), now)
	j.response.End(upstream.Ending{Complete: true})
	g.finish(j, true, time.Millisecond, now)
	is.Equal(len(g.ended), 1) // none is counted after its window
	is.Equal(g.endedBytes, jobOverheadBytes)
}
