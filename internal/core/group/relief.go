package group

import "slices"

// relief is a change of one or two slots that takes load from the slowest rank of a
// layer: a further replica of one of its experts at another rank, an exchange of two
// experts with another rank, or the removal of a replica.
type relief struct {
	// slots are the slots that change, experts what they hold afterwards. Only an
	// exchange changes a second slot, the first of its slots being the slowest rank's.
	slots, experts [2]int
	exchange       bool
	fetches        int
	// peak is the longest time of the affected ranks afterwards.
	peak float64
}

// relieve makes the changes of a relief.
func (p *layerPlan) relieve(r relief) []slotChange {
	if !r.exchange {
		return []slotChange{p.set(r.slots[0], r.experts[0])}
	}
	// The first slot is emptied before, so that no expert has two replicas at one rank.
	return []slotChange{p.set(r.slots[0], EmptySlot), p.set(r.slots[1], r.experts[1]), p.set(r.slots[0], r.experts[0])}
}

// reliefSearch is a search for the best relief of the slowest rank.
type reliefSearch struct {
	*layerPlan
	slowest   int
	allowance []int
	best      relief
	bestScore float64
}

// bestRelief returns the relief of the slowest rank with the largest reduction of the
// affected ranks' longest time per fetch, and false if there is none.
func (p *layerPlan) bestRelief(allowance []int) (relief, bool) {
	s := &reliefSearch{layerPlan: p, slowest: slices.Index(p.times, p.slowestTime()), allowance: allowance}
	targets := p.leastLoaded()
	for i, e := range p.experts(s.slowest) {
		if e == EmptySlot || p.loads[e] == 0 {
			continue
		}
		slot := s.slowest*p.shape.Slots + i
		if len(p.holders[e]) > 1 {
			s.considerRemoval(slot)
		}
		for _, rank := range targets {
			if p.times[rank] < p.times[s.slowest] && s.mayHold(rank, e) {
				s.considerTarget(slot, rank)
			}
		}
	}
	return s.best, s.bestScore > 0
}

// mayHold reports whether a rank may get an expert, which it must not hold yet.
func (s *reliefSearch) mayHold(rank, e int) bool {
	if slices.Contains(s.experts(rank), e) {
		return false
	}
	return s.mustFetch(rank, e) == 0 || s.fetches[rank] < s.allowance[rank]
}

// consider makes r the best relief if its score is the highest so far.
func (s *reliefSearch) consider(r relief) {
	saving := s.times[s.slowest] - r.peak
	// A relief without fetches counts as half of one.
	if score := saving / max(float64(r.fetches), 0.5); saving > minRelief && score > s.bestScore {
		s.best, s.bestScore = r, score
	}
}

// considerRemoval considers to remove a replica from a slot of the slowest rank.
func (s *reliefSearch) considerRemoval(slot int) {
	e := s.slots[slot]
	peak := s.times[s.slowest] - s.share(e)/s.shape.speed(s.slowest)
	s.consider(relief{slots: [2]int{slot}, experts: [2]int{EmptySlot}, peak: max(peak, s.peakWithoutReplica(e, s.slowest))})
}

// peakWithoutReplica returns the longest time of the other holders of an expert after the
// replica at a rank is removed.
func (s *reliefSearch) peakWithoutReplica(e, rank int) float64 {
	more := s.loads[e]/float64(len(s.holders[e])-1) - s.share(e)
	peak := 0.0
	for _, h := range s.holders[e] {
		if h != rank {
			peak = max(peak, s.times[h]+more/s.shape.speed(h))
		}
	}
	return peak
}

// considerTarget considers to let a rank take load of the expert in a slot of the slowest
// rank: by a further replica, in an empty slot or in place of an expert that has others,
// or by an exchange.
func (s *reliefSearch) considerTarget(slot, rank int) {
	e := s.slots[slot]
	share := s.share(e)
	replicaShare := s.loads[e] / float64(len(s.holders[e])+1)
	slowestTime, slowestSpeed := s.times[s.slowest], s.shape.speed(s.slowest)
	time, speed := s.times[rank], s.shape.speed(rank)
	fetches := s.mustFetch(rank, e)
	for i, x := range s.experts(rank) {
		other := rank*s.shape.Slots + i
		r := relief{slots: [2]int{other}, experts: [2]int{e}, fetches: fetches, peak: slowestTime - (share-replicaShare)/slowestSpeed}
		if x == EmptySlot {
			r.peak = max(r.peak, time+replicaShare/speed)
			s.consider(r)
			continue
		}
		freed := s.share(x)
		if len(s.holders[x]) > 1 {
			r.peak = max(r.peak, time+(replicaShare-freed)/speed, s.peakWithoutReplica(x, rank))
			s.consider(r)
		}
		if freed < share && s.mayHold(s.slowest, x) {
			s.consider(relief{
				slots: [2]int{slot, other}, experts: [2]int{x, e}, exchange: true, fetches: fetches + s.mustFetch(s.slowest, x),
				peak: max(slowestTime-(share-freed)/slowestSpeed, time+(share-freed)/speed),
			})
		}
	}
}
