package client

import (
	"strings"
	"time"

	"bramleydeal/internal/world/service"
)

// logAttempt logs and counts an attempt that produced no response for the
// caller.
func (f *forwarding) logAttempt(u service.Upstream, began time.Time, outcome string, err error, more ...any) {
	values := []any{
		"request", f.info.ID, "route", f.route.Name, "account", f.accountName(), "upstream", u.ID, "address", u.Address, "outcome", outcome,
		"took-ms", time.Since(began).Milliseconds(), "try", f.retryState.Attempts() + 1, "request-identity", f.identity,
	}
	if f.route.Kind == service.Stream {
		values = append(values, "events", f.events.Count()-f.eventsBefore, "prompt-parts", strings.Join(f.info.SharedParts, ","))
	}
	if err != nil {
		values = append(values, "reason", err.Error())
	}
	f.handler.counters.failedAttempt(outcome)
	f.handler.log.Info("attempt ended", append(values, more...)...)
}

// logSuccess logs the end of a successful request. Requests that succeeded at
// the first attempt are logged only up to successLogsPerSecond.
func (f *forwarding) logSuccess(status int, outcome string, more ...any) {
	if len(f.query.Exclude) == 0 && !f.handler.successLogRate.Allow(time.Now()) {
		f.handler.countSuppressed()
		return
	}
	f.log(status, outcome, more...)
}

// log logs the end of a request.
func (f *forwarding) log(status int, outcome string, more ...any) {
	values := []any{
		"request", f.info.ID, "route", f.route.Name, "account", f.accountName(), "service", f.service, "status", status,
		"configuration-version", f.configurationVersion(), "tries", f.retryState.Attempts() + 1, "took-ms", time.Since(f.arrived).Milliseconds(),
	}
	f.handler.log.Info(outcome, append(values, more...)...)
}
