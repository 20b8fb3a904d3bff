package client

import (
	"context"
	"errors"
	"time"

	core "bramleydeal/internal/core/client"
	coreupstream "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/entry/upstream"
	"bramleydeal/internal/wire/dial"
	"bramleydeal/internal/world/service"
)

// recordInterruption records an attempt that was interrupted because of what became known
// meanwhile, which says nothing of its upstream alone.
func (f *forwarding) recordInterruption(u service.Upstream, began time.Time, err error) core.Outcome {
	outcome, text := coreupstream.CallerLeft, "held back"
	if upstream.Interruption(f.interruption.Load()) == upstream.GroupStopped {
		outcome, text = coreupstream.GroupStalled, "group stopped"
	}
	f.handler.pools.RecordOutcome(u, outcome, 0, time.Now())
	f.logAttempt(u, began, text, err)
	if errors.Is(err, upstream.ErrUnsent) {
		return core.Unsent{}
	}
	return core.Lost{}
}

// minProgress is the number of events in an attempt from which on it has made progress. The
// first one may have left an upstream that ended on the request.
const minProgress = 2

// content returns what the request consists of.
func (f *forwarding) content() coreupstream.Content {
	return coreupstream.Content{Identity: f.identity, Parts: f.info.SharedParts}
}

// recordProgress records that the current attempt has made progress.
func (f *forwarding) recordProgress() {
	if !f.progressed {
		f.progressed = true
		f.watch.RecordProgress(time.Now())
	}
}

// checkEnd checks whether an upstream that lost an attempt has ended. If so, and the attempt
// had made no progress, the content of the request is implicated.
func (f *forwarding) checkEnd(ctx context.Context, u service.Upstream) {
	if !dial.Refused(ctx, u.Address) {
		return
	}
	var content coreupstream.Content
	if !f.progressed {
		content = f.content()
	}
	f.handler.pools.RecordEnd(u, content, f.info.ID, time.Now())
}
