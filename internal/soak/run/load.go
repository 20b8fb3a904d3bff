package run

import (
	"sync"
	"time"

	"bramleydeal/internal/soak/history"
	"bramleydeal/internal/soak/program"
	"bramleydeal/internal/soak/schedule"
	"bramleydeal/platform/standin"
)

// Parameters of the faults of schedule.GenerateLoad.
const (
	// coldReturns is the number of upstreams of a failure domain that return at once.
	coldReturns = 2
	// overloadPlaces is the number of requests that an upstream takes at once under overload.
	overloadPlaces = 1
)

// withLoad adds to a configuration what the faults of schedule.GenerateLoad need: the cold time
// of the service, and a route that is more urgent than the others.
func withLoad(configuration map[string]any, routes []map[string]any) map[string]any {
	for _, service := range configuration["services"].([]map[string]any) {
		service["coldS"], service["coldPerS"] = program.ColdTime.Seconds(), program.ColdRate
	}
	for _, route := range routes {
		if route["name"] == string(history.Confirm) {
			route["priority"] = 0
		}
	}
	return configuration
}

// returnCold ends upstreams of one failure domain at once. Cold ones take their places after
// the duration of the step.
func (s *Soak) returnCold(step schedule.Step) {
	var all sync.WaitGroup
	for n := range coldReturns {
		slot := s.upstreamSlots[(step.Target+n*failureDomainCount)%len(s.upstreamSlots)]
		all.Go(func() { s.crashUpstream(slot, step) })
	}
	all.Wait()
}

// overload leaves each upstream with overloadPlaces for the duration of the step.
func (s *Soak) overload(step schedule.Step) {
	s.setPlaces(overloadPlaces)
	end := s.history.BeginOverload()
	time.Sleep(step.Duration)
	end()
	s.setPlaces(0)
}

// setPlaces sets the number of requests that each upstream takes at once, 0 for no limit.
func (s *Soak) setPlaces(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.places = n
	for _, slot := range s.upstreamSlots {
		slot.upstream.SetPlaces(n)
	}
}

// coldOption returns the option of an upstream that starts now: it is cold if callers send
// requests already.
func (s *Soak) coldOption(id string) standin.WorkerOption {
	if !s.load || !s.callersRun.Load() {
		return standin.WithColdTime(0)
	}
	s.history.MarkCold(id, time.Now().Add(program.ColdTime))
	return standin.WithColdTime(program.ColdTime)
}
