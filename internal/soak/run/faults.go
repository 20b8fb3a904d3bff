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

const killSignal = syscall.SIGKILL

// Times of the faults.
const (
	// restartPause is the time until an entry's process is started again.
	restartPause = 300 * time.Millisecond
	// lapseTime is the time after which the store drops an upstream that crashed.
	lapseTime = 3 * time.Second
	// exitSlack is added to the grace for a machine that runs many processes.
	exitSlack = 500 * time.Millisecond
)

// carryOut carries a step out and ends it.
func (s *Soak) carryOut(step schedule.Step) {
	n := step.Target % len(s.fleet)
	p := s.places[step.Target%len(s.places)]
	switch step.Fault {
	case schedule.EntryKill:
		s.restart(n, step, kill)
	case schedule.EntryKillAll:
		s.change()
		var all sync.WaitGroup
		for n := range s.fleet {
			all.Go(func() { s.restart(n, step, kill) })
		}
		all.Wait()
	case schedule.EntryStop:
		s.restart(n, step, s.stop)
	case schedule.EntryPause:
		defer s.trouble(s.fleet[n].Settings.Name, step, false)()
		s.fleet[n].Signal(syscall.SIGSTOP)
		time.Sleep(step.For)
		s.fleet[n].Signal(syscall.SIGCONT)
	case schedule.EntryReload:
		defer s.trouble(s.fleet[n].Settings.Name, step, true)()
		s.fail(s.fleet[n].Write())
		s.fleet[n].Signal(syscall.SIGHUP)
	case schedule.StoreLink:
		defer s.trouble(s.fleet[n].Settings.Name, step, false)()
		s.harm(s.storeLinks[n], step)
	case schedule.UpstreamLink:
		p.changes.Lock()
		defer p.changes.Unlock()
		defer s.trouble(p.upstream.ID, step, false)()
		s.harm(p.link, step)
	case schedule.UpstreamCrash:
		s.crash(p, step)
	case schedule.UpstreamLeave:
		s.leave(p)
	case schedule.UpstreamFault:
		p.changes.Lock()
		defer p.changes.Unlock()
		defer s.trouble(p.upstream.ID, step, false)()
		p.upstream.SetBehaviour(behaviours[step.Variant%len(behaviours)])
		time.Sleep(step.For)
		p.upstream.SetBehaviour(standin.Serve)
	case schedule.StoreFault:
		s.storeFault(step)
	case schedule.Change:
		s.change()
	}
}

func kill(e *program.Entry) {
	e.Signal(killSignal)
	e.AwaitEnd(program.Grace)
}

// trouble records the beginning of a step; the result records its end.
func (s *Soak) trouble(target string, step schedule.Step, planned bool) func() {
	return s.ledger.Begin(history.Trouble{Target: target, What: string(step.Fault), Planned: planned})
}

// restart ends an entry's process and starts the next one. An entry that is being
// restarted already is left alone.
func (s *Soak) restart(n int, step schedule.Step, end func(*program.Entry)) {
	e := s.fleet[n]
	if !e.BeginRestart() {
		return
	}
	defer e.EndRestart()
	defer s.trouble(e.Settings.Name, step, step.Fault == schedule.EntryStop)()
	end(e)
	time.Sleep(restartPause)
	s.fail(e.Start())
}

// stop asks an entry to leave and waits for its end.
func (s *Soak) stop(e *program.Entry) {
	e.Signal(syscall.SIGTERM)
	if e.AwaitEnd(program.Grace+exitSlack) && !s.paused(e) {
		s.fail(fmt.Errorf("%s still runs %s after SIGTERM", e.Settings.Name, program.Grace))
	}
}

// paused tells whether an entry was paused in the last grace.
func (s *Soak) paused(e *program.Entry) bool {
	return s.ledger.Troubled(e.Settings.Name, string(schedule.EntryPause), time.Now().Add(-program.Grace-history.Touch))
}

// harm harms a link for the step's time. Harms that overlap end together.
func (s *Soak) harm(l *proxy.Link, step schedule.Step) {
	if err := l.Harm(proxy.Harms[step.Variant%len(proxy.Harms)]); err != nil {
		// The same harm is done already; it ends with the first.
		return
	}
	time.Sleep(step.For)
	l.Heal()
}

// crash ends an upstream at once. Another one comes at the same address after a
// while, before or after the store drops the entry of the former one.
func (s *Soak) crash(p *place, step schedule.Step) {
	p.changes.Lock()
	defer p.changes.Unlock()
	id := p.upstream.ID
	defer s.trouble(id, step, false)()
	p.link.Close()
	p.upstream.Close()
	time.AfterFunc(lapseTime, func() { s.store.RemoveWorker(id) })
	time.Sleep(step.For)
	s.fail(s.enter(p))
}

// leave takes an upstream out as planned: it takes no new work, ends what it has, and
// goes. Another one comes at the same address.
func (s *Soak) leave(p *place) {
	p.changes.Lock()
	defer p.changes.Unlock()
	w := p.upstream
	s.store.MarkDraining(w, standin.ServiceName, p.domain, p.at)
	s.ledger.Leave(w.ID)
	time.Sleep(program.DrainTime + lapseTime)
	s.store.RemoveWorker(w.ID)
	end := s.ledger.Begin(history.Trouble{Target: w.ID, What: "gone"})
	defer end()
	p.link.Close()
	w.Close()
	s.fail(s.enter(p))
}

// behaviours are the faults of an upstream.
var behaviours = []standin.Behaviour{
	standin.Decline, standin.Fail, standin.Reset, standin.Truncate, standin.Hang, standin.WrongRequestID, standin.Unsigned, standin.TruncateStream, standin.StallStream,
}

// storeFaults are the faults of the store that last; the one after them is a
// history that it forgets.
var storeFaults = []standin.Faults{
	{Status: 503}, {NoResponse: true}, {StallWatches: true}, {Delay: 600 * time.Millisecond}, {DropWriteResponses: 3, PageSize: 2},
}

func (s *Soak) storeFault(step schedule.Step) {
	defer s.trouble(history.Store, step, false)()
	variant := step.Variant % (len(storeFaults) + 1)
	if variant == len(storeFaults) {
		s.store.DropHistory()
		return
	}
	s.mu.Lock()
	s.storeFaults++
	s.mu.Unlock()
	s.store.SetFaults(storeFaults[variant])
	time.Sleep(step.For)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeFaults--; s.storeFaults == 0 {
		s.store.SetFaults(standin.Faults{})
	}
}
