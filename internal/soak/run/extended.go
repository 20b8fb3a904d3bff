package run

import (
	"context"
	"net/http"
	"strings"
	"time"

	"bramleydeal/internal/soak/caller"
	"bramleydeal/internal/soak/history"
	"bramleydeal/internal/soak/program"
	"bramleydeal/internal/soak/schedule"
	"bramleydeal/platform/standin"
)

// Parameters of the faults of schedule.GenerateExtended.
const (
	// copyInterval is the time between two copies of the store's content, maxCopies the
	// number that is kept.
	copyInterval = 500 * time.Millisecond
	maxCopies    = 10
	// storeAway is how long the store is away before it comes back from a copy.
	storeAway = 300 * time.Millisecond
	// rewriteDelay is the time after which what the store has lost is written again.
	rewriteDelay = 700 * time.Millisecond
	// adviceLimit is the requests per second that an upstream names, adviceRetryAfter
	// the time for which it wants no requests.
	adviceLimit      = 1.5
	adviceRetryAfter = 3 * time.Second
)

// adviseFromUpstream makes an upstream say something about the requests that it takes in
// all its responses: for the duration of the step and the time within which it takes
// effect, or until it is replaced if it is leaving.
func (s *Soak) adviseFromUpstream(slot *upstreamSlot, step schedule.Step) {
	slot.faultMu.Lock()
	defer slot.faultMu.Unlock()
	w := slot.upstream
	switch step.Variant % 3 {
	case 0:
		defer s.history.BeginAdvice(history.Advice{Upstream: w.ID, Limit: adviceLimit})()
		w.SetLimit(adviceLimit)
		time.Sleep(step.Duration + 2*history.SettleTime)
		w.SetLimit(0)
	case 1:
		w.SetRetryAfter(adviceRetryAfter)
		w.SetBehaviour(standin.Decline)
		defer s.history.BeginAdvice(history.Advice{Upstream: w.ID, RetryAfter: adviceRetryAfter})()
		time.Sleep(step.Duration)
		w.SetRetryAfter(0)
		w.SetBehaviour(standin.Serve)
	default:
		defer s.history.BeginAdvice(history.Advice{Upstream: w.ID, Leaving: true})()
		w.SetLeaving()
		time.Sleep(step.Duration)
		s.replaceDraining(slot)
	}
}

// keepCopies keeps copies of the store's content until ctx ends.
func (s *Soak) keepCopies(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		s.copies = append(s.copies, s.store.Copy())
		s.copies = s.copies[max(0, len(s.copies)-maxCopies):]
		s.mu.Unlock()
		sleep(ctx, copyInterval)
	}
}

// restoreStore takes the store away for storeAway and brings it back from a copy of up to
// some seconds before. After rewriteDelay the operator and the upstreams write again what
// the copy lacks, and the store drops the upstreams that write no more.
func (s *Soak) restoreStore(step schedule.Step) {
	defer s.beginFault(history.Store, step, false)()
	s.restoreMu.Lock()
	defer s.restoreMu.Unlock()
	s.mu.Lock()
	copies := s.copies
	s.activeStoreFaults++
	s.mu.Unlock()
	if len(copies) > 0 {
		s.store.SetFaults(standin.Faults{Status: 503})
		time.Sleep(storeAway)
		s.store.Restore(copies[step.Variant%len(copies)])
	}
	s.mu.Lock()
	if s.activeStoreFaults--; s.activeStoreFaults == 0 {
		s.store.SetFaults(standin.Faults{})
	}
	s.mu.Unlock()
	time.Sleep(rewriteDelay)
	s.store.RewriteConfiguration()
	s.store.RewriteEvacuations()
	for _, id := range s.store.RewriteWorkers() {
		time.AfterFunc(removalDelay, func() { s.store.RemoveWorker(id) })
	}
}

// replaceDraining marks the upstream of a slot as draining in the store and replaces it
// after its drain time. The caller holds slot.faultMu.
func (s *Soak) replaceDraining(slot *upstreamSlot) {
	w := slot.upstream
	s.store.MarkDraining(w, standin.ServiceName, slot.failureDomain, slot.address)
	s.history.MarkDraining(w.ID)
	time.Sleep(program.DrainTime + removalDelay)
	s.store.RemoveWorker(w.ID)
	end := s.history.BeginFault(history.FaultInterval{Target: w.ID, Fault: "gone"})
	defer end()
	slot.link.Close()
	w.Close()
	s.recordError(s.startUpstream(slot))
}

// deadlyPartID is the part of prompts on which upstreams end.
const deadlyPartID = "deadly"

// deadlyCause returns why upstreams end on a request, empty if they do not.
func deadlyCause(r standin.Run) string {
	switch {
	case standin.HasPart(deadlyPartID)(r) != "":
		return string(history.DeadlyPart)
	case !strings.HasSuffix(r.Target, caller.DeadlySuffix):
		return ""
	case r.Method == http.MethodGet:
		return string(history.DeadlyCheck)
	default:
		return string(history.DeadlyConfirm)
	}
}

// deadlyRestart is the time after which an upstream that ended on a request is back.
const deadlyRestart = time.Second

// sendsDeadly implements caller.Callers.Deadly.
func (s *Soak) sendsDeadly(why history.DeadlyCause) bool {
	if why == history.DeadlyPart {
		return s.deadlyPart && s.deadlyActive.Load()
	}
	return s.deadlyRequests && s.deadlyActive.Load()
}

// endUpstream is called when an upstream ends on a request, before its connections are closed.
// Another upstream starts in its slot after deadlyRestart.
func (s *Soak) endUpstream(slot *upstreamSlot, id, why string) {
	s.history.AddDeadlyEnd(history.DeadlyCause(why))
	end := s.history.BeginFault(history.FaultInterval{Target: id, Fault: string(schedule.DeadlyPart)})
	s.mu.Lock()
	link := slot.link
	s.mu.Unlock()
	link.Close()
	go func() {
		defer end()
		time.Sleep(deadlyRestart)
		slot.faultMu.Lock()
		defer slot.faultMu.Unlock()
		if slot.upstream.ID != id {
			return // replaced by another fault meanwhile
		}
		slot.upstream.Close()
		time.AfterFunc(removalDelay, func() { s.store.RemoveWorker(id) })
		s.recordError(s.startUpstream(slot))
	}()
}
