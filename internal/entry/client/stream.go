package client

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	core "bramleydeal/internal/core/client"
	coreupstream "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/entry/upstream"
	"bramleydeal/internal/wire/header"
	"bramleydeal/internal/world/service"
)

// errStalled means that a stream had no event for stallTimeout.
var errStalled = errors.New("the stream stalled")

// errTruncatedEvent means that a stream ended within an event.
var errTruncatedEvent = errors.New("the stream ended within an event")

// errNotContinued means that an upstream did not go on with the stream that another one had begun.
var errNotContinued = errors.New("the response does not go on with the stream")

// errEventTooLong means that a stream had an event that is longer than any may be.
var errEventTooLong = errors.New("an event of the stream is too long")

// relayStream sends the events of a stream to the caller as they arrive, each
// only once it is complete. An interrupted stream can therefore resume at
// another upstream after its last event.
func (f *forwarding) relayStream(ctx, attemptCtx context.Context, stallTimer *time.Timer, u service.Upstream, x *upstream.Exchange, began time.Time) core.Outcome {
	control := http.NewResponseController(f.w)
	f.events.Resume()
	buffer := make([]byte, 4<<10)
	timeToFirst := time.Duration(0)
	lastEventAt := time.Time{}
	for {
		n, err := x.Read(buffer)
		if events := f.events.Add(buffer[:n]); len(events) > 0 {
			lastEventAt = f.recordPause(u, lastEventAt, time.Now())
			if f.route.Repeatable() {
				// Bytes alone are no progress: a stalled upstream may still send some.
				stallTimer.Reset(f.stallTimeout())
			}
			if f.events.Count()-f.eventsBefore >= minProgress {
				f.recordProgress()
			}
			if timeToFirst == 0 {
				f.watch.RecordBegin()
				timeToFirst = time.Since(began)
				f.handler.pools.RecordFirstEvent(u, f.info.ID, began, time.Now())
			}
			if !f.headSent {
				f.sendHead(x.Response)
			}
			if _, writeErr := f.w.Write(events); writeErr != nil {
				return f.recordCallerGone(u, writeErr)
			}
			if flushErr := control.Flush(); flushErr != nil {
				return f.recordCallerGone(u, flushErr)
			}
		}
		switch {
		case f.events.Discontinuous():
			err = errNotContinued
		case f.events.TooLong():
			err = errEventTooLong
		case err == nil:
			continue
		case err == io.EOF && !f.events.Partial():
			return f.finishStream(u, x, timeToFirst)
		case err == io.EOF:
			err = errTruncatedEvent
		case attemptCtx.Err() != nil && ctx.Err() == nil:
			err = errStalled
		}
		return f.recordFailure(ctx, u, began, err)
	}
}

// continues reports whether a response may go on with the stream whose head was sent to the
// caller. Its events are checked as they arrive.
func (f *forwarding) continues(r *http.Response) bool {
	return r.StatusCode == f.statusSent && header.IsEventStream(r.Header.Get("Content-Type"))
}

// recordPause records the time since the last event of a stream, zero for the first one. It
// returns the time of the last event.
func (f *forwarding) recordPause(u service.Upstream, last, now time.Time) time.Time {
	if !last.IsZero() {
		f.handler.pools.RecordPause(u, now.Sub(last), now)
	}
	return now
}

// stallTimeout returns how long the route's streams may have no event before their
// upstream is considered lost.
func (f *forwarding) stallTimeout() time.Duration {
	return time.Duration(stallShare * float64(f.route.Patience()))
}

// finishStream records that the caller received the complete stream.
func (f *forwarding) finishStream(u service.Upstream, x *upstream.Exchange, timeToFirst time.Duration) core.Outcome {
	f.recordProgress()
	if !f.headSent {
		f.sendHead(x.Response)
	}
	f.handler.pools.RecordOutcome(u, coreupstream.Answered, timeToFirst, time.Now())
	f.handler.counters.completed(f.route, "streamed", timeToFirst)
	f.logSuccess(x.Response.StatusCode, "streamed", "upstream", u.ID, "first-ms", timeToFirst.Milliseconds(), "last-event", f.events.LastID())
	return nil
}

// recordCallerGone records that a write to the caller failed.
func (f *forwarding) recordCallerGone(u service.Upstream, err error) core.Outcome {
	f.handler.pools.RecordOutcome(u, coreupstream.CallerLeft, 0, time.Now())
	f.handler.counters.ended(f.route, "caller-left")
	f.log(0, "caller left", "upstream", u.ID, "reason", err.Error())
	return nil
}

// finishRest handles the end of the rest of a long response. If the response
// was interrupted, it aborts the connection, so that the caller does not take
// it for complete.
func (f *forwarding) finishRest(err error) {
	if err != io.EOF {
		f.handler.log.Info("response interrupted; closing the caller's connection", "request", f.info.ID, "route", f.route.Name, "reason", err.Error())
		panic(http.ErrAbortHandler)
	}
}
