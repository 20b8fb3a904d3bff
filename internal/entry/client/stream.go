package client

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	core "bramleydeal/internal/core/client"
	choice "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/entry/upstream"
	"bramleydeal/internal/world/service"
)

// errSilent is the reason of a stream that stopped without an end.
var errSilent = errors.New("the stream fell silent")

// errPartial is the reason of a stream that ended within an event.
var errPartial = errors.New("the stream ended within an event")

// relay passes on a stream of events as they arrive, whole ones only. A stream
// that breaks off can then go on elsewhere after its last event.
func (f *forwarding) relay(ctx, limited context.Context, silence *time.Timer, u service.Upstream, x *upstream.Exchange, began time.Time) core.Outcome {
	control := http.NewResponseController(f.w)
	f.events.Discard()
	buffer := make([]byte, 4<<10)
	first := time.Duration(0)
	for {
		n, err := x.Read(buffer)
		if f.route.Repeatable() {
			silence.Reset(streamSilence)
		}
		if whole := f.events.Add(buffer[:n]); len(whole) > 0 {
			if first == 0 {
				first = time.Since(began)
			}
			if !f.begun {
				f.sendHead(x.Response)
			}
			if _, failed := f.w.Write(whole); failed != nil {
				return f.left(u, failed)
			}
			if failed := control.Flush(); failed != nil {
				return f.left(u, failed)
			}
		}
		switch {
		case err == nil:
			continue
		case err == io.EOF && !f.events.Partial():
			return f.complete(u, x, first)
		case err == io.EOF:
			err = errPartial
		case limited.Err() != nil && ctx.Err() == nil:
			err = errSilent
		}
		return f.broken(ctx, u, began, err)
	}
}

// complete ends a whole stream.
func (f *forwarding) complete(u service.Upstream, x *upstream.Exchange, first time.Duration) core.Outcome {
	if !f.begun {
		f.sendHead(x.Response)
	}
	f.handler.pools.Ended(u, choice.Answered, first, time.Now())
	f.handler.count.answered(f.route, "streamed", first)
	f.logWell(x.Response.StatusCode, "streamed", "upstream", u.ID, "first-ms", first.Milliseconds(), "last-event", f.events.LastID())
	return nil
}

// left records that the caller can no longer be written to.
func (f *forwarding) left(u service.Upstream, err error) core.Outcome {
	f.handler.pools.Ended(u, choice.CallerLeft, 0, time.Now())
	f.handler.count.ended(f.route, "caller-left")
	f.log(0, "caller left", "upstream", u.ID, "reason", err.Error())
	return nil
}

// endRest ends the rest of a long answer: one that is not whole must not look so.
func (f *forwarding) endRest(err error) {
	if err != io.EOF {
		f.handler.log.Info("answer cut", "request", f.info.ID, "route", f.route.Name, "reason", err.Error())
		panic(http.ErrAbortHandler)
	}
}
