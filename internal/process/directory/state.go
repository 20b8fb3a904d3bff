package directory

import (
	"maps"
	"slices"
	"time"

	"bramleydeal/internal/core/store"
	"bramleydeal/internal/world/fleet"
)

// State is the directory's debug state.
type State struct {
	ConfigurationVersion uint64               `json:"configuration-version"`
	Kinds                map[string]KindState `json:"kinds"`
	Instances            int                  `json:"instances"`
	// Evacuated are the evacuated failure domains, sorted.
	Evacuated []fleet.FailureDomain `json:"evacuated,omitempty"`
	Stats     Stats                 `json:"stats"`
}

// KindState is the state of one kind.
type KindState struct {
	// Era and Revision are those of the store up to which the kind is known.
	Era      uint64 `json:"era"`
	Revision uint64 `json:"revision"`
	// StoreFailing is set while this process's calls to the store for the kind
	// fail.
	StoreFailing bool `json:"store-failing"`
	// AnsweredAgo is the time since the last successful call, 0 before the first.
	AnsweredAgo time.Duration `json:"answered-ago-nanoseconds"`
}

// State returns the directory's debug state.
func (d *Directory) State() State {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := State{
		ConfigurationVersion: configurationVersion(d.view.Load()),
		Kinds:                map[string]KindState{}, Instances: len(d.instances), Stats: d.stats,
		Evacuated: slices.Sorted(maps.Keys(d.view.Load().Evacuated)),
	}
	for _, k := range d.kinds {
		version := d.replicas[k].Revision()
		s := KindState{Era: store.EraOf(version), Revision: store.RevisionOf(version), StoreFailing: d.health[k].failing}
		if at := d.health[k].respondedAt; !at.IsZero() {
			s.AnsweredAgo = time.Since(at)
		}
		out.Kinds[string(k)] = s
	}
	return out
}
