// Package admission decides which requests an entry admits to a service whose upstreams
// are overloaded, and when those that it refuses may return. Each entry decides alone,
// from what the upstreams report in their responses and from its own requests. It
// performs no I/O.
package admission

import (
	"math"
	"time"

	"bramleydeal/internal/core/capacity"
	"bramleydeal/internal/world/service"
)

// Config describes the service that a Gate admits requests to.
type Config struct {
	Model capacity.Model
	// Slots is the number of requests that one upstream runs concurrently.
	Slots int
	// MaxGap is the target for the longest pause of a stream, 0 for none.
	MaxGap time.Duration
}

// Parameters of the admission.
const (
	// slotShare is the fraction of an upstream's slots up to which it is filled on
	// average. Requests spread unevenly: with more, too many of them find all slots of
	// their upstream taken.
	slotShare = 0.85
	// workShare is the fraction of the work that engines do with all slots taken up to which
	// they are filled. More requests would be slower and hardly do more.
	workShare = 0.9
	// minSlotShare is the fraction of the slots below which admission does not go.
	// Engines are inefficient at less.
	minSlotShare = 0.5
	// gapShare is the fraction of the target for pauses that the time of a pass may
	// take. The rest is for passes that take longer than the others.
	gapShare = 0.85
	// openShare is the fraction of the limit below which every request is admitted.
	openShare = 0.85
	// urgencySpread is the difference between the limits for the most and the least
	// urgent requests, as a fraction of the limit.
	urgencySpread = 0.35
	// leastUrgent is the position among all requests, from the most urgent on, at which the
	// limit holds as it is.
	leastUrgent = 0.85
	// returnGapShare is the fraction of the target for pauses that a pass may take for requests
	// that return after a refusal. Most are late already, so they may use what the targets of
	// the others leave.
	returnGapShare = 0.7
)

// Times over which observations are averaged.
const (
	// passWindow is for the time of a pass, which is the same for all engines of a group
	// and hardly varies from one pass to the next.
	passWindow = 150 * time.Millisecond
	// loadWindow is for the load that upstreams report while no stream tells the time of a
	// pass. Requests spread unevenly, so single reports say little.
	loadWindow = 700 * time.Millisecond
	// usualWindow is for the usual load, and the time of a pass that goes with it.
	usualWindow = 8 * time.Second
	// skewWindow is for the skew of passes.
	skewWindow = 1500 * time.Millisecond
	// ownWindow is for the requests in flight of this entry.
	ownWindow = 6 * time.Second
	// mixWindow is for the shares of the levels of urgency among the requests.
	mixWindow = 5 * time.Second
	// maxPause is the pause from which on a stream counts as stalled, which says
	// nothing about the load.
	maxPause = time.Second
	// overloadGap is the time without a refusal after which an overload has ended.
	overloadGap = time.Second
)

// Gate decides on the requests of one entry to one service. It is not safe for
// concurrent use.
type Gate struct {
	config Config
	// reported and usual are averages of the number of requests that an upstream runs or
	// queues, over loadWindow and usualWindow.
	reported, usual average
	// pass and usualPass are averages of the time of a pass in seconds, over passWindow and
	// usualWindow.
	pass, usualPass average
	skew            average
	// own is the average of inFlight over ownWindow.
	own      average
	inFlight int
	levels   levelMix
	// refusedSince and refusedAt are the times of the first and the last refusal of the
	// current overload.
	refusedSince, refusedAt time.Time
	admitted, refused       uint64
}

// NewGate returns a gate that has observed nothing. It admits every request.
func NewGate() *Gate { return &Gate{} }

// Configure changes the description of the service.
func (g *Gate) Configure(c Config) { g.config = c }

// Request is a request on which a Gate decides.
type Request struct {
	Urgency service.Urgency
	// Returning is set if the request was refused before and comes again.
	Returning bool
	// Draw is a uniform random number in [0, 1).
	Draw float64
}

// Admit reports whether a request is admitted at now. An admitted request counts as in
// flight until Done.
func (g *Gate) Admit(r Request, now time.Time) bool {
	g.levels.record(r.Urgency, now)
	if !g.admits(r, now) {
		if g.refusedSince.IsZero() || now.Sub(g.refusedAt) > overloadGap {
			g.refusedSince = now
		}
		g.refusedAt = now
		g.refused++
		return false
	}
	g.own.add(float64(g.inFlight), ownWindow, now)
	g.inFlight++
	g.admitted++
	return true
}

// admits reports whether the load at now leaves room for a request.
func (g *Gate) admits(r Request, now time.Time) bool {
	limit := g.limit()
	switch {
	case limit <= 0, !g.reported.fresh(now):
		return true
	case r.Returning:
		return g.passLeavesRoom(returnGapShare, 1, now) && g.load(r.Draw, now) < limit
	}
	factor := 1 + urgencySpread*(leastUrgent-g.levels.position(r.Urgency))
	if !g.passLeavesRoom(gapShare, factor, now) {
		return false
	}
	limit = slotShare * float64(g.config.Slots)
	return g.load(0, now) < openShare*limit || g.load(r.Draw, now) < factor*limit
}

// passLeavesRoom reports whether a pass takes at most a share of the target for pauses at now.
// What requests add to a pass may be factor times as much. It is true if that is not known, if
// engines have few requests, and if even few would not be in time.
func (g *Gate) passLeavesRoom(share, factor float64, now time.Time) bool {
	few := minSlotShare * float64(g.config.Slots)
	if !g.pass.fresh(now) || !g.config.Model.Known() || g.config.MaxGap <= 0 || g.reported.value < few {
		return true
	}
	base, gap := g.config.Model.PassTime(0, 1).Seconds(), g.config.MaxGap.Seconds()
	added := g.pass.value - base
	if base+added*few/g.reported.value > gap {
		return true
	}
	return added <= factor*(share*gap-base)
}

// Reopen records that the upstreams run requests again after an outage. What was observed
// before says nothing of the load and the passes that follow.
func (g *Gate) Reopen() {
	g.reported, g.usual, g.pass, g.usualPass, g.skew = average{}, average{}, average{}, average{}, average{}
}

// ownWeight is the number of requests in flight at which this entry's own count says as much
// of the load as the time of a pass. Few requests come and go by chance.
const ownWeight = 30

// reportMargin is the number of requests by which the reports of upstreams may be below the
// load that the time of a pass tells. Passes also take longer while the load of experts shifts.
const reportMargin = 0.5

// maxTrend is the most by which a rise of this entry's own requests counts as one of the load.
// It may have taken over the callers of an entry that ended.
const maxTrend = 1.4

// load returns the number of requests that an upstream runs or queues at now, with extra more
// requests in flight at this entry. It is estimated from the change of the pass since the
// usual load, and from that of this entry's own requests.
func (g *Gate) load(extra float64, now time.Time) float64 {
	load := g.reported.value
	if base := g.config.Model.PassTime(0, 1).Seconds(); g.pass.fresh(now) && g.config.Model.Known() && g.usualPass.value > base {
		load = min(load+reportMargin, g.usual.value*max(g.pass.value-base, 0)/(g.usualPass.value-base))
	}
	if g.own.value < 1 {
		return load
	}
	weight := g.own.value / (g.own.value + ownWeight)
	trend := min((float64(g.inFlight)+extra)/g.own.value, maxTrend)
	return (1-weight)*load + weight*g.usual.value*trend
}

// limit returns the load of an upstream up to which requests that return are admitted, 0 for no
// limit.
func (g *Gate) limit() float64 {
	slots := float64(g.config.Slots)
	limit := slotShare * slots
	if !g.config.Model.Known() || g.config.MaxGap <= 0 {
		return limit
	}
	if g.config.Model.PassTime(minSlotShare*slots, g.skew.value) > g.config.MaxGap {
		// Fewer requests would not bring those that remain in time.
		return limit
	}
	limit = min(limit, g.config.Model.Efficient(g.config.Slots, workShare, g.skew.value))
	gap := time.Duration(gapShare * float64(g.config.MaxGap))
	return max(min(limit, g.config.Model.Running(gap, g.skew.value)), minSlotShare*slots)
}

// Done records that an admitted request has ended.
func (g *Gate) Done(now time.Time) {
	g.own.add(float64(g.inFlight), ownWindow, now)
	g.inFlight = max(g.inFlight-1, 0)
}

// RecordLoad records the number of requests that an upstream runs or queues.
func (g *Gate) RecordLoad(load int, now time.Time) {
	g.reported.add(float64(load), loadWindow, now)
	g.usual.add(float64(load), usualWindow, now)
}

// RecordPause records the time between two events of a stream, which is that of a pass.
func (g *Gate) RecordPause(pause time.Duration, now time.Time) {
	if pause <= 0 || pause > maxPause {
		return
	}
	g.pass.add(pause.Seconds(), passWindow, now)
	g.usualPass.add(pause.Seconds(), usualWindow, now)
	if g.config.Model.Known() && g.usual.fresh(now) {
		running := min(g.usual.value, float64(g.config.Slots))
		g.skew.add(g.config.Model.Skew(time.Duration(g.usualPass.value*float64(time.Second)), running), skewWindow, now)
	}
}

// RetryAfter returns the time after which a request that was refused may return, at most
// the given time. An overload is expected to last as long again as it has lasted; draw,
// in [0, 1), spreads the requests.
func (g *Gate) RetryAfter(most time.Duration, draw float64, now time.Time) time.Duration {
	expected := max(now.Sub(g.refusedSince), minRetryAfter)
	return min(time.Duration((1+draw/2)*float64(expected)), time.Duration((1-draw/4)*float64(most)))
}

// OverloadBegan reports whether the refusal at now was the first one of an overload.
func (g *Gate) OverloadBegan(now time.Time) bool {
	return !g.refusedAt.IsZero() && g.refusedAt.Equal(now) && g.refusedSince.Equal(now)
}

// minRetryAfter is the shortest time after which a refused request returns.
const minRetryAfter = 250 * time.Millisecond

// State is the debug state of a Gate.
type State struct {
	// Load is the number of requests that an upstream runs or queues, Limit the one up to
	// which requests that return are admitted.
	Load  float64 `json:"load"`
	Limit float64 `json:"limit"`
	// LoadAgeMS is the time in milliseconds since an upstream last reported its load.
	LoadAgeMS int64 `json:"load-age-milliseconds"`
	// PassMS is the observed time of a pass in milliseconds, PredictedPassMS the one that
	// the model predicts without skew.
	PassMS          float64 `json:"pass-milliseconds"`
	PredictedPassMS float64 `json:"predicted-pass-milliseconds"`
	Skew            float64 `json:"skew"`
	InFlight        int     `json:"in-flight"`
	Admitted        uint64  `json:"admitted"`
	Refused         uint64  `json:"refused"`
}

// State returns the debug state at now.
func (g *Gate) State(now time.Time) State {
	s := State{
		Load: g.load(0, now), Limit: g.limit(), PassMS: 1000 * g.pass.value, Skew: g.skew.value, InFlight: g.inFlight, Admitted: g.admitted, Refused: g.refused,
	}
	if !g.reported.at.IsZero() {
		s.LoadAgeMS = now.Sub(g.reported.at).Milliseconds()
	}
	if g.config.Model.Known() {
		s.PredictedPassMS = float64(g.config.Model.PassTime(s.Load, 1)) / float64(time.Millisecond)
	}
	return s
}

// average is a mean of samples in which the weight of a sample falls exponentially with its
// age.
type average struct {
	value, weight float64
	at            time.Time
}

// add adds a sample. window is the time in which the weight of a sample falls to 1/e.
func (a *average) add(sample float64, window time.Duration, now time.Time) {
	a.weight = a.weight*(1-gain(now.Sub(a.at), window)) + 1
	a.value += (sample - a.value) / a.weight
	a.at = now
}

// maxAge is the age up to which an average says something of the present.
const maxAge = 3 * time.Second

// fresh reports whether the last sample is not too old.
func (a *average) fresh(now time.Time) bool { return !a.at.IsZero() && now.Sub(a.at) < maxAge }

// gain returns the weight of a sample that arrives some time after the one before.
func gain(elapsed, window time.Duration) float64 {
	return 1 - math.Exp(-max(elapsed, 0).Seconds()/window.Seconds())
}
