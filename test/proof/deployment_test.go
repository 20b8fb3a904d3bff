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

// key is the bearer key of the client account "planners".
const key = "planners-key"

var domains = []fleet.FailureDomain{"coimbra", "leiria", "viseu"}

// deployment is a fleet of real processes on loopback. Each agent and entry
// serves the others behind a fault-injecting proxy, and reaches the platform
// through one of its own.
type deployment struct {
	t           testing.TB
	folder      string
	proxies     *toxiproxy.ApiServer
	platform    netip.AddrPort
	processes   map[string]*process
	levels      map[string]map[string]any
	links       map[string]*toxiproxy.Proxy
	proxied     bool
	engineFlags []string
	// revision is that of the last object written.
	revision uint64
}

// process is one running program.
type process struct {
	name     string
	command  *exec.Cmd
	address  netip.AddrPort // of its own side: callers, or the upstream's HTTP
	debug    netip.AddrPort
	instance fleet.Instance
	log      *logBuffer
	done     chan struct{}
}

// logBuffer keeps a process's standard error.
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

func (b *logBuffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSpace(b.text.String()), "\n")
}

// size is how many processes a deployment has.
type size struct {
	entries, engines, services int
	// engineFlags are added to the engines' command lines.
	engineFlags []string
}

// deploy starts a fleet and waits until every entry is ready. Settings change
// levels of the tree before the start.
func deploy(t testing.TB, s size, settings map[string]map[string]any) *deployment {
	t.Helper()
	return deployAt(t, s, settings, true)
}

// deployAt starts a fleet whose links can be cut only if proxied.
func deployAt(t testing.TB, s size, settings map[string]map[string]any, proxied bool) *deployment {
	t.Helper()
	d := &deployment{
		t: t, proxied: proxied, engineFlags: s.engineFlags, folder: t.TempDir(), processes: map[string]*process{}, levels: map[string]map[string]any{}, links: map[string]*toxiproxy.Proxy{},
		proxies: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
	}
	t.Cleanup(d.close)
	d.platform = freeAddress(t)
	d.start("platform", nil, "standin", "platform", "-listen", d.platform.String())
	d.waitHTTP(d.platform, "/standin/counts")
	engines, services := []string{}, []string{}
	for n := range s.engines {
		engines = append(engines, d.addAgent(fmt.Sprintf("w%d", n+1), domains[n%len(domains)], config.Engine, "quotes", n))
	}
	for n := range s.services {
		services = append(services, d.addAgent(fmt.Sprintf("s%d", n+1), domains[n%len(domains)], config.Service, "stock", 0))
	}
	sum := sha256.Sum256([]byte(key))
	d.level("fleet", map[string]any{"drain-grace": "300ms", "spread-interval": "300ms", "report-interval": "200ms"})
	d.level("group/quotes", map[string]any{"model": "quotes-1", "upstreams": engines})
	d.level("service/stock", map[string]any{"upstreams": services})
	d.level("client-account/planners", map[string]any{"key-hash": hex.EncodeToString(sum[:])})
	for path, level := range settings {
		d.level(path, level)
	}
	for n := range s.entries {
		d.addEntry(fmt.Sprintf("e%d", n+1), domains[n%len(domains)])
	}
	for path := range d.levels {
		d.putLevel(path)
	}
	d.waitReady()
	return d
}

// waitReady waits until the settings are in force and all entries hear all
// agents.
func (d *deployment) waitReady() {
	d.t.Helper()
	eventually(d.t, 10*time.Second, "the settings are in force everywhere", func() bool {
		for name, p := range d.processes {
			var s entryState
			if p.debug.IsValid() && (!d.dump(name, &s) || s.Revision < d.revision) {
				return false
			}
		}
		return true
	})
	eventually(d.t, 10*time.Second, "the entries hear all agents", func() bool {
		for _, p := range d.processes {
			if p.instance.Role == fleet.EntryRole && !d.hearsAll(p) {
				return false
			}
		}
		return true
	})
}

// entryState is what the tests read of an entry's dump.
type entryState struct {
	Revision  uint64 `json:"revision"`
	Upstreams map[string][]struct {
		Name    string `json:"name"`
		Silent  bool   `json:"silent"`
		Leaving bool   `json:"leaving"`
		Ejected bool   `json:"ejected"`
	} `json:"upstreams"`
	Spread struct {
		OldRevisions uint64 `json:"old-revisions-refused"`
		Watching     bool   `json:"watching"`
	} `json:"spread"`
	Caller struct {
		InFlight int64  `json:"in-flight"`
		Moved    uint64 `json:"moved"`
	} `json:"caller"`
	Door struct {
		Keys    int  `json:"ledger-keys"`
		Leaving bool `json:"leaving"`
	} `json:"door"`
}

func (d *deployment) hearsAll(p *process) bool {
	var s entryState
	if !d.dump(p.name, &s) || len(s.Upstreams) == 0 {
		return false
	}
	heard := 0
	for _, set := range s.Upstreams {
		for _, c := range set {
			if c.Silent {
				return false
			}
			heard++
		}
	}
	agents := 0
	for _, o := range d.processes {
		if o.instance.Role == fleet.AgentRole {
			agents++
		}
	}
	return heard == agents
}

// dump reads a process's state.
func (d *deployment) dump(name string, into any) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.processes[name].debug.String() + "/debug/state")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into) == nil
}

func (d *deployment) level(path string, settings map[string]any) {
	if d.levels[path] == nil {
		d.levels[path] = map[string]any{}
	}
	for name, value := range settings {
		d.levels[path][name] = value
	}
}

// putLevel writes a level to the platform.
func (d *deployment) putLevel(path string) uint64 {
	d.t.Helper()
	return d.put(fleet.SettingsPrefix+path, d.levels[path])
}

// put writes an object, whatever its version, and returns the new one.
func (d *deployment) put(name string, value any) uint64 {
	d.t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		d.t.Fatal(err)
	}
	version := uint64(0)
	for range 20 {
		request, err := http.NewRequest(http.MethodPut, "http://"+d.platform.String()+"/objects/"+name, bytes.NewReader(text))
		if err != nil {
			d.t.Fatal(err)
		}
		request.Header.Set("If-Match", fmt.Sprint(version))
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			d.t.Fatal(err)
		}
		var held struct{ Version uint64 }
		_ = json.NewDecoder(response.Body).Decode(&held)
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			d.revision = held.Version
			return held.Version
		}
		version = held.Version
	}
	d.t.Fatalf("could not write %s", name)
	return 0
}

// knobs turns faults of a stand-in on.
func (d *deployment) knobs(a netip.AddrPort, knobs any) {
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

// counts returns the executions of all services by key.
func (d *deployment) counts() map[string]int {
	d.t.Helper()
	sum := map[string]int{}
	for name := range d.processes {
		if !strings.HasPrefix(name, "service-") {
			continue
		}
		for id, n := range d.countsOf(name) {
			sum[id] += n
		}
	}
	return sum
}

// countsOf returns the executions of one service by key.
func (d *deployment) countsOf(service string) map[string]int {
	d.t.Helper()
	var counts map[string]int
	d.getJSON("http://"+d.processes[service].address.String()+"/standin/counts", &counts)
	return counts
}

// getJSON reads a page of a stand-in.
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

// addAgent starts an upstream with its agent and returns the agent's name.
func (d *deployment) addAgent(name string, domain fleet.FailureDomain, kind config.UpstreamKind, target string, rank int) string {
	upstream := freeAddress(d.t)
	flags := []string{string(kind), "-listen", upstream.String()}
	if kind == config.Engine {
		flags = append(flags, d.engineFlags...)
	}
	p := d.start(string(kind)+"-"+name, nil, "standin", flags...)
	p.address = upstream
	d.waitHTTP(upstream, "/standin/counts")
	c := d.config(name, domain, fleet.AgentRole)
	c.Upstream = config.Upstream{Kind: kind, Address: upstream, Target: target, Rank: rank}
	d.launch(name, c, "agent")
	return name
}

func (d *deployment) addEntry(name string, domain fleet.FailureDomain) {
	c := d.config(name, domain, fleet.EntryRole)
	c.Listen = freeAddress(d.t)
	d.launch(name, c, "entry")
	d.processes[name].address = c.Listen
}

// config makes a process's settings file and lists its instance.
func (d *deployment) config(name string, domain fleet.FailureDomain, role fleet.Role) config.Process {
	c := config.Process{Name: name, FailureDomain: domain, LogFormat: "json"}
	c.PeerListen, c.DebugListen = freeAddress(d.t), freeAddress(d.t)
	c.Platform = d.link(name+"-platform", d.platform)
	i := fleet.Instance{Name: name, Role: role, FailureDomain: domain, Address: d.link(name, c.PeerListen), DebugAddress: c.DebugListen}
	d.put(fleet.InstancePrefix+name, i)
	d.processes[name] = &process{name: name, debug: c.DebugListen, instance: i}
	return c
}

// launch starts a process of bramleydeal from its settings.
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

// addPeers writes the addresses of all entries into a process's settings file.
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

// readSettings reads a process's settings file.
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

// restart starts a process again that has ended, from its old settings.
func (d *deployment) restart(name, role string) {
	d.start(name, d.processes[name], "bramleydeal", role, "-settings", filepath.Join(d.folder, name+".json"))
}

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
	p.command = exec.Command(filepath.Join(programs, program), args...)
	p.command.Stderr = p.log
	done := make(chan struct{})
	p.done = done
	if err := p.command.Start(); err != nil {
		d.t.Fatal(err)
	}
	command := p.command
	go func() {
		defer close(done)
		// How a process ended is read from its state.
		_ = command.Wait()
	}()
	// The map is read by other goroutines while processes are started again.
	if d.processes[name] != p {
		d.processes[name] = p
	}
	return p
}

// signal sends a signal to a process.
func (d *deployment) signal(name string, s syscall.Signal) {
	d.t.Helper()
	if err := d.processes[name].command.Process.Signal(s); err != nil {
		d.t.Fatalf("signal %s: %v", name, err)
	}
}

// kill ends a process at once and waits for its end.
func (d *deployment) kill(name string) {
	d.t.Helper()
	d.signal(name, syscall.SIGKILL)
	<-d.processes[name].done
}

// drain asks a process to leave and waits for its end.
func (d *deployment) drain(name string, limit time.Duration) {
	d.t.Helper()
	d.signal(name, syscall.SIGTERM)
	select {
	case <-d.processes[name].done:
	case <-time.After(limit):
		d.t.Fatalf("%s did not drain within %v", name, limit)
	}
}

// link puts a proxy before an address.
func (d *deployment) link(name string, to netip.AddrPort) netip.AddrPort {
	d.t.Helper()
	if !d.proxied {
		return to
	}
	at := freeAddress(d.t)
	p := toxiproxy.NewProxy(d.proxies, name, at.String(), to.String())
	if err := p.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.links[name] = p
	return at
}

// cut makes a link swallow everything both ways while its connections stay open.
func (d *deployment) cut(name string) {
	d.t.Helper()
	d.addToxic(name, "timeout", "upstream", `{"timeout":0}`)
	d.cutAnswers(name)
}

// cutAnswers makes a link swallow what comes back, so that requests arrive
// whose answers are lost.
func (d *deployment) cutAnswers(name string) {
	d.t.Helper()
	d.addToxic(name, "timeout", "downstream", `{"timeout":0}`)
}

func (d *deployment) addToxic(name, kind, direction, attributes string) {
	d.t.Helper()
	text := fmt.Sprintf(`{"name":"%s-%s","type":%q,"stream":%q,"attributes":%s}`, kind, direction, kind, direction, attributes)
	if _, err := d.links[name].Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
		d.t.Fatal(err)
	}
}

// heal ends a cut. What was swallowed stays lost, so its connections break.
func (d *deployment) heal(name string) {
	d.links[name].Toxics.ResetToxics(d.t.Context())
}

// delayAnswers makes what comes back over a link late by a time.
func (d *deployment) delayAnswers(name string, late time.Duration) {
	d.t.Helper()
	d.addToxic(name, "latency", "downstream", fmt.Sprintf(`{"latency":%d}`, late.Milliseconds()))
}

// endDelay makes a delayed link prompt again. The proxy would pass everything
// that is late before it removed the delay, so the delay is set to none.
func (d *deployment) endDelay(name string) {
	d.t.Helper()
	if _, err := d.links[name].Toxics.UpdateToxicJson("latency-downstream", strings.NewReader(`{"attributes":{"latency":0}}`)); err != nil {
		d.t.Fatal(err)
	}
}

func (d *deployment) waitHTTP(a netip.AddrPort, path string) {
	d.t.Helper()
	eventually(d.t, 5*time.Second, "an answer at "+a.String(), func() bool {
		response, err := http.Get("http://" + a.String() + path)
		if err != nil {
			return false
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// url returns the base address of an entry.
func (d *deployment) url(entry string) string { return "http://" + d.processes[entry].address.String() }

// close ends every process; after a failure it prints the timeline.
func (d *deployment) close() {
	for _, p := range d.processes {
		// A process that has ended already can't be signalled.
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

// maxTimeline bounds the printed events.
const maxTimeline = 400

// printTimeline prints the events of all processes in one order.
func (d *deployment) printTimeline() {
	var lines []string
	for _, p := range d.processes {
		for _, line := range p.log.lines() {
			if line != "" {
				lines = append(lines, line)
			}
		}
	}
	sort.Strings(lines) // each line begins with its time
	lines = lines[max(0, len(lines)-maxTimeline):]
	d.t.Logf("timeline:\n%s", strings.Join(lines, "\n"))
	d.t.Logf("repeat with: go test ./test/proof -run '^%s$' -seed %d", d.t.Name(), *seed)
}

// addresses counts the loopback addresses given out.
var addresses atomic.Uint32

// freeAddress returns a loopback address of its own, so that no port that the
// system gives to a connection can be in the way.
func freeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	const port, perByte = 7000, 250
	n := addresses.Add(1)
	second := byte(1 + os.Getpid()%perByte)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, second, byte(n / perByte), byte(1 + n%perByte)}), port)
}
