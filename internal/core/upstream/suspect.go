package upstream

import (
	"slices"
	"time"

	"bramleydeal/internal/world/service"
)

// End is the end of an upstream's process without notice.
type End struct {
	Of service.Incarnation
	At time.Time
}

// suspect is what is known of a part that was implicated.
type suspect struct {
	// ends are the ends that implicate the part, in order of time.
	ends []End
	// provenAt is when a request with the part last made progress, zero if not known.
	provenAt time.Time
	// trialAt is when this process last let a request with the part through, zero if it
	// did not since the last end.
	trialAt time.Time
}

// addEnd adds an end and reports whether it was not known.
func (p *suspect) addEnd(e End) bool {
	if p.implicatedBy(e) {
		return false
	}
	p.ends = append(p.ends, e)
	slices.SortStableFunc(p.ends, func(a, b End) int { return a.At.Compare(b.At) })
	p.ends = p.ends[max(len(p.ends)-maxEnds, 0):]
	p.trialAt = time.Time{}
	return true
}

// weight returns the number of ends that speak against a part by itself. Ends before the
// last proof do not count.
func (s *Suspects) weight(p *suspect) int {
	first := slices.IndexFunc(p.ends, func(e End) bool { return e.At.After(p.provenAt) })
	if first < 0 {
		return 0
	}
	since := p.ends[first:]
	proven := !p.provenAt.IsZero() && since[0].At.Sub(p.provenAt) < proofTime
	switch s.subject.(type) {
	case WholeRequests:
		return requestWeight(len(since), episodes(since), proven)
	default:
		if proven {
			return max(episodes(since)-provenAllowance, 0)
		}
		return len(since)
	}
}

// requestWeight returns the number of ends that speak against a whole request that is
// implicated in a number of ends, which belong to a number of episodes. Several copies of it may
// have been at upstreams in one episode, so no more than one end counts in addition to one
// each episode. proven is true if the request was sound shortly before.
func requestWeight(ends, episodes int, proven bool) int {
	if proven && episodes <= provenRequestAllowance {
		return 0
	}
	if weight := min(ends, episodes+1); weight >= minRequestEnds {
		return weight
	}
	return 0
}

// implicatedBy reports whether an end implicates the part.
func (p *suspect) implicatedBy(e End) bool {
	return slices.ContainsFunc(p.ends, func(o End) bool { return o.Of.Equal(e.Of) })
}

// evidence returns the number of ends that speak against a part. A single one does not if
// it has a better explanation: another part that it implicates and that others do too.
func (s *Suspects) evidence(p *suspect) int {
	weight := s.weight(p)
	if weight != 1 {
		return weight
	}
	for _, o := range s.parts {
		if o != p && len(o.ends) >= conclusiveEnds && o.implicatedBy(p.lastEnd()) && s.weight(o) >= conclusiveEnds {
			return 0
		}
	}
	return weight
}

// episodes returns the number of episodes that ends, in order of time, belong to.
func episodes(ends []End) int {
	n := 0
	var last time.Time
	for _, e := range ends {
		if n == 0 || e.At.Sub(last) >= episodeGap {
			n++
			last = e.At
		}
	}
	return n
}

// holdTime returns the time for which a part is held back after its last end, given the
// evidence against it.
func holdTime(evidence int) time.Duration {
	if evidence == 0 {
		return 0
	}
	hold := firstHold
	for range evidence - 1 {
		hold = min(hold*holdGrowth, maxHold)
	}
	return hold
}

// lastEnd returns the last end that implicates the part.
func (p *suspect) lastEnd() End { return p.ends[len(p.ends)-1] }
