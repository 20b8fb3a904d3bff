package upstream

import (
	"testing"
	"time"
)

// BenchmarkPoolChoose measures the choice among the upstreams of two groups of 96 ranks, with
// the record of its outcome.
func BenchmarkPoolChoose(b *testing.B) {
	p := newTestPool(groupedUpstreams(96))
	for b.Loop() {
		u, ok := p.Choose(PoolQuery{}, testNow)
		if !ok {
			b.Fatal("no upstream is chosen")
		}
		p.RecordOutcome(u.ID, Answered, time.Millisecond, testNow)
	}
}

// BenchmarkPoolChooseReported is BenchmarkPoolChoose with upstreams that all reported their load
// lately.
func BenchmarkPoolChooseReported(b *testing.B) {
	p := newTestPool(groupedUpstreams(96))
	for _, m := range p.members {
		p.RecordLoad(m.ID, 4, 0, testNow)
	}
	for b.Loop() {
		u, ok := p.Choose(PoolQuery{}, testNow.Add(time.Second))
		if !ok {
			b.Fatal("no upstream is chosen")
		}
		p.RecordOutcome(u.ID, Answered, time.Millisecond, testNow.Add(time.Second))
	}
}
