package upstream

import (
	"slices"
	"strings"
	"time"

	core "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/world/fleet"
	"bramleydeal/internal/world/service"
)

// Interruption is why an attempt that has not ended is given up.
type Interruption int32

// The interruptions of an attempt.
const (
	// Uninterrupted attempts go on.
	Uninterrupted Interruption = iota
	// HeldBack means that requests like it were found to end upstreams.
	HeldBack
	// GroupStopped means that another rank of the upstream's group has ended, so that the
	// attempt cannot go on, and that another upstream can take the request.
	GroupStopped
)

// Watch interrupts one attempt when what is known of its upstream or its content changes.
type Watch struct {
	pools    *Pools
	service  *servicePool
	upstream service.Upstream
	// content is that of the request. suspected is the part of it that is not known to be
	// sound, empty once the answer has begun.
	content, suspected core.Content
	resumable          bool
	// regions are the regions of the request, as in core.PoolQuery.
	regions   [][]fleet.Region
	interrupt func(Interruption)
}

// Watch starts to watch an attempt at an upstream of a request with content c. interrupt is
// called at most once, until Stop is called, and must not block. An attempt that is not
// resumable is only interrupted before it has begun. regions are those of the request.
func (p *Pools) Watch(u service.Upstream, c core.Content, resumable bool, regions [][]fleet.Region, interrupt func(Interruption), now time.Time) *Watch {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := &Watch{pools: p, service: p.forService(u.Service), upstream: u, content: c, suspected: c, resumable: resumable, regions: regions, interrupt: interrupt}
	if w.service.suspects.Parts.Proven(c.Parts, now) {
		w.suspected.Parts = nil
	}
	w.service.watches[w] = true
	return w
}

// Stop ends the watch.
func (w *Watch) Stop() {
	w.pools.mu.Lock()
	defer w.pools.mu.Unlock()
	delete(w.service.watches, w)
}

// RecordBegin records that the first part of the answer has arrived. The attempt is no longer
// interrupted because of its content: an upstream that it ends does so before that, and what
// the caller has got must not be cut off on a suspicion.
func (w *Watch) RecordBegin() {
	w.pools.mu.Lock()
	defer w.pools.mu.Unlock()
	w.suspected = core.Content{}
}

// RecordProgress records that the attempt has made progress, which proves its content to be
// sound.
func (w *Watch) RecordProgress(now time.Time) { w.recordSound(w.content, now) }

// RecordError records that the upstream has answered the whole request with an error of the
// caller's. That proves the request to be sound, but not the parts of its prompt, on which the
// upstream may not have worked.
func (w *Watch) RecordError(now time.Time) {
	w.recordSound(core.Content{Identity: w.content.Identity}, now)
}

// recordSound records that content c, all or a part of the attempt's, is sound.
func (w *Watch) recordSound(c core.Content, now time.Time) {
	w.pools.mu.Lock()
	w.suspected = core.Content{}
	parts, requests := w.service.suspects.RecordProgress(c, now)
	w.service.recordCleared(append(slices.Clip(parts), requests...), now)
	w.pools.mu.Unlock()
	if len(parts) > 0 {
		w.pools.log.Info("prompt parts are sound; requests with them are no longer held back", "service", w.upstream.Service, "prompt-parts", strings.Join(parts, ","))
	}
	if len(requests) > 0 {
		w.pools.log.Info("request is sound; equal ones are no longer held back", "service", w.upstream.Service, "request-identity", strings.Join(requests, ","))
	}
	if len(parts)+len(requests) > 0 {
		w.pools.announce()
	}
}

// heldBackAttempt is an attempt that was interrupted because of its content. Its upstream may
// end on it all the same if it had begun to answer.
type heldBackAttempt struct {
	of      service.Incarnation
	content core.Content
	at      time.Time
}

// heldBackTime is the time after its interruption within which an attempt may still end its
// upstream.
const heldBackTime = time.Second

// heldBackAt returns the contents of the attempts at an upstream that were interrupted because
// of them a short time ago. Pools.mu must be held.
func (s *servicePool) heldBackAt(of service.Incarnation, now time.Time) []core.Content {
	s.heldBack = slices.DeleteFunc(s.heldBack, func(a heldBackAttempt) bool { return now.Sub(a.at) > heldBackTime })
	var contents []core.Content
	for _, a := range s.heldBack {
		if a.of.Equal(of) {
			contents = append(contents, a.content)
		}
	}
	return contents
}

// recordCleared records that parts or requests are no longer held back. What is left of those that an end
// implicates may be conclusive then. Pools.mu must be held.
func (s *servicePool) recordCleared(ids []string, now time.Time) {
	if len(ids) == 0 {
		return
	}
	for _, id := range ids {
		delete(s.implicated, id)
	}
	s.interruptHeld(now)
}

// interruptHeld interrupts the attempts whose contents are known well enough to end upstreams.
// Pools.mu must be held.
func (s *servicePool) interruptHeld(now time.Time) {
	s.interruptAll(HeldBack, func(w *Watch) bool {
		if !s.suspects.Conclusive(w.suspected, now) {
			return false
		}
		s.heldBack = append(s.heldBack, heldBackAttempt{w.upstream.Incarnation(), w.suspected, now})
		return true
	})
}

// interruptHeldLater does the same once peers have had the time to say which parts are sound.
func (p *Pools) interruptHeldLater(s *servicePool) {
	time.AfterFunc(core.ClearingTime, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		s.interruptHeld(time.Now())
	})
}

// interruptGroup interrupts the attempts that can be resumed at the other ranks of the group
// of an upstream that has ended, if there is another upstream for them in their regions.
// Pools.mu must be held.
func (s *servicePool) interruptGroup(ended service.Incarnation, now time.Time) {
	m := s.pool.Membership(ended)
	if m == nil {
		return
	}
	s.interruptAll(GroupStopped, func(w *Watch) bool {
		o := w.upstream.Membership
		return w.resumable && o != nil && o.Group == m.Group && o.Epoch == m.Epoch && w.upstream.ID != ended.ID &&
			s.pool.Alternative(m.Group, now, w.regions...)
	})
}

// interruptAll interrupts the attempts for which match reports true. Pools.mu must be held.
func (s *servicePool) interruptAll(why Interruption, match func(*Watch) bool) {
	for w := range s.watches {
		if match(w) {
			w.interrupt(why)
			delete(s.watches, w)
		}
	}
}
