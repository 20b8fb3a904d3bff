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

// engine speaks to the rank's side of a model engine.
type engine struct {
	base string
	http *http.Client
}

func newEngine(address netip.AddrPort) *engine {
	return &engine{base: "http://" + address.String(), http: &http.Client{Timeout: engineTimeout}}
}

// plan is what the engine goes by. State is the agent's own state, which the
// engine keeps, so that it outlives the agent.
type plan struct {
	Version uint64      `json:"version"`
	Grants  []planGrant `json:"grants"`
	Hold    uint64      `json:"hold"`
	// NotPast makes the engine refuse the plan when it has started a later step.
	NotPast uint64 `json:"not-past"`
	// Needs makes the engine refuse the plan when it has not staged this map.
	Needs uint64      `json:"needs"`
	State *group.Rank `json:"state,omitempty"`
}

type planGrant struct {
	From uint64 `json:"from"`
	Map  uint64 `json:"map"`
}

// status is the engine's answer.
type status struct {
	Step    uint64   `json:"step"`
	Plan    plan     `json:"plan"`
	LoadMap uint64   `json:"load-map"`
	Tokens  []uint32 `json:"tokens"`
}

// read returns the engine's plan and next step, and with tokens the tokens
// counted since they were last read.
func (e *engine) read(ctx context.Context, tokens bool) (status, error) {
	path := "/rank"
	if tokens {
		path += "?tokens"
	}
	s, _, err := e.call(ctx, http.MethodGet, path, nil)
	return s, err
}

// put replaces the plan. It reports false when the engine is past the plan's
// step or has another plan by now.
func (e *engine) put(ctx context.Context, p plan) (status, bool, error) {
	body, err := json.Marshal(p)
	if err != nil {
		return status{}, false, oops.Wrap(err)
	}
	return e.call(ctx, http.MethodPut, "/rank", body)
}

// stage gives the engine a map, whose weights it fetches while it goes on.
func (e *engine) stage(ctx context.Context, version uint64, content []byte) error {
	_, ok, err := e.call(ctx, http.MethodPut, "/rank/maps/"+strconv.FormatUint(version, 10), content)
	if err == nil && !ok {
		return oops.Code("engine").Errorf("the engine refuses map %d", version)
	}
	return err
}

func (e *engine) call(ctx context.Context, method, path string, body []byte) (status, bool, error) {
	request, err := http.NewRequestWithContext(ctx, method, e.base+path, bytes.NewReader(body))
	if err != nil {
		return status{}, false, oops.Wrap(err)
	}
	response, err := e.http.Do(request)
	if err != nil {
		return status{}, false, oops.Code("engine").Wrap(err)
	}
	defer response.Body.Close()
	var s status
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
func planOf(r group.Rank, version uint64) plan {
	p := plan{Version: version, Hold: r.Hold, State: &r}
	for _, g := range r.Grants {
		p.Grants = append(p.Grants, planGrant(g))
	}
	return p
}
