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

// RecordEnd records that an upstream has ended at which a request was lost. parts are those
// of its prompt if it had made no progress there, otherwise nil.
func (p *Pools) RecordEnd(u service.Upstream, parts []string, request string, now time.Time) {
	p.mu.Lock()
	s := p.forService(u.Service)
	ended := s.pool.RecordEnd(u.Incarnation(), now)
	parts = append(slices.Clip(parts), s.heldBackAt(u.Incarnation(), now)...)
	held := s.suspects.RecordEnd(u.Incarnation(), parts, now)
	s.recordImplicated(held)
	if len(held) > 0 {
		s.interruptHeld(now)
	}
	if ended {
		s.interruptGroup(u.Incarnation(), now)
	}
	p.mu.Unlock()
	if ended {
		p.log.Info("upstream has ended; its group is taken to have stopped", "upstream", u.ID, "service", u.Service, "request", request)
	}
	if len(held) > 0 {
		p.log.Info("an upstream ended on a request without progress; requests with its prompt parts are held back", "upstream", u.ID, "service", u.Service,
			"request", request, "prompt-parts", strings.Join(held, ","))
		p.interruptHeldLater(s)
	}
	if ended || len(held) > 0 {
		p.announce()
	}
}

// recordImplicated records that this entry has implicated parts, and forgets those that are no
// longer held back. Pools.mu must be held.
func (s *servicePool) recordImplicated(parts []string) {
	if len(parts) == 0 {
		return
	}
	stillHeld := s.suspects.Held()
	maps.DeleteFunc(s.implicated, func(id string, _ bool) bool { return !slices.Contains(stillHeld, id) })
	for _, id := range parts {
		s.implicated[id] = true
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
			s.interruptHeld(now)
			p.interruptHeldLater(s)
		}
		// The peers that this entry has told of the part learn from it that the part is sound.
		announce = announce || cleared && s.implicated[m.Part]
		if cleared {
			s.recordCleared([]string{m.Part}, now)
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
