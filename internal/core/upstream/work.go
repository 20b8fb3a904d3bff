package upstream

import (
	"math"
	"time"

	"bramleydeal/internal/world/service"
)

// Size is what is known of a request's size before it runs, in tokens; 0 where
// nothing is.
type Size struct {
	Prompt int
	// AnswerLimit is the most that may be generated, AnswerHint the caller's guess.
	AnswerLimit, AnswerHint int
}

// hintTrust is the power of a caller's guess against the usual length: guesses
// are right at the median and often far off.
const hintTrust = 0.65

// unitWork is the work of a request of which nothing is known. Only ratios count.
const unitWork = 50 * time.Millisecond

// Work estimates the time that a request takes of a model engine, beside what
// all requests share: reading its prompt and generating its answer.
func Work(e *service.Engine, s Size) time.Duration {
	if e == nil || e.ReadRate <= 0 || e.SequenceTime <= 0 {
		return unitWork
	}
	prompt := s.Prompt
	if prompt <= 0 {
		prompt = e.UsualPrompt
	}
	answer := float64(e.UsualAnswer)
	if s.AnswerHint > 0 && answer > 0 {
		answer *= math.Pow(float64(s.AnswerHint)/answer, hintTrust)
	}
	if s.AnswerLimit > 0 {
		answer = min(answer, float64(s.AnswerLimit))
	}
	read := time.Duration(float64(prompt) / e.ReadRate * float64(time.Second))
	return max(read+time.Duration(answer*float64(e.SequenceTime)), time.Millisecond)
}
