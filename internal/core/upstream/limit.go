package upstream

import (
	"slices"
	"time"

	"bramleydeal/internal/core/instance"
	"bramleydeal/internal/world/fleet"
	"bramleydeal/internal/world/service"
)

// Parameters of the shares in an upstream's limit.
const (
	// minSenders is the least number of processes that share a limit. One of them may
	// be down.
	minSenders = 2
	// sendersPerLimit is how many more processes share it for each request per second
	// of the limit.
	sendersPerLimit = 2
	// unlistedProcesses is the least number of processes assumed to share a limit while
	// this process is not listed among them.
	unlistedProcesses = 12
	// maxLimitInterval is the longest time between two requests of one process that
	// shares a limit. Without requests, nobody would learn that the limit was lifted.
	maxLimitInterval = time.Minute
	// minNewsTimeout is the shortest time without news of a limit after which the
	// processes that do not share it may send requests.
	minNewsTimeout = 10 * time.Second
	// newsIntervals is the number of request intervals that the time without news
	// lasts at least.
	newsIntervals = 3
	// probeDivisor is the fraction of a limit that the processes without a share
	// together use once there is no news of it.
	probeDivisor = 2
)

// limitShare is this process's share in the requests that an upstream takes. All
// processes compute the same senders from their list of each other. Each sender spaces
// its requests evenly, so that in any time t all of them together send at most
// t*limit + len(senders), however the callers' requests arrive.
type limitShare struct {
	// sender is set if this process is one of those that share the limit.
	sender bool
	// interval is the shortest time between two requests of this process. A process
	// that is not a sender sends only if there is no news of the limit for newsTimeout.
	interval, newsTimeout time.Duration
	// offset delays the first request of a process that is not a sender, so that such
	// processes do not send at the same time.
	offset time.Duration
}

// newLimitShare returns the share of the process self among processes in the limit, in
// requests per second, of an upstream in a failure domain. phase, in [0, 1), differs
// between processes.
func newLimitShare(limit float64, upstream string, domain fleet.FailureDomain, self string, processes []fleet.Instance, phase float64) limitShare {
	count := min(len(processes), minSenders+int(sendersPerLimit*min(limit, float64(len(processes)))))
	return newShare(limit, count, upstream, domain, self, processes, phase)
}

// newShare is like newLimitShare for a limit that at most count processes share.
func newShare(limit float64, count int, upstream string, domain fleet.FailureDomain, self string, processes []fleet.Instance, phase float64) limitShare {
	isSelf := func(i fleet.Instance) bool { return i.Name == self }
	if !slices.ContainsFunc(processes, isSelf) {
		return limitShare{sender: true, interval: limitInterval(max(len(processes)+1, unlistedProcesses), limit)}
	}
	interval := limitInterval(count, limit)
	if slices.ContainsFunc(instance.Senders(processes, upstream, domain, count), isSelf) {
		return limitShare{sender: true, interval: interval}
	}
	probeInterval := probeDivisor * limitInterval(len(processes), limit)
	return limitShare{
		interval: probeInterval, newsTimeout: max(minNewsTimeout, newsIntervals*interval),
		offset: time.Duration(phase * float64(probeInterval)),
	}
}

// limitInterval returns the time between two requests of each of count processes that
// together send limit requests per second, at most maxLimitInterval for each of them.
func limitInterval(count int, limit float64) time.Duration {
	seconds := float64(count) / max(limit, float64(count)/maxLimitInterval.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// notBefore returns the time before which this process sends no request to an upstream
// that last named its limit at namedAt and was last sent a request at sentAt.
func (s *limitShare) notBefore(namedAt, sentAt time.Time) time.Time {
	next := sentAt.Add(s.interval)
	if s.sender {
		return next
	}
	if first := namedAt.Add(s.newsTimeout + s.offset); first.After(next) {
		return first
	}
	return next
}

// limitedUntil returns the time before which m must get no request of this process
// because of its limit, zero if it has none.
func (m *member) limitedUntil() time.Time {
	if !m.advice.limited {
		return time.Time{}
	}
	return m.share.notBefore(m.advice.limitAt, m.sentAt)
}

// updateShare sets this process's share in the limit of m.
func (p *Pool) updateShare(m *member) {
	if m.advice.limited {
		m.share = newLimitShare(m.advice.limit, m.ID, m.FailureDomain, p.self, p.config.Entries, m.phase)
	}
}

// formerTime is the time for which the advice of an upstream is kept after it is no
// longer listed. The list can lapse while its store is unavailable.
const formerTime = 5 * time.Minute

// formerMember is an upstream that is no longer in the pool.
type formerMember struct {
	member  *member
	removed time.Time
}

// keepFormer keeps the members that are not in kept and whose advice is still needed if
// they return.
func (p *Pool) keepFormer(kept map[string]*member, now time.Time) {
	for id, f := range p.former {
		if now.Sub(f.removed) >= formerTime {
			delete(p.former, id)
		}
	}
	for id, m := range p.byID {
		if kept[id] != m && m.advice != (advice{}) {
			p.former[id] = formerMember{m, now}
		}
	}
}

// newMember returns the member for an upstream that was not in the pool before, with the
// advice that the same incarnation gave when it was.
func (p *Pool) newMember(of service.Incarnation) *member {
	m := &member{phase: p.random.Float64(), ringHash: ringHash(of.ID)}
	if f, ok := p.former[of.ID]; ok && f.member.Incarnation().Equal(of) {
		m.advice, m.sentAt = f.member.advice, f.member.sentAt
		delete(p.former, of.ID)
	}
	return m
}
