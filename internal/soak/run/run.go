// Package run executes one soak run. It starts a stand-in store, stand-in upstreams,
// entries as real processes and callers, injects the faults that a seed
// determines, and checks the guarantees on the recorded history. Each entry reaches
// the store, and all entries reach each upstream, through a link that can be
// impaired; callers reach the entries, and the entries each other, directly.
package run

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bramleydeal/internal/soak/caller"
	"bramleydeal/internal/soak/history"
	"bramleydeal/internal/soak/program"
	"bramleydeal/internal/soak/proxy"
	"bramleydeal/internal/soak/schedule"
	"bramleydeal/platform/standin"
	"github.com/samber/oops"
)

// Sizes and durations of a run.
const (
	// DefaultEntries and DefaultUpstreams are the numbers of entries and upstreams.
	DefaultEntries   = 4
	DefaultUpstreams = 8
	// DefaultFaultDuration is the time in which faults are injected. The recovery
	// time, and then faultFreeTime, follow.
	DefaultFaultDuration = 20 * time.Second
	// faultFreeTime is the time in which every request must be served.
	faultFreeTime = 3 * time.Second
	// callersPerEntry is the number of callers per entry, which together send about
	// 35 requests per second to it.
	callersPerEntry = 4
	// longCallersPerEntry is the number of callers per entry who send requests that take long.
	longCallersPerEntry = 3
	// retrySlack is the number of retries that entries may send within the retry
	// window in addition to the retry ratio.
	retrySlack = 60
	// processingTime is the time that an upstream takes before a response, and
	// between the events of a stream.
	processingTime = 30 * time.Millisecond
	// startTimeout bounds the wait until all entries are ready for the first time.
	startTimeout = 20 * time.Second
	// pollInterval is the time between two checks while waiting.
	pollInterval = 50 * time.Millisecond
	// addressTimeout bounds the wait until an upstream's address is free again.
	addressTimeout = 2 * time.Second
	// failureDomainCount is the number of failure domains.
	failureDomainCount = 2
)

// Ports of the entries and links. Each entry together with its store link, and each
// upstream link, has its own loopback address.
const (
	callerPort = 8080
	readyPort  = 8081
	peerPort   = 7100
	linkPort   = 8400
)

// Soak is one soak run.
type Soak struct {
	seed uint64
	// program is the path of the executable, folder the one of settings and logs.
	program, folder           string
	entryCount, upstreamCount int
	faultDuration             time.Duration
	faultKinds                []schedule.Fault
	// deadlyPart is true if upstreams end on a part of prompts for a time, deadlyRequests if
	// they end on equal requests, deadlyActive while such requests are sent.
	deadlyPart, deadlyRequests bool
	deadlyActive               atomic.Bool
	// load is true if the faults of schedule.GenerateLoad are injected too, callersRun once
	// callers send requests.
	load       bool
	callersRun atomic.Bool
	// extendedFaults is true if the faults of schedule.GenerateExtended are injected too.
	extendedFaults bool
	// evacuations is true if failure domains are evacuated too.
	evacuations bool
	// long is true if some callers send requests that take long.
	long bool

	history *history.History
	proxies *proxy.Proxies
	store   *standin.Store
	entries []*program.Entry
	// storeLinks are the links to the store, by index of the entry.
	storeLinks []*proxy.Link
	// network is the /24 loopback network of the run.
	network netip.Addr

	mu                   sync.Mutex
	upstreamSlots        []*upstreamSlot
	startedUpstreams     int
	configurationVersion int
	// activeStoreFaults counts the store faults in progress. The last one to end
	// clears the fault of the store.
	activeStoreFaults int
	// places is the number of requests that an upstream takes at once, 0 for no limit.
	places int
	// copies are copies of the store's content, the latest last, one each copyInterval.
	copies []standin.Copy
	// restoreMu serializes the faults that bring the store back from a copy.
	restoreMu sync.Mutex
	runErrors []error
}

// upstreamSlot is an address at which one upstream runs at a time.
type upstreamSlot struct {
	upstream      *standin.Worker
	link          *proxy.Link
	address       netip.AddrPort
	failureDomain string
	// faultMu serializes the faults of the slot.
	faultMu sync.Mutex
}

// Option configures a Soak.
type Option func(*Soak)

// WithSize sets the number of entries and upstreams.
func WithSize(entries, upstreams int) Option {
	return func(s *Soak) { s.entryCount, s.upstreamCount = entries, upstreams }
}

// WithFaultDuration sets the time in which faults are injected.
func WithFaultDuration(d time.Duration) Option { return func(s *Soak) { s.faultDuration = d } }

// WithFaults restricts the run to the given kinds of faults.
func WithFaults(kinds ...schedule.Fault) Option { return func(s *Soak) { s.faultKinds = kinds } }

// WithExtendedFaults injects the faults of schedule.GenerateExtended too.
func WithExtendedFaults() Option { return func(s *Soak) { s.extendedFaults = true } }

// WithDeadlyPart makes upstreams end on a part of prompts that some requests have.
func WithDeadlyPart() Option { return func(s *Soak) { s.deadlyPart = true } }

// WithDeadlyRequests makes upstreams end on two requests that are sent again and again.
func WithDeadlyRequests() Option { return func(s *Soak) { s.deadlyRequests = true } }

// WithLongRequests makes some callers send requests that take long.
func WithLongRequests() Option { return func(s *Soak) { s.long = true } }

// WithLoad injects the faults of schedule.GenerateLoad too.
func WithLoad() Option { return func(s *Soak) { s.load = true } }

// New returns a run whose faults the seed determines. program is the path of the
// bramleydeal executable; the settings and logs of the entries are written to
// folder.
func New(seed uint64, program, folder string, options ...Option) *Soak {
	s := &Soak{
		seed: seed, program: program, folder: folder, entryCount: DefaultEntries, upstreamCount: DefaultUpstreams, faultDuration: DefaultFaultDuration,
		history: history.New(), proxies: proxy.New(), store: standin.NewStore(),
	}
	for _, o := range options {
		o(s)
	}
	// Runs that are executed at the same time need different loopback addresses,
	// so the network is random and does not depend on the seed.
	s.network = netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(250)), byte(rand.IntN(250)), 0})
	return s
}

// Report is the result of a run.
type Report struct {
	Seed uint64
	// Steps are the scheduled faults.
	Steps []schedule.Step
	// Counts are the numbers of requests by outcome.
	Counts map[history.Outcome]int
	// Violations are the violated guarantees and the errors of the run: faults that
	// could not be injected as scheduled, and entries that outlived their grace
	// period.
	Violations []history.Violation
}

// address returns the loopback address of process or link n.
func (s *Soak) address(n int) netip.Addr {
	four := s.network.As4()
	four[3] = byte(1 + n)
	return netip.AddrFrom4(four)
}

// Run executes the run and returns its report. An error says that the run could not
// be executed; violated guarantees are no error.
func (s *Soak) Run(ctx context.Context) (*Report, error) {
	server := httptest.NewServer(s.store)
	defer server.Close()
	defer server.CloseClientConnections()
	storeAddress, err := netip.ParseAddrPort(server.Listener.Addr().String())
	if err != nil {
		return nil, oops.Wrap(err)
	}
	s.writeConfiguration()
	for n := range s.upstreamCount {
		slot := &upstreamSlot{failureDomain: failureDomain(n), address: netip.AddrPortFrom(s.address(100+n), linkPort)}
		s.upstreamSlots = append(s.upstreamSlots, slot)
		if err := s.startUpstream(slot); err != nil {
			return nil, err
		}
	}
	defer s.closeUpstreams()
	defer s.killEntries()
	if err := s.startEntries(storeAddress); err != nil {
		return nil, err
	}
	if err := s.awaitReady(ctx); err != nil {
		return nil, err
	}
	steps := schedule.Generate(s.seed, s.faultDuration, s.faultKinds...)
	if s.extendedFaults {
		steps = append(steps, schedule.GenerateExtended(s.seed, s.faultDuration, s.faultKinds...)...)
		slices.SortStableFunc(steps, func(a, b schedule.Step) int { return int(a.At - b.At) })
		go s.keepCopies(ctx)
	}
	if s.load {
		steps = append(steps, schedule.GenerateLoad(s.seed, s.faultDuration, s.faultKinds...)...)
		slices.SortStableFunc(steps, func(a, b schedule.Step) int { return int(a.At - b.At) })
	}
	if s.deadlyPart || s.deadlyRequests {
		steps = append(steps, schedule.GenerateDeadlyPart(s.seed, s.faultDuration))
		slices.SortStableFunc(steps, func(a, b schedule.Step) int { return int(a.At - b.At) })
	}
	if s.evacuations {
		steps = append(steps, schedule.GenerateEvacuations(s.seed, s.faultDuration)...)
		slices.SortStableFunc(steps, func(a, b schedule.Step) int { return int(a.At - b.At) })
	}
	s.runSchedule(ctx, steps)
	report := &Report{Seed: s.seed, Steps: steps, Counts: s.history.Counts(), Violations: s.history.Check(retrySlack)}
	for _, err := range s.runErrors {
		report.Violations = append(report.Violations, history.Violation{Guarantee: "the run", Detail: err.Error()})
	}
	return report, ctx.Err()
}

// failureDomain returns the name of the failure domain of entry or upstream n.
func failureDomain(n int) string { return fmt.Sprintf("domain-%d", n%failureDomainCount) }

// runSchedule sends requests while it injects the faults of the steps, during the
// recovery time that follows and during the fault-free time after that.
func (s *Soak) runSchedule(ctx context.Context, steps []schedule.Step) {
	calls, stop := context.WithCancel(ctx)
	defer stop()
	callers := &caller.Callers{History: s.history, Entries: s.entries, KeyVersions: s.keyVersions, StreamBody: s.upstreamSlots[0].upstream.StreamBody(), DeadlyPart: deadlyPartID, Deadly: s.sendsDeadly}
	if s.long {
		callers.Long = longCallersPerEntry * len(s.entries)
	}
	var running sync.WaitGroup
	s.callersRun.Store(true)
	running.Go(func() { callers.Run(calls, s.seed, callersPerEntry*len(s.entries)) })
	start := time.Now()
	var faults sync.WaitGroup
	for _, step := range steps {
		sleep(ctx, time.Until(start.Add(step.At)))
		if ctx.Err() != nil {
			break
		}
		faults.Go(func() { s.injectFault(step) })
	}
	faults.Wait()
	sleep(ctx, history.RecoveryTime)
	s.history.MarkRecovered()
	sleep(ctx, faultFreeTime)
	stop()
	running.Wait()
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// startEntries starts the entries, each with its own link to the store.
func (s *Soak) startEntries(store netip.AddrPort) error {
	var seeds []netip.AddrPort
	for n := range min(s.entryCount, 3) {
		seeds = append(seeds, netip.AddrPortFrom(s.address(n), peerPort))
	}
	for n := range s.entryCount {
		at := s.address(n)
		link, err := s.proxies.NewLink(fmt.Sprintf("store-%d", n), netip.AddrPortFrom(at, linkPort), store)
		if err != nil {
			return err
		}
		s.storeLinks = append(s.storeLinks, link)
		e := program.New(s.program, s.folder, program.Settings{
			Name: fmt.Sprintf("entry-%d", n), FailureDomain: failureDomain(n), PeerSeeds: seeds, RetrySlack: retrySlack, Load: s.load, Evacuations: s.evacuations,
			ListenAddress: netip.AddrPortFrom(at, callerPort), ReadyAddress: netip.AddrPortFrom(at, readyPort),
			PeerAddress: netip.AddrPortFrom(at, peerPort), StoreAddress: netip.AddrPortFrom(at, linkPort),
		})
		if err := e.Start(); err != nil {
			return err
		}
		s.entries = append(s.entries, e)
	}
	return nil
}

// awaitReady waits until all entries are ready for the first time.
func (s *Soak) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, e := range s.entries {
		for !e.Ready(http.DefaultClient) {
			if sleep(ctx, pollInterval); ctx.Err() != nil {
				return oops.Errorf("%s is not ready within %s, see its log in %s", e.Settings.Name, startTimeout, s.folder)
			}
		}
	}
	return nil
}

// startUpstream starts an upstream in a slot, in which none may be running, and
// registers it in the store.
func (s *Soak) startUpstream(slot *upstreamSlot) error {
	s.mu.Lock()
	s.startedUpstreams++
	id := fmt.Sprintf("w-%d", s.startedUpstreams)
	s.mu.Unlock()
	pace := func(r standin.Run) time.Duration { return caller.Pace(r, processingTime) }
	w := standin.NewWorker(id, s.coldOption(id), standin.WithPace(pace), standin.WithObserver(func(a standin.Arrival) {
		s.history.AddArrival(a.ID, history.Arrival{Upstream: a.Worker, FailureDomain: slot.failureDomain, At: a.At, Executed: a.Executed, Misdirected: a.Misdirected})
	}), standin.WithDeadlyRequests(deadlyCause, func(why string) { s.endUpstream(slot, id, why) }))
	link, err := s.proxies.NewLink(id, slot.address, w.Address())
	for end := time.Now().Add(addressTimeout); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(end); {
		// The listener of the previous link is closed asynchronously.
		time.Sleep(pollInterval)
		link, err = s.proxies.NewLink(id, slot.address, w.Address())
	}
	if err != nil {
		w.Close()
		return err
	}
	s.mu.Lock()
	slot.upstream, slot.link = w, link
	w.SetPlaces(s.places)
	s.mu.Unlock()
	s.store.RegisterWorker(w, standin.ServiceName, slot.failureDomain, slot.address)
	return nil
}

// writeConfiguration writes the next version of the configuration. A version holds
// the API key that is named after it and the key of the version before.
func (s *Soak) writeConfiguration() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configurationVersion++
	v := s.configurationVersion
	keys := []string{caller.KeyName(v)}
	if v > 1 {
		keys = append(keys, caller.KeyName(v-1))
	}
	letter := standin.Route(caller.Host, string(history.Letter), "/"+string(history.Letter)+"/", "stream", 2)
	letter["resumable"], letter["gap_aim_ms"], letter["timeoutMs"] = true, 120, 8000
	routes := append(standin.Routes(caller.Host), letter)
	configuration := standin.Configuration(v, keys, routes)
	if s.load {
		configuration = withLoad(configuration, routes)
	}
	s.history.WriteConfiguration(v, func() { s.store.PutConfiguration(configuration) })
}

// keyVersions implements caller.Callers.KeyVersions. The key of the version before
// the newest is valid under both versions, so it is accepted whichever of the two
// is in effect.
func (s *Soak) keyVersions() (accepted, newest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.configurationVersion-1, 1), s.configurationVersion
}

// killEntries kills the processes of all entries and closes their store links.
func (s *Soak) killEntries() {
	for _, e := range s.entries {
		e.Signal(killSignal)
		e.AwaitExit(startTimeout)
	}
	for _, l := range s.storeLinks {
		l.Close()
	}
}

// closeUpstreams closes all upstreams and their links.
func (s *Soak) closeUpstreams() {
	for _, slot := range s.upstreamSlots {
		if slot.upstream != nil {
			slot.link.Close()
			slot.upstream.Close()
		}
	}
}

// recordError records an error of the run, which the report lists among the
// violations; a nil error is ignored.
func (s *Soak) recordError(err error) {
	if err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runErrors = append(s.runErrors, err)
}
