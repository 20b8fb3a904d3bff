package proof

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bramleydeal/internal/process/config"
	"bramleydeal/internal/world/fleet"
	"github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// plannersKey is the bearer key of the client account "planners".
const plannersKey = "planners-key"

// domains are the failure domains that processes are assigned to in turn.
var domains = []fleet.FailureDomain{"coimbra", "leiria", "viseu"}

// deployment is a fleet of real processes on loopback: entries, agents with their
// upstreams, and a stand-in for the platform, which stores the settings, instances and
// leases. Other processes reach an agent or entry through a fault-injecting proxy. Each
// agent and entry reaches the platform through another proxy.
type deployment struct {
	t               testing.TB
	folder          string
	proxyServer     *toxiproxy.ApiServer
	platformAddress netip.AddrPort
	processes       map[string]*process
	// levels holds the settings of each level of the settings tree, by path.
	levels map[string]map[string]any
	// links holds the proxies. The link to the peer address of a process has the name
	// of the process, its link to the platform that name with the suffix "-platform".
	links       map[string]*toxiproxy.Proxy
	proxied     bool
	engineFlags []string
	// lastRevision is the platform's revision of the last object written.
	lastRevision uint64
}

// process is one program that the deployment has started.
type process struct {
	name    string
	command *exec.Cmd
	// address is the HTTP address that an entry serves callers on, or that a stand-in
	// serves. Agents have none.
	address netip.AddrPort
	// debugAddress serves /debug/state. Stand-ins have none.
	debugAddress netip.AddrPort
	instance     fleet.Instance
	log          *logBuffer
	// done is closed when the process has ended.
	done chan struct{}
}

// logBuffer holds the standard error output of a process.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// lines returns the output so far, by line.
func (b *logBuffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSpace(b.text.String()), "\n")
}

// fleetSize is the number of processes of each kind in a deployment. Each engine and
// service has an agent.
type fleetSize struct {
	entries, engines, services int
	// engineFlags are added to the command line of each engine.
	engineFlags []string
}

// deploy starts a fleet behind proxies and waits until every entry is ready. settings
// are merged into the default settings, by path of the level in the settings tree.
func deploy(t testing.TB, size fleetSize, settings map[string]map[string]any) *deployment {
	t.Helper()
	return deployFleet(t, size, settings, true)
}

// deployFleet is like deploy. If proxied is false, the processes reach each other
// without proxies, and tests cannot disturb the links.
func deployFleet(t testing.TB, size fleetSize, settings map[string]map[string]any, proxied bool) *deployment {
	t.Helper()
	d := &deployment{
		t: t, proxied: proxied, engineFlags: size.engineFlags, folder: t.TempDir(), processes: map[string]*process{}, levels: map[string]map[string]any{}, links: map[string]*toxiproxy.Proxy{},
		proxyServer: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
	}
	t.Cleanup(d.close)
	d.platformAddress = freeAddress(t)
	d.start("platform", nil, "standin", "platform", "-listen", d.platformAddress.String())
	d.waitHTTP(d.platformAddress, "/standin/counts")
	engines, services := []string{}, []string{}
	for n := range size.engines {
		engines = append(engines, d.addAgent(fmt.Sprintf("w%d", n+1), domains[n%len(domains)], config.Engine, "quotes", n))
	}
	for n := range size.services {
		services = append(services, d.addAgent(fmt.Sprintf("s%d", n+1), domains[n%len(domains)], config.Service, "stock", 0))
	}
	sum := sha256.Sum256([]byte(plannersKey))
	d.setLevel("fleet", map[string]any{"drain-grace": "300ms", "spread-interval": "300ms", "report-interval": "200ms"})
	d.setLevel("group/quotes", map[string]any{"model": "quotes-1", "upstreams": engines})
	d.setLevel("service/stock", map[string]any{"upstreams": services})
	d.setLevel("client-account/planners", map[string]any{"key-hash": hex.EncodeToString(sum[:])})
	for path, level := range settings {
		d.setLevel(path, level)
	}
	for n := range size.entries {
		d.addEntry(fmt.Sprintf("e%d", n+1), domains[n%len(domains)])
	}
	for path := range d.levels {
		d.putLevel(path)
	}
	d.waitReady()
	return d
}

// waitReady waits until every process uses the last settings written, and every entry
// has a current load report of every agent.
func (d *deployment) waitReady() {
	d.t.Helper()
	eventually(d.t, 10*time.Second, "the last settings are in effect in every process", func() bool {
		for name, p := range d.processes {
			var s processState
			if p.debugAddress.IsValid() && (!d.readState(name, &s) || s.Revision < d.lastRevision) {
				return false
			}
		}
		return true
	})
	eventually(d.t, 10*time.Second, "every entry has a current load report of every agent", func() bool {
		for _, p := range d.processes {
			if p.instance.Role == fleet.EntryRole && !d.hasAllReports(p) {
				return false
			}
		}
		return true
	})
}

// processState is a part of the debug state of an entry or agent. Agents have no Upstreams
// and Caller, entries have no Gateway.
type processState struct {
	Revision  uint64 `json:"revision"`
	Upstreams map[string][]struct {
		Name          string `json:"name"`
		ReportOverdue bool   `json:"silent"`
		Leaving       bool   `json:"leaving"`
		Ejected       bool   `json:"ejected"`
	} `json:"upstreams"`
	Replication struct {
		OldRevisions uint64 `json:"old-revisions-refused"`
		Watching     bool   `json:"watching"`
	} `json:"spread"`
	Caller struct {
		InFlight int64  `json:"in-flight"`
		Moved    uint64 `json:"moved"`
	} `json:"caller"`
	Gateway struct {
		LedgerKeys int  `json:"ledger-keys"`
		Leaving    bool `json:"leaving"`
	} `json:"door"`
}

// hasAllReports reports whether an entry has a current load report of every agent.
func (d *deployment) hasAllReports(p *process) bool {
	var s processState
	if !d.readState(p.name, &s) || len(s.Upstreams) == 0 {
		return false
	}
	reporting := 0
	for _, candidates := range s.Upstreams {
		for _, c := range candidates {
			if c.ReportOverdue {
				return false
			}
			reporting++
		}
	}
	agents := 0
	for _, other := range d.processes {
		if other.instance.Role == fleet.AgentRole {
			agents++
		}
	}
	return reporting == agents
}

// readState decodes the debug state of a process into into. It returns false if the
// process does not respond within 1 s or the state cannot be decoded.
func (d *deployment) readState(name string, into any) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.processes[name].debugAddress.String() + "/debug/state")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into) == nil
}

// setLevel sets settings of a level in d.levels, without writing them to the platform.
func (d *deployment) setLevel(path string, settings map[string]any) {
	if d.levels[path] == nil {
		d.levels[path] = map[string]any{}
	}
	for name, value := range settings {
		d.levels[path][name] = value
	}
}

// putLevel writes a level to the platform and returns its new version.
func (d *deployment) putLevel(path string) uint64 {
	d.t.Helper()
	return d.put(fleet.SettingsPrefix+path, d.levels[path])
}

// put writes an object to the platform and returns its new version. The platform
// accepts a write only with the current version, which it returns on a conflict, so
// put tries again with the version returned.
func (d *deployment) put(name string, value any) uint64 {
	d.t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		d.t.Fatal(err)
	}
	version := uint64(0)
	for range 20 {
		request, err := http.NewRequest(http.MethodPut, "http://"+d.platformAddress.String()+"/objects/"+name, bytes.NewReader(text))
		if err != nil {
			d.t.Fatal(err)
		}
		request.Header.Set("If-Match", fmt.Sprint(version))
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			d.t.Fatal(err)
		}
		var object struct{ Version uint64 }
		_ = json.NewDecoder(response.Body).Decode(&object)
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			d.lastRevision = object.Version
			return object.Version
		}
		version = object.Version
	}
	d.t.Fatalf("write object %s: no attempt succeeded", name)
	return 0
}

// setKnobs sets the faults of the stand-in at address a. Faults that knobs does not name
// are turned off.
func (d *deployment) setKnobs(a netip.AddrPort, knobs any) {
	d.t.Helper()
	text, err := json.Marshal(knobs)
	if err != nil {
		d.t.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+a.String()+"/standin/knobs", bytes.NewReader(text))
	if err != nil {
		d.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		d.t.Fatal(err)
	}
	response.Body.Close()
}

// executions returns the number of executions at all services together, by idempotency
// key, or by path for requests without a key.
func (d *deployment) executions() map[string]int {
	d.t.Helper()
	sum := map[string]int{}
	for name := range d.processes {
		if !strings.HasPrefix(name, "service-") {
			continue
		}
		for key, n := range d.executionsOf(name) {
			sum[key] += n
		}
	}
	return sum
}

// executionsOf returns the number of executions at one service, by idempotency key, or
// by path for requests without a key.
func (d *deployment) executionsOf(service string) map[string]int {
	d.t.Helper()
	var counts map[string]int
	d.getJSON("http://"+d.processes[service].address.String()+"/standin/counts", &counts)
	return counts
}

// getJSON decodes the JSON document at url into into.
func (d *deployment) getJSON(url string, into any) {
	d.t.Helper()
	response, err := http.Get(url)
	if err != nil {
		d.t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		d.t.Fatal(err)
	}
}

// addAgent starts an upstream and its agent, and returns the agent's name. target is the
// model group or service that the upstream belongs to.
func (d *deployment) addAgent(name string, domain fleet.FailureDomain, kind config.UpstreamKind, target string, rank int) string {
	upstreamAddress := freeAddress(d.t)
	flags := []string{string(kind), "-listen", upstreamAddress.String()}
	if kind == config.Engine {
		flags = append(flags, d.engineFlags...)
	}
	p := d.start(string(kind)+"-"+name, nil, "standin", flags...)
	p.address = upstreamAddress
	d.waitHTTP(upstreamAddress, "/standin/counts")
	c := d.newConfig(name, domain, fleet.AgentRole)
	c.Upstream = config.Upstream{Kind: kind, Address: upstreamAddress, Target: target, Rank: rank}
	d.launch(name, c, "agent")
	return name
}

// addEntry starts an entry.
func (d *deployment) addEntry(name string, domain fleet.FailureDomain) {
	c := d.newConfig(name, domain, fleet.EntryRole)
	c.Listen = freeAddress(d.t)
	d.launch(name, c, "entry")
	d.processes[name].address = c.Listen
}

// newConfig returns the contents of the settings file of a new process, adds the links
// of the process and writes its instance to the platform.
func (d *deployment) newConfig(name string, domain fleet.FailureDomain, role fleet.Role) config.Process {
	c := config.Process{Name: name, FailureDomain: domain, LogFormat: "json"}
	c.PeerListen, c.DebugListen = freeAddress(d.t), freeAddress(d.t)
	c.Platform = d.addLink(name+"-platform", d.platformAddress)
	i := fleet.Instance{Name: name, Role: role, FailureDomain: domain, Address: d.addLink(name, c.PeerListen), DebugAddress: c.DebugListen}
	d.put(fleet.InstancePrefix+name, i)
	d.processes[name] = &process{name: name, debugAddress: c.DebugListen, instance: i}
	return c
}

// launch writes the settings file of a process and starts bramleydeal with it. role is
// the subcommand, agent or entry.
func (d *deployment) launch(name string, c config.Process, role string) {
	path := filepath.Join(d.folder, name+".json")
	text, err := json.Marshal(c)
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		d.t.Fatal(err)
	}
	d.start(name, d.processes[name], "bramleydeal", role, "-settings", path)
}

// addPeers adds the peer addresses of all other entries to the settings file of a process.
func (d *deployment) addPeers(name string) {
	d.t.Helper()
	path := filepath.Join(d.folder, name+".json")
	var c config.Process
	d.readSettings(name, &c)
	for _, p := range d.processes {
		if p.instance.Role == fleet.EntryRole && p.name != name {
			c.Peers = append(c.Peers, p.instance.Address)
		}
	}
	text, err := json.Marshal(c)
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		d.t.Fatal(err)
	}
}

// readSettings decodes the settings file of a process into into.
func (d *deployment) readSettings(name string, into any) {
	d.t.Helper()
	text, err := os.ReadFile(filepath.Join(d.folder, name+".json"))
	if err == nil {
		err = json.Unmarshal(text, into)
	}
	if err != nil {
		d.t.Fatal(err)
	}
}

// restart starts an agent or entry that has ended, with its existing settings file.
func (d *deployment) restart(name, role string) {
	d.start(name, d.processes[name], "bramleydeal", role, "-settings", filepath.Join(d.folder, name+".json"))
}

// start starts a program as the process called name. It reuses p, or if p is nil, the
// process of that name if there is one.
func (d *deployment) start(name string, p *process, program string, args ...string) *process {
	d.t.Helper()
	if p == nil {
		p = d.processes[name]
	}
	if p == nil {
		p = &process{name: name}
	}
	if p.log == nil {
		p.log = &logBuffer{}
	}
	p.command = exec.Command(filepath.Join(programFolder, program), args...)
	p.command.Stderr = p.log
	done := make(chan struct{})
	p.done = done
	if err := p.command.Start(); err != nil {
		d.t.Fatal(err)
	}
	command := p.command
	go func() {
		defer close(done)
		// The tests read the outcome from command.ProcessState.
		_ = command.Wait()
	}()
	// Other goroutines read the map while processes are restarted, so the map is written
	// only if it changes.
	if d.processes[name] != p {
		d.processes[name] = p
	}
	return p
}

// signal sends a signal to a running process.
func (d *deployment) signal(name string, s syscall.Signal) {
	d.t.Helper()
	if err := d.processes[name].command.Process.Signal(s); err != nil {
		d.t.Fatalf("signal %s: %v", name, err)
	}
}

// kill sends SIGKILL to a process and waits until it has ended.
func (d *deployment) kill(name string) {
	d.t.Helper()
	d.signal(name, syscall.SIGKILL)
	<-d.processes[name].done
}

// drain sends SIGTERM to a process, which makes it drain, and fails the test if the
// process has not ended within limit.
func (d *deployment) drain(name string, limit time.Duration) {
	d.t.Helper()
	d.signal(name, syscall.SIGTERM)
	select {
	case <-d.processes[name].done:
	case <-time.After(limit):
		d.t.Fatalf("%s did not drain within %v", name, limit)
	}
}

// addLink starts a proxy in front of the address to and returns the proxy's address. It
// returns to itself if the deployment has no proxies.
func (d *deployment) addLink(name string, to netip.AddrPort) netip.AddrPort {
	d.t.Helper()
	if !d.proxied {
		return to
	}
	address := freeAddress(d.t)
	p := toxiproxy.NewProxy(d.proxyServer, name, address.String(), to.String())
	if err := p.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.links[name] = p
	return address
}

// dropTraffic makes a link drop all data in both directions. Its connections stay open.
func (d *deployment) dropTraffic(name string) {
	d.t.Helper()
	d.addToxic(name, "timeout", "upstream", `{"timeout":0}`)
	d.dropResponses(name)
}

// dropResponses makes a link drop all data from its server, so that requests arrive but
// their responses are lost. Its connections stay open.
func (d *deployment) dropResponses(name string) {
	d.t.Helper()
	d.addToxic(name, "timeout", "downstream", `{"timeout":0}`)
}

// addToxic adds a fault to a link. kind and attributes are those of a toxic of
// Toxiproxy. direction is "upstream" for data to the server of the link, "downstream"
// for data from it.
func (d *deployment) addToxic(name, kind, direction, attributes string) {
	d.t.Helper()
	text := fmt.Sprintf(`{"name":"%s-%s","type":%q,"stream":%q,"attributes":%s}`, kind, direction, kind, direction, attributes)
	if _, err := d.links[name].Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
		d.t.Fatal(err)
	}
}

// heal removes all faults of a link. Dropped data is not sent again, so the connections
// that lost data break.
func (d *deployment) heal(name string) {
	d.links[name].Toxics.ResetToxics(d.t.Context())
}

// delayResponses delays all data from the server of a link.
func (d *deployment) delayResponses(name string, delay time.Duration) {
	d.t.Helper()
	d.addToxic(name, "latency", "downstream", fmt.Sprintf(`{"latency":%d}`, delay.Milliseconds()))
}

// removeDelay ends the effect of delayResponses. It sets the latency to 0 because the
// proxy would pass on all delayed data before removing the toxic.
func (d *deployment) removeDelay(name string) {
	d.t.Helper()
	if _, err := d.links[name].Toxics.UpdateToxicJson("latency-downstream", strings.NewReader(`{"attributes":{"latency":0}}`)); err != nil {
		d.t.Fatal(err)
	}
}

// waitHTTP waits until a GET of path at address a returns status 200.
func (d *deployment) waitHTTP(a netip.AddrPort, path string) {
	d.t.Helper()
	eventually(d.t, 5*time.Second, "status 200 at "+a.String(), func() bool {
		response, err := http.Get("http://" + a.String() + path)
		if err != nil {
			return false
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// url returns the base URL for callers of an entry.
func (d *deployment) url(entry string) string { return "http://" + d.processes[entry].address.String() }

// close ends all processes and links. If the test has failed, it prints the timeline.
func (d *deployment) close() {
	for _, p := range d.processes {
		// Signals fail if the process has already ended. SIGCONT resumes a stalled one.
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.done
	}
	for _, l := range d.links {
		l.Stop()
	}
	if d.t.Failed() {
		d.printTimeline()
	}
}

// maxTimelineLines is the number of log lines that printTimeline prints at most, the
// latest ones.
const maxTimelineLines = 400

// printTimeline prints the log lines of all processes in order of time, and the command
// that runs the test again with the same seed.
func (d *deployment) printTimeline() {
	var lines []string
	for _, p := range d.processes {
		for _, line := range p.log.lines() {
			if line != "" {
				lines = append(lines, line)
			}
		}
	}
	sort.Strings(lines) // each line begins with its timestamp
	lines = lines[max(0, len(lines)-maxTimelineLines):]
	d.t.Logf("timeline:\n%s", strings.Join(lines, "\n"))
	d.t.Logf("reproduce with: go test ./test/proof -run '^%s$' -seed %d", d.t.Name(), *seed)
}

// addressesIssued is the number of addresses that freeAddress has returned.
var addressesIssued atomic.Uint32

// freeAddress returns an address that no other call returns. Each call returns another
// loopback IP with the same port, so that no port that the kernel chooses for a
// connection can occupy the address. The process ID in the IP separates concurrent test
// runs.
func freeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	const port, hostsPerByte = 7000, 250
	n := addressesIssued.Add(1)
	runByte := byte(1 + os.Getpid()%hostsPerByte)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, runByte, byte(n / hostsPerByte), byte(1 + n%hostsPerByte)}), port)
}
