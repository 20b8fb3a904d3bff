package run

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"bramleydeal/internal/soak/history"
	"bramleydeal/internal/soak/program"
	"bramleydeal/internal/soak/proxy"
	"bramleydeal/internal/soak/schedule"
	"bramleydeal/platform/standin"
)

// killSignal ends a process without giving it a chance to drain.
const killSignal = syscall.SIGKILL

// Durations of faults.
const (
	// restartDelay is the time from the exit of an entry's process to the start of
	// the next one.
	restartDelay = 300 * time.Millisecond
	// removalDelay is the time from the crash of an upstream, or the end of its
	// drain time, until the store no longer lists it.
	removalDelay = 3 * time.Second
	// exitMargin is added to the grace period because a host that runs many
	// processes schedules them late.
	exitMargin = 500 * time.Millisecond
)

// injectFault injects the fault of a step and returns when the fault has ended.
func (s *Soak) injectFault(step schedule.Step) {
	n := step.Target % len(s.entries)
	slot := s.upstreamSlots[step.Target%len(s.upstreamSlots)]
	switch step.Fault {
	case schedule.EntryKill:
		s.restartEntry(n, step, killEntry)
	case schedule.EntryKillAll:
		s.writeConfiguration()
		var all sync.WaitGroup
		for n := range s.entries {
			all.Go(func() { s.restartEntry(n, step, killEntry) })
		}
		all.Wait()
	case schedule.EntryStop:
		s.restartEntry(n, step, s.stopEntry)
	case schedule.EntryPause:
		defer s.beginFault(s.entries[n].Settings.Name, step, false)()
		s.entries[n].Signal(syscall.SIGSTOP)
		time.Sleep(step.Duration)
		s.entries[n].Signal(syscall.SIGCONT)
	case schedule.EntryReload:
		defer s.beginFault(s.entries[n].Settings.Name, step, true)()
		s.recordError(s.entries[n].WriteSettings())
		s.entries[n].Signal(syscall.SIGHUP)
	case schedule.StoreLink:
		defer s.beginFault(s.entries[n].Settings.Name, step, false)()
		s.impair(s.storeLinks[n], step)
	case schedule.UpstreamLink:
		slot.faultMu.Lock()
		defer slot.faultMu.Unlock()
		defer s.beginFault(slot.upstream.ID, step, false)()
		s.impair(slot.link, step)
	case schedule.UpstreamCrash:
		s.crashUpstream(slot, step)
	case schedule.UpstreamLeave:
		s.drainUpstream(slot)
	case schedule.UpstreamFault:
		slot.faultMu.Lock()
		defer slot.faultMu.Unlock()
		defer s.beginFault(slot.upstream.ID, step, false)()
		slot.upstream.SetBehaviour(upstreamFaults[step.Variant%len(upstreamFaults)])
		time.Sleep(step.Duration)
		slot.upstream.SetBehaviour(standin.Serve)
	case schedule.StoreFault:
		s.injectStoreFault(step)
	case schedule.ConfigurationChange:
		s.writeConfiguration()
	case schedule.UpstreamAdvice:
		s.adviseFromUpstream(slot, step)
	case schedule.StoreRestore:
		s.restoreStore(step)
	case schedule.ColdReturn:
		s.returnCold(step)
	case schedule.Overload:
		s.overload(step)
	case schedule.Evacuation:
		s.evacuate(step)
	case schedule.DeadlyPart:
		s.deadlyActive.Store(true)
		time.Sleep(step.Duration)
		s.deadlyActive.Store(false)
	}
}

// killEntry kills the process of an entry and waits until it has exited.
func killEntry(e *program.Entry) {
	e.Signal(killSignal)
	e.AwaitExit(program.GracePeriod)
}

// beginFault records that a fault of a target begins. The function that it returns
// records the end.
func (s *Soak) beginFault(target string, step schedule.Step, planned bool) func() {
	return s.history.BeginFault(history.FaultInterval{Target: target, Fault: string(step.Fault), Planned: planned, Stops: step.Fault == schedule.EntryStop})
}

// restartEntry ends an entry's process by calling end, waits and starts the next
// process. If a restart of the entry is in progress, it only sends the signal to stop again.
func (s *Soak) restartEntry(n int, step schedule.Step, end func(*program.Entry)) {
	e := s.entries[n]
	if !e.BeginRestart() {
		if step.Fault == schedule.EntryStop {
			e.StopAgain()
		}
		return
	}
	defer e.EndRestart()
	defer s.beginFault(e.Settings.Name, step, step.Fault == schedule.EntryStop)()
	end(e)
	time.Sleep(restartDelay)
	s.recordError(e.Start())
}

// stopEntry asks an entry to shut down and waits until its process has exited. A
// process that outlives its grace period is an error of the run, unless a pause has
// kept it from running.
func (s *Soak) stopEntry(e *program.Entry) {
	e.Signal(syscall.SIGTERM)
	if e.AwaitExit(program.GracePeriod+exitMargin) && !s.recentlyPaused(e) {
		s.recordError(fmt.Errorf("%s still runs %s after SIGTERM", e.Settings.Name, program.GracePeriod))
	}
}

// recentlyPaused reports whether an entry was paused within the last grace period,
// or shortly before it.
func (s *Soak) recentlyPaused(e *program.Entry) bool {
	return s.history.HadFault(e.Settings.Name, string(schedule.EntryPause), time.Now().Add(-program.GracePeriod-history.SettleTime))
}

// impair impairs a link for the duration of the step. The first of several
// overlapping impairments to end restores the link, and so ends all of them.
func (s *Soak) impair(l *proxy.Link, step schedule.Step) {
	if err := l.Impair(proxy.Impairments[step.Variant%len(proxy.Impairments)]); err != nil {
		// The link has this impairment already, from another step that still runs.
		return
	}
	time.Sleep(step.Duration)
	l.Restore()
}

// crashUpstream closes an upstream and its connections at once. After the duration
// of the step a new upstream starts at the same address, which may be before or
// after the store drops the crashed one.
func (s *Soak) crashUpstream(slot *upstreamSlot, step schedule.Step) {
	slot.faultMu.Lock()
	defer slot.faultMu.Unlock()
	id := slot.upstream.ID
	defer s.beginFault(id, step, false)()
	slot.link.Close()
	slot.upstream.Close()
	time.AfterFunc(removalDelay, func() { s.store.RemoveWorker(id) })
	time.Sleep(step.Duration)
	s.recordError(s.startUpstream(slot))
}

// drainUpstream marks an upstream as draining in the store and waits for the drain
// time and removalDelay, in which the entries must stop sending it new requests and
// its running ones end. It then removes the upstream from the store, closes it and
// starts a new one at the same address.
func (s *Soak) drainUpstream(slot *upstreamSlot) {
	slot.faultMu.Lock()
	defer slot.faultMu.Unlock()
	s.replaceDraining(slot)
}

// upstreamFaults are the behaviours among which the variant of an upstream fault
// selects.
var upstreamFaults = []standin.Behaviour{
	standin.Decline, standin.Fail, standin.Reset, standin.Truncate, standin.Hang, standin.WrongRequestID, standin.Unsigned, standin.TruncateStream, standin.StallStream,
}

// storeFaults are the faults among which the variant of a store fault selects. One
// further variant drops the store's history, which has no duration.
var storeFaults = []standin.Faults{
	{Status: 503}, {NoResponse: true}, {StallWatches: true}, {Delay: 600 * time.Millisecond}, {DropWriteResponses: 3, PageSize: 2},
}

// injectStoreFault injects the fault that a step selects. When faults overlap, the
// latest one replaces those before it, and the last to end clears it.
func (s *Soak) injectStoreFault(step schedule.Step) {
	defer s.beginFault(history.Store, step, false)()
	variant := step.Variant % (len(storeFaults) + 1)
	if variant == len(storeFaults) {
		s.store.DropHistory()
		return
	}
	s.mu.Lock()
	s.activeStoreFaults++
	s.mu.Unlock()
	s.store.SetFaults(storeFaults[variant])
	time.Sleep(step.Duration)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activeStoreFaults--; s.activeStoreFaults == 0 {
		s.store.SetFaults(standin.Faults{})
	}
}
