package admission

import (
	"time"

	"bramleydeal/internal/world/service"
)

// maxLevels is the maximum number of levels of urgency that are told apart.
const maxLevels = 64

// levelMix holds how many of the requests have each level of urgency, as moving averages.
type levelMix struct {
	counts map[service.Urgency]float64
	at     time.Time
}

// record counts a request.
func (l *levelMix) record(u service.Urgency, now time.Time) {
	if l.counts == nil {
		l.counts = map[service.Urgency]float64{}
	}
	decay := 1 - gain(now.Sub(l.at), mixWindow)
	for k, n := range l.counts {
		if n *= decay; n < 0.01 {
			delete(l.counts, k)
		} else {
			l.counts[k] = n
		}
	}
	l.at = now
	if _, known := l.counts[u]; known || len(l.counts) < maxLevels {
		l.counts[u]++
	}
}

// position returns the share of the requests that are more urgent than u, plus half of the
// share of those that are as urgent.
func (l *levelMix) position(u service.Urgency) float64 {
	before, total := 0.0, 0.0
	for k, n := range l.counts {
		total += n
		switch c := k.Compare(u); {
		case c < 0:
			before += n
		case c == 0:
			before += n / 2
		}
	}
	if total == 0 {
		return 0.5
	}
	return before / total
}
