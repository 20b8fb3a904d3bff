package upstream

import (
	"slices"
	"strings"
	"time"

	core "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/service"
)

// unprovenAttempt is an attempt that has made no progress and whose prompt has parts that
// are not known to be sound.
type unprovenAttempt struct {
	parts  []string
	cancel func()
}

// Admit reports whether a request to the named service whose prompt has the given parts may
// be sent now. If not, it returns the time after which one with them may be sent.
func (p *Pools) Admit(name string, parts []string, now time.Time) (wait time.Duration, ok bool) {
	if len(parts) == 0 {
		return 0, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.forService(name).suspects.Admit(parts, now)
}

// WatchAttempt calls cancel if a part of the prompt of an attempt at a request to the named
// service is found to end upstreams, until the returned function is called.
func (p *Pools) WatchAttempt(name string, parts []string, cancel func(), now time.Time) (stop func()) {
	if len(parts) == 0 {
		return func() {}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.forService(name)
	if s.suspects.Proven(parts, now) {
		return func() {}
	}
	a := &unprovenAttempt{parts, cancel}
	s.unproven[a] = true
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(s.unproven, a)
	}
}

// RecordProgress records that a request to the named service whose prompt has the given
// parts made progress.
func (p *Pools) RecordProgress(name string, parts []string, now time.Time) {
	if len(parts) == 0 {
		return
	}
	p.mu.Lock()
	s := p.forService(name)
	cleared := s.suspects.RecordProgress(parts, now)
	for _, id := range cleared {
		delete(s.implicated, id)
	}
	p.mu.Unlock()
	if len(cleared) > 0 {
		p.log.Info("prompt parts are sound; requests with them are no longer held back", "service", name, "prompt-parts", strings.Join(cleared, ","))
		p.announce()
	}
}

// RecordEnd records that an upstream has ended while a request whose prompt has the given
// parts had made no progress there.
func (p *Pools) RecordEnd(u service.Upstream, parts []string, request string, now time.Time) {
	p.mu.Lock()
	s := p.forService(u.Service)
	held := s.suspects.RecordEnd(u.Incarnation(), parts, now)
	for _, id := range held {
		s.implicated[id] = true
	}
	s.cancelConclusive(held)
	p.mu.Unlock()
	if len(held) > 0 {
		p.log.Info("an upstream ended on a request without progress; requests with its prompt parts are held back", "upstream", u.ID, "service", u.Service,
			"request", request, "prompt-parts", strings.Join(held, ","))
		p.announce()
	}
}

// cancelConclusive cancels the attempts with those of the given parts that are known well
// enough to end upstreams. Pools.mu must be held.
func (s *servicePool) cancelConclusive(parts []string) {
	for _, id := range parts {
		if !s.suspects.Conclusive(id) {
			continue
		}
		for a := range s.unproven {
			if slices.Contains(a.parts, id) {
				a.cancel()
				delete(s.unproven, a)
			}
		}
	}
}

// recordPromptNews records and logs what the peer named source knows of parts of prompts. It
// reports whether requests are held back because of that.
func (p *Pools) recordPromptNews(news []*peer.PromptNews, source string, now time.Time) bool {
	urgent, announce := false, false
	for _, m := range news {
		p.mu.Lock()
		s := p.forService(m.Service)
		held, cleared := s.suspects.RecordNews(peer.PromptNewsFromProto(m, now), now)
		if held {
			s.cancelConclusive([]string{m.Part})
		}
		// The peers that this entry has told of the part learn from it that the part is sound.
		announce = announce || cleared && s.implicated[m.Part]
		if cleared {
			delete(s.implicated, m.Part)
		}
		p.mu.Unlock()
		switch {
		case held:
			urgent = true
			p.log.Info("a peer's upstreams ended on requests without progress; requests with their prompt part are held back", "service", m.Service, "prompt-parts", m.Part, "ends", len(m.Ends), "source", source)
		case cleared:
			p.log.Info("prompt part is sound; requests with it are no longer held back", "service", m.Service, "prompt-parts", m.Part, "source", source)
		}
	}
	if announce {
		p.announce()
	}
	return urgent
}

// Suspects returns the debug state of the suspected parts of prompts, by service.
func (p *Pools) Suspects(now time.Time) map[string][]core.SuspectState {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string][]core.SuspectState{}
	for name, s := range p.services {
		if states := s.suspects.State(now); len(states) > 0 {
			out[name] = states
		}
	}
	return out
}
