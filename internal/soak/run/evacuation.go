package run

import (
	"time"

	"bramleydeal/internal/soak/schedule"
)

// WithEvacuations makes the operator empty failure domains, one at a time.
func WithEvacuations() Option { return func(s *Soak) { s.evacuations = true } }

// evacuate empties the failure domain that a step selects for the duration of the step.
func (s *Soak) evacuate(step schedule.Step) {
	domain := failureDomain(step.Target)
	s.store.Evacuate(domain)
	end := s.history.BeginEvacuation(domain)
	time.Sleep(step.Duration)
	end()
	s.store.EndEvacuation(domain)
}
