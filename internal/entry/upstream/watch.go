package upstream

import (
	"slices"
	"strings"
	"time"

	core "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/world/service"
)

// Interruption is why an attempt that has not ended is given up.
type Interruption int32

// The interruptions of an attempt.
const (
	// Uninterrupted attempts go on.
	Uninterrupted Interruption = iota
	// HeldBack means that a part of the prompt was found to end upstreams.
	HeldBack
	// GroupStopped means that another rank of the upstream's group has ended, so that the
	// attempt cannot go on, and that another upstream can take the request.
	GroupStopped
)

// Watch interrupts one attempt when what is known of its upstream or its prompt changes.
type Watch struct {
	pools    *Pools
	service  *servicePool
	upstream service.Upstream
	// parts are the parts of the prompt, suspected those of an attempt without any event
	// that has parts which are not known to be sound.
	parts, suspected []string
	resumable        bool
	interrupt        func(Interruption)
}

// Watch starts to watch an attempt at an upstream of a request whose prompt has the given
// parts. interrupt is called at most once, until Stop is called, and must not block. An
// attempt that is not resumable is only interrupted before it has begun.
func (p *Pools) Watch(u service.Upstream, parts []string, resumable bool, interrupt func(Interruption), now time.Time) *Watch {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := &Watch{pools: p, service: p.forService(u.Service), upstream: u, parts: parts, resumable: resumable, interrupt: interrupt}
	if !w.service.suspects.Proven(parts, now) {
		w.suspected = parts
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
// interrupted because of its prompt: an upstream that it ends does so before that, and what
// the caller has got must not be cut off on a suspicion.
func (w *Watch) RecordBegin() {
	if len(w.parts) == 0 {
		return
	}
	w.pools.mu.Lock()
	defer w.pools.mu.Unlock()
	w.suspected = nil
}

// RecordProgress records that the attempt has made progress, which proves the parts of its
// prompt to be sound.
func (w *Watch) RecordProgress(now time.Time) {
	if len(w.parts) == 0 {
		return
	}
	w.pools.mu.Lock()
	w.suspected = nil
	cleared := w.service.suspects.RecordProgress(w.parts, now)
	w.service.recordCleared(cleared, now)
	w.pools.mu.Unlock()
	if len(cleared) > 0 {
		w.pools.log.Info("prompt parts are sound; requests with them are no longer held back", "service", w.upstream.Service, "prompt-parts", strings.Join(cleared, ","))
		w.pools.announce()
	}
}

// heldBackAttempt is an attempt that was interrupted because of its prompt. Its upstream may
// end on it all the same if it had begun to answer.
type heldBackAttempt struct {
	of    service.Incarnation
	parts []string
	at    time.Time
}

// heldBackTime is the time after its interruption within which an attempt may still end its
// upstream.
const heldBackTime = time.Second

// heldBackAt returns the parts of the attempts at an upstream that were interrupted because
// of their prompts a short time ago. Pools.mu must be held.
func (s *servicePool) heldBackAt(of service.Incarnation, now time.Time) []string {
	s.heldBack = slices.DeleteFunc(s.heldBack, func(a heldBackAttempt) bool { return now.Sub(a.at) > heldBackTime })
	var parts []string
	for _, a := range s.heldBack {
		if a.of.Equal(of) {
			parts = append(parts, a.parts...)
		}
	}
	return parts
}

// recordCleared records that parts are no longer held back. What is left of those that an end
// implicates may be conclusive then. Pools.mu must be held.
func (s *servicePool) recordCleared(parts []string, now time.Time) {
	if len(parts) == 0 {
		return
	}
	for _, id := range parts {
		delete(s.implicated, id)
	}
	s.interruptHeld(now)
}

// interruptHeld interrupts the attempts whose prompts are known well enough to end upstreams.
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
// of an upstream that has ended, if there is another upstream for them. Pools.mu must be
// held.
func (s *servicePool) interruptGroup(ended service.Incarnation, now time.Time) {
	m := s.pool.Membership(ended)
	if m == nil || !s.pool.Alternative(m.Group, now) {
		return
	}
	s.interruptAll(GroupStopped, func(w *Watch) bool {
		o := w.upstream.Membership
		return w.resumable && o != nil && o.Group == m.Group && o.Epoch == m.Epoch && w.upstream.ID != ended.ID
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
