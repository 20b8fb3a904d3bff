package upstream

import (
	"slices"
	"time"

	core "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/service"
)

// RecordAdvice records and logs what a response of an upstream to a request sent at sent
// says about the requests that the upstream takes.
func (p *Pools) RecordAdvice(u service.Upstream, a core.Advice, request string, sent, now time.Time) {
	p.mu.Lock()
	changes := p.forService(u.Service).pool.RecordAdvice(u.Incarnation(), a, sent, now)
	p.mu.Unlock()
	p.logAdvice(changes, u.ID, u.Service, a, "request", request)
}

// logAdvice logs changes of what is known of an upstream. source tells where they come
// from, as key and value.
func (p *Pools) logAdvice(changes []core.AdviceChange, upstream, service string, a core.Advice, source ...any) {
	for _, c := range changes {
		values := append([]any{"upstream", upstream, "service", service}, source...)
		switch c {
		case core.LimitNamed, core.LimitChanged:
			p.log.Info("upstream limits its requests", append(values, "limit", a.Limit)...)
		case core.LimitLifted:
			p.log.Info("upstream no longer limits its requests", values...)
		case core.LimitMalformed:
			p.log.Info("upstream's limit cannot be read; the one before stays in effect", append(values, "limit", a.Malformed)...)
		case core.LeavingNamed:
			p.log.Info("upstream says that it is leaving; it gets no new requests", values...)
		case core.Ended:
			p.log.Info("upstream has ended; its group is taken to have stopped", values...)
		case core.Reopened:
			p.log.Info("group runs requests again", values...)
		case core.SuspensionNamed:
			p.log.Info("upstream wants no requests for a time", append(values, "for-ms", a.RetryAfter.Milliseconds())...)
		}
	}
}

// HeldUntil returns the time at which the first upstream of the named service that is
// only kept from getting a request by what it said may get one. It returns false if there
// is no such upstream.
func (p *Pools) HeldUntil(name string, q core.PoolQuery, now time.Time) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.forService(name).pool.HeldUntil(q, now)
}

// News returns what this entry knows of the limits and the leaving of upstreams and of
// suspected contents of requests, for its peers.
func (p *Pools) News(now time.Time) (upstreams []*peer.UpstreamNews, prompts []*peer.PromptNews) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, s := range p.services {
		for _, n := range s.pool.News(now) {
			upstreams = append(upstreams, peer.NewsToProto(name, n, now))
		}
		for _, n := range s.suspects.Parts.News(now) {
			prompts = append(prompts, peer.PromptNewsToProto(name, core.PromptParts{}, n, now))
		}
		for _, n := range s.suspects.Requests.News(now) {
			prompts = append(prompts, peer.PromptNewsToProto(name, core.WholeRequests{}, n, now))
		}
	}
	return upstreams, prompts
}

// RecordNews records and logs what the peer named source knows of upstreams and of suspected
// contents of requests. It reports whether requests are held back or interrupted because of that.
func (p *Pools) RecordNews(upstreams []*peer.UpstreamNews, prompts []*peer.PromptNews, source string, now time.Time) bool {
	urgent, implicated := false, false
	for _, m := range upstreams {
		n := peer.NewsFromProto(m, now)
		p.mu.Lock()
		var changes []core.AdviceChange
		if s := p.services[m.Service]; s != nil {
			if changes = s.pool.RecordNews(n, now); slices.Contains(changes, core.Ended) {
				urgent = true
				s.interruptGroup(n.Of, now)
				implicated = implicated || s.suspects.RecordEnd(n.Of, s.heldBackAt(n.Of, now), now).Learned
			}
		}
		p.mu.Unlock()
		urgent = urgent || slices.Contains(changes, core.Reopened)
		p.logAdvice(changes, m.Upstream, m.Service, core.Advice{Limit: n.Limit}, "source", source)
	}
	if implicated {
		p.announce()
	}
	return p.recordContentNews(prompts, source, now) || urgent
}

// Suspended makes all that is known of the limits of upstreams and of prompts older by d.
func (p *Pools) Suspended(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.services {
		s.pool.AgeAdvice(d)
		s.pool.RecordSuspension(time.Now())
		s.suspects.Age(d)
	}
}
