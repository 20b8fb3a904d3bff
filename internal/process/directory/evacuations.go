package directory

import (
	"slices"
	"time"

	"bramleydeal/internal/core/store"
	"bramleydeal/internal/core/upstream"
	"bramleydeal/internal/world/fleet"
	"bramleydeal/internal/world/service"
)

// WithEvacuations follows the evacuated failure domains. One that is missing because the
// store came back from an older copy stays evacuated for hold. Until the evacuations are
// known, View is empty, but for unconfirmedLimit at most.
func WithEvacuations(hold time.Duration) Option {
	return func(d *Directory) {
		d.evacuations = upstream.NewEvacuations(hold)
		d.kinds = append(slices.Clone(kinds), Evacuations)
		d.requestKinds = append(slices.Clone(requestKinds), Evacuations)
	}
}

// Kinds returns the kinds that the directory follows.
func (d *Directory) Kinds() []Kind { return slices.Clone(d.kinds) }

// updateEvacuations updates the evacuated failure domains from the replica. An object's name
// is the domain; its value does not matter. The caller holds d.mu.
func (d *Directory) updateEvacuations(source string) {
	r := d.replicas[Evacuations]
	listed := map[fleet.FailureDomain]bool{}
	for _, o := range r.List("") {
		listed[fleet.FailureDomain(o.Name)] = true
	}
	for _, domain := range d.evacuations.UpdateList(listed, store.EraOf(r.Revision()), time.Now()) {
		d.log.Info("the store's older copy lacks an evacuation; it stays in force for a time", "domain", domain, "revision", store.RevisionOf(r.Revision()), "source", source)
	}
	d.publishEvacuated(source)
}

// publishEvacuated publishes the failure domains that are evacuated now, and sets a timer for
// the time at which that changes by itself. The caller holds d.mu.
func (d *Directory) publishEvacuated(source string) {
	view := d.view.Load()
	evacuated, next := d.evacuations.InForce(time.Now())
	if d.evacuationTimer != nil {
		d.evacuationTimer.Stop()
	}
	if !next.IsZero() {
		d.evacuationTimer = time.AfterFunc(time.Until(next), func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.publishEvacuated("older copy")
		})
	}
	d.logEvacuations(view, evacuated, source)
	d.publish(view.WithEvacuated(evacuated))
}

// logEvacuations logs each failure domain that differs between a view and the evacuated
// domains that follow it. The caller holds d.mu.
func (d *Directory) logEvacuations(before *service.View, evacuated map[fleet.FailureDomain]bool, source string) {
	revision := store.RevisionOf(d.replicas[Evacuations].Revision())
	for domain := range evacuated {
		switch {
		case before.Evacuated[domain]:
		case before.UpstreamsKnown && countIn(before.Upstreams, domain) == 0:
			d.log.Info("evacuation of a failure domain without upstreams", "domain", domain, "revision", revision, "source", source)
		default:
			d.log.Info("failure domain evacuated", "domain", domain, "revision", revision, "source", source, "upstreams", countIn(before.Upstreams, domain))
		}
	}
	for domain := range before.Evacuated {
		if !evacuated[domain] {
			d.log.Info("failure domain no longer evacuated", "domain", domain, "revision", revision, "source", source)
		}
	}
}

// countIn returns the number of upstreams in a failure domain.
func countIn(upstreams map[string]service.Upstream, domain fleet.FailureDomain) int {
	n := 0
	for _, u := range upstreams {
		if u.FailureDomain == domain {
			n++
		}
	}
	return n
}
