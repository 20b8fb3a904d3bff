// Package rank controls the expert map of the agent's rank in an expert-parallel
// group. It decides on a leader's orders by the rules of core/group, applies the
// resulting plan to the engine before it replies, and completes a change of the
// map that the leader left unfinished.
//
// A rank is one engine of the group. An order is an instruction of the group's
// leader to a rank. A grant allows a rank to use a map from a step on, and a hold
// stops a rank before a step until that step is granted. A ballot identifies one
// attempt to change the map: a rank that has promised to follow a ballot refuses the
// orders of lower ones. A rank that loses its grants and promises in a restart
// continues under a new incarnation, and refuses the orders for earlier ones.
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
	"bramleydeal/internal/wire/dial"
	"bramleydeal/internal/wire/http11"
	"github.com/samber/oops"
)

// engineTimeout bounds one HTTP request to the engine.
const engineTimeout = 2 * time.Second

// maxStatusBytes is the longest status of an engine that is read.
const maxStatusBytes = 16 << 20

// Engine is the interface by which a Rank controls its model engine.
type Engine interface {
	// Read returns the engine's active plan and the next step that it would start.
	// With loads it also returns how often experts were selected since the last such
	// call.
	Read(ctx context.Context, loads bool) (Status, error)
	// Put replaces the plan. It reports false when the engine refuses the plan: when the
	// engine's next step is after MaxStep, when it has not staged RequiredMap, or when
	// its plan is no longer the one that was read. After an error the plan may or may
	// not have been replaced.
	Put(ctx context.Context, p Plan) (Status, bool, error)
	// Stage sends a map to the engine and returns when the engine holds its experts.
	Stage(ctx context.Context, version uint64, content []byte) error
}

// planEngine is an engine that accepts plans over HTTP and stores the agent's state
// with them.
type planEngine struct {
	base string
	http *http.Client
}

// NewPlanEngine returns a client of the engine at an address that accepts plans over
// HTTP and stores the agent's state with them.
func NewPlanEngine(address netip.AddrPort) Engine {
	return &planEngine{base: "http://" + address.String(), http: &http.Client{Timeout: engineTimeout, Transport: http11.NewTransport(&http.Transport{
		// A late copy of one response must not be taken for the next.
		DisableKeepAlives: true, MaxResponseHeaderBytes: dial.MaxResponseHead,
	})}}
}

// Plan tells the engine which map to use in which step, and the step to stop before
// (HoldStep, 0 for none). State is the agent's state, which the engine stores so that
// it survives a restart of the agent.
type Plan struct {
	Version  uint64      `json:"version"`
	Grants   []PlanGrant `json:"grants"`
	HoldStep uint64      `json:"hold"`
	// MaxStep makes the engine refuse the plan when its next step is a later one; 0
	// means no limit.
	MaxStep uint64 `json:"not-past"`
	// RequiredMap makes the engine refuse the plan when it has not staged this map.
	RequiredMap uint64      `json:"needs"`
	State       *group.Rank `json:"state,omitempty"`
	// Retired is a map to which the engine may not switch any more, nor to an earlier one,
	// also by an order that it carries out late; 0 for none. An engine that accepts plans
	// carries out none late.
	Retired uint64 `json:"-"`
}

// PlanGrant allows the engine to use a map from a step on, until the next grant.
type PlanGrant struct {
	FromStep   uint64 `json:"from"`
	MapVersion uint64 `json:"map"`
}

// Status is the engine's response: its next step, its plan, and the map under which
// Tokens were counted.
type Status struct {
	// Group is the name of the engine's group and Rank that of its rank in it, each empty if
	// the engine does not tell it.
	Group   string   `json:"-"`
	Rank    string   `json:"-"`
	Step    uint64   `json:"step"`
	Plan    Plan     `json:"plan"`
	LoadMap uint64   `json:"load-map"`
	Tokens  []uint32 `json:"tokens"`
	// Chosen holds how often each expert was selected since it was last read, and
	// HeldExperts the experts of the rank by layer. Only engines that count by expert
	// set them.
	Chosen      group.Sample `json:"-"`
	HeldExperts [][]int      `json:"-"`
	// Staged is that of group.Reply.
	Staged uint64 `json:"-"`
}

// Read implements Engine. The tokens are counted by layer and slot since the last
// call that asked for them.
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

// Stage implements Engine. The engine fetches the weights while it continues to run
// steps.
func (e *planEngine) Stage(ctx context.Context, version uint64, content []byte) error {
	_, ok, err := e.call(ctx, http.MethodPut, "/rank/maps/"+strconv.FormatUint(version, 10), content)
	if err == nil && !ok {
		return oops.Code("engine").Errorf("the engine refuses map %d", version)
	}
	return err
}

// call sends a request to the engine and decodes its status. It reports false when
// the engine refuses the request with a conflict.
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
		err = json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxStatusBytes)).Decode(&s)
		return s, response.StatusCode == http.StatusOK, oops.Code("engine").Wrap(err)
	default:
		return s, false, oops.Code("engine").Errorf("%s %s: status %d", method, path, response.StatusCode)
	}
}

// planFor returns the plan for a rank's state, which replaces the plan of the given
// version.
func planFor(r group.Rank, version uint64) Plan {
	p := Plan{Version: version, HoldStep: r.HoldStep, State: &r}
	for _, g := range r.Grants {
		p.Grants = append(p.Grants, PlanGrant(g))
	}
	return p
}
