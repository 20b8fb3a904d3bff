package upstream

import (
	"maps"
	"slices"
	"strings"
	"time"

	core "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/service"
)

// Admit reports whether a request to the named service with content c may be sent now. If not,
// it returns why, and the time after which one like it may be sent.
func (p *Pools) Admit(name string, c core.Content, now time.Time) (why core.HeldContent, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.forService(name).suspects.Admit(c, now)
}

// RecordEnd records that an upstream has ended at which a request was lost. c is its content if
// it had made no progress there, otherwise empty.
func (p *Pools) RecordEnd(u service.Upstream, c core.Content, request string, now time.Time) {
	p.mu.Lock()
	s := p.forService(u.Service)
	ended := s.pool.RecordEnd(u.Incarnation(), now)
	contents := s.heldBackAt(u.Incarnation(), now)
	if !c.Empty() {
		contents = append(contents, c)
	}
	implicated := s.suspects.RecordEnd(u.Incarnation(), contents, now)
	s.recordImplicated(implicated)
	if implicated.Held() {
		s.interruptHeld(now)
	}
	if ended {
		s.interruptGroup(u.Incarnation(), now)
	}
	p.mu.Unlock()
	if ended {
		p.log.Info("upstream has ended; its group is taken to have stopped", "upstream", u.ID, "service", u.Service, "request", request)
	}
	if len(implicated.Parts) > 0 {
		p.log.Info("an upstream ended on a request without progress; requests with its prompt parts are held back", "upstream", u.ID, "service", u.Service,
			"request", request, "prompt-parts", strings.Join(implicated.Parts, ","))
		p.interruptHeldLater(s)
	}
	if len(implicated.Requests) > 0 {
		p.log.Info("upstreams ended on equal requests without progress; such requests are held back", "upstream", u.ID, "service", u.Service,
			"request", request, "request-identity", strings.Join(implicated.Requests, ","))
	}
	if ended || implicated.Learned {
		p.announce()
	}
}

// recordImplicated records that this entry has implicated contents, and forgets those that are no
// longer held back. Pools.mu must be held.
func (s *servicePool) recordImplicated(i core.Implicated) {
	if !i.Held() {
		return
	}
	stillHeld := append(s.suspects.Parts.Held(), s.suspects.Requests.Held()...)
	maps.DeleteFunc(s.implicated, func(id string, _ bool) bool { return !slices.Contains(stillHeld, id) })
	for _, id := range append(slices.Clip(i.Parts), i.Requests...) {
		s.implicated[id] = true
	}
}

// recordContentNews records and logs what the peer named source knows of contents of requests.
// It reports whether that is to be passed on at once.
func (p *Pools) recordContentNews(news []*peer.PromptNews, source string, now time.Time) bool {
	urgent, announce := false, false
	for _, m := range news {
		p.mu.Lock()
		s := p.forService(m.Service)
		suspects := s.suspects.Parts
		if m.WholeRequest {
			suspects = s.suspects.Requests
		}
		change := suspects.RecordNews(peer.PromptNewsFromProto(m, now), now)
		if change.Held {
			s.interruptHeld(now)
			p.interruptHeldLater(s)
		}
		// The peers that this entry has told of the part learn from it that the part is sound.
		announce = announce || change.Cleared && s.implicated[m.Part]
		if change.Cleared {
			s.recordCleared([]string{m.Part}, now)
		}
		p.mu.Unlock()
		urgent = urgent || change.Learned
		p.logContentNews(m, change, source)
	}
	if announce {
		p.announce()
	}
	return urgent
}

// logContentNews logs what news from the peer named source have changed.
func (p *Pools) logContentNews(m *peer.PromptNews, change core.SuspectChange, source string) {
	switch {
	case change.Held && m.WholeRequest:
		p.log.Info("a peer's upstreams ended on equal requests without progress; such requests are held back", "service", m.Service, "request-identity", m.Part, "ends", len(m.Ends), "source", source)
	case change.Held:
		p.log.Info("a peer's upstreams ended on requests without progress; requests with their prompt part are held back", "service", m.Service, "prompt-parts", m.Part, "ends", len(m.Ends), "source", source)
	case change.Cleared && m.WholeRequest:
		p.log.Info("request is sound; equal ones are no longer held back", "service", m.Service, "request-identity", m.Part, "source", source)
	case change.Cleared:
		p.log.Info("prompt part is sound; requests with it are no longer held back", "service", m.Service, "prompt-parts", m.Part, "source", source)
	}
}

// SuspectStates are the debug states of the suspected contents of the requests to a service.
type SuspectStates struct {
	Parts    []core.SuspectState `json:"prompt-parts"`
	Requests []core.SuspectState `json:"requests"`
}

// Suspects returns the debug state of the suspected contents of requests, by service.
func (p *Pools) Suspects(now time.Time) map[string]SuspectStates {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]SuspectStates{}
	for name, s := range p.services {
		if states := (SuspectStates{s.suspects.Parts.State(now), s.suspects.Requests.State(now)}); len(states.Parts)+len(states.Requests) > 0 {
			out[name] = states
		}
	}
	return out
}
