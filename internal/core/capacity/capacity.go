// Package capacity predicts how long the engines of a service take for a pass, from
// their description in the configuration, and how many requests they can run while a
// pass stays within a limit. It performs no I/O.
package capacity

import (
	"time"

	"bramleydeal/internal/world/service"
)

// Model predicts the time of a pass of the engines of one service. Its requests have
// the mean lengths that the configuration names. The zero value predicts nothing.
type Model struct {
	// fixed is the time in seconds that a pass takes whatever runs, own and shared are
	// the times that each running request adds for the work of its own engine, and for
	// that of the experts of all engines of a group if it is spread evenly.
	fixed, own, shared float64
}

// NewModel returns the model of an engine, or the zero value if the engine is nil or its
// description lacks the time of a step.
func NewModel(e *service.Engine) Model {
	if e == nil || e.StepTime <= 0 {
		return Model{}
	}
	steps := float64(max(e.StepsPerPass, 1))
	prompt, answer := float64(e.MeanPromptTokens), float64(max(e.MeanAnswerTokens, 1))
	perStep := e.SequenceTime.Seconds() + e.ContextTime.Seconds()*(prompt+answer/2)/1000
	if e.PrefillRate > 0 {
		// Each prompt is read once, while its answer takes one step for each token.
		perStep += prompt / answer / e.PrefillRate
	}
	share := 0.0
	if e.Experts != nil {
		share = e.Experts.WorkShare
	}
	return Model{fixed: steps * e.StepTime.Seconds(), own: steps * perStep * (1 - share), shared: steps * perStep * share}
}

// Known reports whether the model predicts anything.
func (m Model) Known() bool { return m.fixed > 0 && m.own+m.shared > 0 }

// PassTime returns the time of a pass while each engine runs the given number of requests.
// skew is the load of the most loaded engine's experts over the mean, at least 1.
func (m Model) PassTime(running, skew float64) time.Duration {
	return time.Duration((m.fixed + running*(m.own+m.shared*max(skew, 1))) * float64(time.Second))
}

// Skew returns the skew at which a pass takes the observed time while each engine runs the
// given number of requests, at least 1. Engines that are slow for another reason count as
// skewed too.
func (m Model) Skew(pass time.Duration, running float64) float64 {
	if m.shared <= 0 || running <= 0 {
		return 1
	}
	return max(((pass.Seconds()-m.fixed)/running-m.own)/m.shared, 1)
}

// Running returns the number of requests that each engine may run so that a pass takes at
// most limit, 0 if none.
func (m Model) Running(limit time.Duration, skew float64) float64 {
	if !m.Known() {
		return 0
	}
	return max((limit.Seconds()-m.fixed)/(m.own+m.shared*max(skew, 1)), 0)
}

// Efficient returns the number of requests that each engine has to run to do a share of the
// work, in tokens per second, that it does with all its slots taken. More requests hardly do
// more work, but each of them is slower.
func (m Model) Efficient(slots int, share, skew float64) float64 {
	each := m.own + m.shared*max(skew, 1)
	all := float64(slots)
	return share * all * m.fixed / (m.fixed + all*each*(1-share))
}
