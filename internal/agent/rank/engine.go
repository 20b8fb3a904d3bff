// Package rank is the door to the expert map of the agent's rank: it lets in the
// orders that core/group accepts, puts the resulting plan to the engine before
// it answers, and completes a change that its leader left open.
package rank

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"bramleydeal/internal/core/group"
	"github.com/samber/oops"
)

// engineTimeout bounds a call to the engine.
const engineTimeout = 2 * time.Second

// Engine is the rank's side of a model engine.
type Engine interface {
	// Read returns the plan that the engine goes by and the next step that it
	// would start, and with loads what its requests chose.
	Read(ctx context.Context, loads bool) (Status, error)
	// Put replaces the plan. It reports false when the engine is past the plan's
	// step, lacks the map that the plan needs, or has another plan by now.
	Put(ctx context.Context, p Plan) (Status, bool, error)
	// Stage gives the engine a map and returns once it is there.
	Stage(ctx context.Context, version uint64, content []byte) error
}

// planEngine is an engine that takes whole plans and keeps the agent's state.
type planEngine struct {
	base string
	http *http.Client
}

// NewPlanEngine returns the engine at an address that takes whole plans.
func NewPlanEngine(address netip.AddrPort) Engine {
	return &planEngine{base: "http://" + address.String(), http: &http.Client{Timeout: engineTimeout}}
}

// Plan is what the engine goes by. State is the agent's own state, which the
// engine keeps, so that it outlives the agent.
type Plan struct {
	Version  uint64      `json:"version"`
	Grants   []PlanGrant `json:"grants"`
	HoldStep uint64      `json:"hold"`
	// NotPast makes the engine refuse the plan when it has started a later step.
	MaxStep uint64 `json:"not-past"`
	// Needs makes the engine refuse the plan when it has not staged this map.
	RequiredMap uint64      `json:"needs"`
	State       *group.Rank `json:"state,omitempty"`
}

// PlanGrant allows a map from a step on.
type PlanGrant struct {
	FromStep   uint64 `json:"from"`
	MapVersion uint64 `json:"map"`
}

// Status is the engine's answer.
type Status struct {
	Step    uint64   `json:"step"`
	Plan    Plan     `json:"plan"`
	LoadMap uint64   `json:"load-map"`
	Tokens  []uint32 `json:"tokens"`
	// Chosen is what the rank's requests chose since it was last read, and Held
	// the experts of the rank by layer, where the engine counts by expert.
	Chosen      group.Sample `json:"-"`
	HeldExperts [][]int      `json:"-"`
}

// Read implements Engine. The tokens are those counted since they were last read.
func (e *planEngine) Read(ctx context.Context, tokens bool) (Status, error) {
	path := "/rank"
	if tokens {
		path += "?tokens"
	}
	s, _, err := e.call(ctx, http.MethodGet, path, nil)
	return s, err
}

// Put implements Engine.
func (e *planEngine) Put(ctx context.Context, p Plan) (Status, bool, error) {
	body, err := json.Marshal(p)
	if err != nil {
		return Status{}, false, oops.Wrap(err)
	}
	return e.call(ctx, http.MethodPut, "/rank", body)
}

// Stage implements Engine: the engine fetches the weights while it goes on.
func (e *planEngine) Stage(ctx context.Context, version uint64, content []byte) error {
	_, ok, err := e.call(ctx, http.MethodPut, "/rank/maps/"+strconv.FormatUint(version, 10), content)
	if err == nil && !ok {
		return oops.Code("engine").Errorf("the engine refuses map %d", version)
	}
	return err
}

func (e *planEngine) call(ctx context.Context, method, path string, body []byte) (Status, bool, error) {
	request, err := http.NewRequestWithContext(ctx, method, e.base+path, bytes.NewReader(body))
	if err != nil {
		return Status{}, false, oops.Wrap(err)
	}
	response, err := e.http.Do(request)
	if err != nil {
		return Status{}, false, oops.Code("engine").Wrap(err)
	}
	defer response.Body.Close()
	var s Status
	switch response.StatusCode {
	case http.StatusOK, http.StatusConflict:
		if method != http.MethodGet && path != "/rank" {
			return s, response.StatusCode == http.StatusOK, nil
		}
		err = json.NewDecoder(response.Body).Decode(&s)
		return s, response.StatusCode == http.StatusOK, oops.Code("engine").Wrap(err)
	default:
		return s, false, oops.Code("engine").Errorf("%s %s: status %d", method, path, response.StatusCode)
	}
}

// planOf returns the plan for a rank's state, to replace one of a version.
func planFor(r group.Rank, version uint64) Plan {
	p := Plan{Version: version, HoldStep: r.HoldStep, State: &r}
	for _, g := range r.Grants {
		p.Grants = append(p.Grants, PlanGrant(g))
	}
	return p
}
