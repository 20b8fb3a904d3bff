package upstream

import (
	"testing"
	"time"

	core "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/world/service"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// TestBegunAttemptIsNotInterruptedForItsPrompt guards against cutting off a stream that has
// begun because a part of its prompt is suspected (soak seed 43001).
func TestBegunAttemptIsNotInterruptedForItsPrompt(t *testing.T) {
	is := is.New(t)
	p := NewPools(1, "e0", "d0", Config{}, metrics.NewSet(), logr.Discard())
	now := time.Now()
	u := service.Upstream{ID: "u1", Service: "stock"}
	interrupted := map[string]bool{}
	watch := func(name string) *Watch {
		return p.Watch(u, core.Content{Parts: []string{"a"}}, true, nil, func(Interruption) { interrupted[name] = true }, now)
	}
	begun, waiting := watch("begun"), watch("waiting")
	begun.RecordBegin()
	for _, id := range []string{"u2", "u3"} {
		p.RecordEnd(service.Upstream{ID: id, Service: "stock"}, core.Content{Parts: []string{"a"}}, "r", now)
	}
	is.True(!interrupted["begun"])
	is.True(interrupted["waiting"])
	begun.Stop()
	waiting.Stop()
}
