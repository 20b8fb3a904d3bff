package crowd

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"bramleydeal/internal/operator/local"
	"bramleydeal/internal/world/fleet"
)

// Paths of the project's own interface. The service behind heldService answers late.
const (
	accountKey  = "planners-key"
	fastService = "stock"
	heldService = "held"
	// longService is the one with long answers. It may run as many requests at once as by default.
	longService = "long"
)

// own is an entry of the project's own interface, with two services and their agents as processes.
type own struct {
	entry *process
	// agents are the processes of the agents, by service.
	agents map[string]*process
	// callers, entryPeers and entryDebug are the addresses of the entry. peers and debug are those of
	// the agents, by service.
	callers, entryPeers, entryDebug netip.AddrPort
	peers, debug                    map[string]netip.AddrPort
}

// standinLimits are those of the stand-ins, which are not under test.
var standinLimits = limits{megabytes: 10000, descriptors: 10000}

// startOwn starts the processes and waits until the entry serves.
func startOwn(t *testing.T) own {
	t.Helper()
	platform := freeAddress()
	standin := start(t, standinLimits, "standin", "platform", "-listen", platform.String())
	standin.eventually("the platform's stand-in serves", func() bool {
		status, _, err := sendHTTP(t.Context(), platform, http.MethodGet, "/standin/counts", "", nil)
		return err == nil && status == http.StatusOK
	})
	sum := sha256.Sum256([]byte(accountKey))
	put(t, platform, fleet.SettingsPrefix+"client-account/planners", map[string]any{"key-hash": hex.EncodeToString(sum[:])})
	put(t, platform, fleet.SettingsPrefix+"fleet", map[string]any{"upstream-slots": 4000, "spread-interval": "300ms", "report-interval": "200ms"})
	o := own{agents: map[string]*process{}, peers: map[string]netip.AddrPort{}, debug: map[string]netip.AddrPort{}}
	settings := func(name string, role fleet.Role, peers, debug netip.AddrPort) map[string]any {
		put(t, platform, fleet.InstancePrefix+name, fleet.Instance{Name: name, Role: role, FailureDomain: "z1", Address: peers, DebugAddress: debug})
		return map[string]any{
			"name": name, "failure-domain": "z1", "peer-listen": peers, "debug-listen": debug, "platform": platform, "memory-megabytes": lowered.megabytes,
		}
	}
	for _, service := range []string{fastService, heldService, longService} {
		upstream := freeAddress()
		level := map[string]any{"upstreams": []string{"agent-" + service}}
		if service == longService {
			upstream = startWorker(t)
			level["upstream-slots"] = 32
		} else {
			start(t, standinLimits, "standin", "service", "-listen", upstream.String())
		}
		put(t, platform, fleet.SettingsPrefix+"service/"+service, level)
		o.peers[service], o.debug[service] = freeAddress(), freeAddress()
		c := settings("agent-"+service, fleet.AgentRole, o.peers[service], o.debug[service])
		c["upstream"] = map[string]any{"kind": "service", "address": upstream, "target": service}
		o.agents[service] = start(t, lowered, "bramleydeal", "agent", "-settings", writeSettings(t, c))
		if service == heldService {
			o.agents[service].eventually("the held service answers late", func() bool {
				status, _, err := sendHTTP(t.Context(), upstream, http.MethodPut, "/standin/knobs", fmt.Sprintf(`{"delay-milliseconds":%d}`, holdTime.Milliseconds()), nil)
				return err == nil && status == http.StatusOK
			})
		}
	}
	o.callers, o.entryPeers, o.entryDebug = freeAddress(), freeAddress(), freeAddress()
	c := settings("entry-1", fleet.EntryRole, o.entryPeers, o.entryDebug)
	c["listen"] = o.callers
	o.entry = start(t, lowered, "bramleydeal", "entry", "-settings", writeSettings(t, c))
	o.entry.eventually("the entry serves", func() bool {
		status, _, err := o.callerDoor().ordinary(t.Context())
		return err == nil && status == http.StatusOK
	})
	return o
}

// put writes an object to the platform's stand-in.
func put(t *testing.T, platform netip.AddrPort, name string, value any) {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+platform.String()+"/objects/"+name, bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set("If-Match", "0")
	response, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("write object %s: status %d", name, response.StatusCode)
	}
}

// callerDoor returns the entry's address for callers.
func (o own) callerDoor() httpDoor { return ownDoor(o.callers, accountKey, heldService, fastService) }

// ownDoor returns an address of the project's own interface. The crowd calls one service, an ordinary
// client another.
func ownDoor(address netip.AddrPort, key, held, fast string) httpDoor {
	return httpDoor{
		address: address, method: http.MethodPost, path: "/services/" + held + "/x", headBytes: 64 << 10, bodyBytes: 4 << 20,
		head: "Host: x\r\nAuthorization: Bearer " + key + "\r\n",
		ordinary: func(ctx context.Context) (int, time.Duration, error) {
			return sendHTTP(ctx, address, http.MethodGet, "/services/"+fast+"/x", "", map[string]string{"Authorization": "Bearer " + key})
		},
	}
}

// check fails the test unless all processes live and have kept to their limits.
func (o own) check() {
	o.entry.t.Helper()
	o.entry.check()
	for _, a := range o.agents {
		a.check()
	}
}

// TestCallersOfOwnInterface guards against a crowd of callers that ends an entry with agents, or an
// agent, for its memory.
func TestCallersOfOwnInterface(t *testing.T) {
	for _, c := range slices.Concat(heads(), trailers(), wholeHeads(), bodies(), silent()) {
		t.Run(c.name, func(t *testing.T) {
			o := startOwn(t)
			c.join(t, o.callerDoor())
			checkOrdinary(t, o.callerDoor())
			o.check()
		})
	}
}

// TestAnswersOfOwnInterface guards against a crowd of callers that do not read their answers, and with it
// against an agent that keeps all answers for callers to come back.
func TestAnswersOfOwnInterface(t *testing.T) {
	o := startOwn(t)
	d := o.callerDoor()
	d.method = http.MethodGet
	deaf(headCrowd, "/services/"+longService+longPath)[0].join(t, d)
	checkOrdinary(t, o.callerDoor())
	o.check()
}

// TestDebugOfOwnInterface guards against a crowd at the debug state of an entry with agents, and of an
// agent.
func TestDebugOfOwnInterface(t *testing.T) {
	for _, c := range plainCrowds("/debug/state") {
		t.Run(c.name, func(t *testing.T) {
			o := startOwn(t)
			for _, address := range []netip.AddrPort{o.entryDebug, o.debug[fastService]} {
				d := plainDoor(address, "/debug/vars")
				c.join(t, d)
				checkOrdinary(t, d)
			}
			checkOrdinary(t, o.callerDoor())
			o.check()
		})
	}
}

// localLimits are those of a whole deployment in one process, whose memory is the default of a
// process.
var localLimits = limits{megabytes: 256, descriptors: 1400}

// TestCallersOfLocal guards against a crowd of callers that ends the deployment which a new user tries.
func TestCallersOfLocal(t *testing.T) {
	for _, c := range slices.Concat(heads(), trailers(), wholeHeads(), bodies(), silent()) {
		t.Run(c.name, func(t *testing.T) {
			address := freeAddress()
			p := start(t, localLimits, "bramleydeal", "local", "-listen", address.String())
			d := ownDoor(address, local.Key, fastService, fastService)
			p.eventually("the deployment serves", func() bool {
				status, _, err := d.ordinary(t.Context())
				return err == nil && status == http.StatusOK
			})
			c.join(t, d)
			checkOrdinary(t, d)
			p.check()
		})
	}
}
