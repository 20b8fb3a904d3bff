// Package run puts one soak run together: a store and upstreams that are stand-ins,
// links that can be harmed, entries that are real processes, callers, and the
// faults of a seed. Entries are reached directly by their callers and each other;
// their ways to the store and to the upstreams are links.
package run

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
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

// Sizes and times of a run.
const (
	// Entries and Upstreams are the usual size.
	DefaultEntries   = 4
	DefaultUpstreams = 8
	// Length is the time with faults; recovery and a calm time follow.
	DefaultFaultDuration = 20 * time.Second
	calmTime             = 3 * time.Second
	// callersPerEntry keep about a dozen requests a second at each entry.
	callersPerEntry = 4
	// retrySlack is the number of repeats beside the ratio.
	retrySlack = 60
	// workTime is the time of a plain request and between the events of a stream.
	workTime = 30 * time.Millisecond
	// startLimit bounds the wait for all entries to be ready at first.
	startLimit = 20 * time.Second
	startPoll  = 50 * time.Millisecond
	// addressLimit bounds the wait for an upstream's address to be free again.
	addressLimit = 2 * time.Second
	// domains is the number of failure domains.
	domains = 2
)

// Ports of the entries and links, each at a loopback number of its own.
const (
	callerPort = 8080
	readyPort  = 8081
	peerPort   = 7100
	linkPort   = 8400
)

// Soak is one run.
type Soak struct {
	seed               uint64
	program, folder    string
	entries, upstreams int
	length             time.Duration
	only               []schedule.Fault

	ledger  *history.Ledger
	proxies *proxy.Proxies
	store   *standin.Store
	fleet   []*program.Entry
	// storeLinks are by entry.
	storeLinks []*proxy.Link
	network    netip.Addr

	mu      sync.Mutex
	places  []*place
	started int
	version int
	// storeFaults count the faults of the store, the last of which ends them all.
	storeFaults int
	failed      []error
}

// place holds one upstream at a time.
type place struct {
	upstream *standin.Worker
	link     *proxy.Link
	at       netip.AddrPort
	domain   string
	changes  sync.Mutex
}

// Option configures a Soak.
type Option func(*Soak)

// WithSize sets the number of entries and upstreams.
func WithSize(entries, upstreams int) Option {
	return func(s *Soak) { s.entries, s.upstreams = entries, upstreams }
}

// WithLength sets the time with faults.
func WithFaultDuration(d time.Duration) Option { return func(s *Soak) { s.length = d } }

// WithFaults restricts the run to some kinds of faults.
func WithFaults(only ...schedule.Fault) Option { return func(s *Soak) { s.only = only } }

// New returns a run of a seed. program is the path of bramleydeal, folder holds
// settings and logs.
func New(seed uint64, program, folder string, options ...Option) *Soak {
	s := &Soak{
		seed: seed, program: program, folder: folder, entries: DefaultEntries, upstreams: DefaultUpstreams, length: DefaultFaultDuration,
		ledger: history.New(), proxies: proxy.New(), store: standin.NewStore(),
	}
	for _, o := range options {
		o(s)
	}
	// Runs beside each other need numbers of their own, whatever the seed.
	s.network = netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(250)), byte(rand.IntN(250)), 0})
	return s
}

// Report is what came out of a run.
type Report struct {
	Seed       uint64
	Steps      []schedule.Step
	Counts     map[history.Outcome]int
	Violations []history.Violation
}

// number returns the loopback number of the nth part.
func (s *Soak) number(n int) netip.Addr {
	four := s.network.As4()
	four[3] = byte(1 + n)
	return netip.AddrFrom4(four)
}

// Run plays the seed. An error says that the run itself could not be played.
func (s *Soak) Run(ctx context.Context) (*Report, error) {
	server := httptest.NewServer(s.store)
	defer server.Close()
	defer server.CloseClientConnections()
	storeAddress, err := netip.ParseAddrPort(server.Listener.Addr().String())
	if err != nil {
		return nil, oops.Wrap(err)
	}
	s.change()
	for n := range s.upstreams {
		p := &place{domain: domain(n), at: netip.AddrPortFrom(s.number(100+n), linkPort)}
		s.places = append(s.places, p)
		if err := s.enter(p); err != nil {
			return nil, err
		}
	}
	defer s.closePlaces()
	defer s.killAll()
	if err := s.startEntries(storeAddress); err != nil {
		return nil, err
	}
	if err := s.awaitReady(ctx); err != nil {
		return nil, err
	}
	steps := schedule.Draw(s.seed, s.length, s.only...)
	s.play(ctx, steps)
	report := &Report{Seed: s.seed, Steps: steps, Counts: s.ledger.Counts(), Violations: s.ledger.Check(retrySlack)}
	for _, err := range s.failed {
		report.Violations = append(report.Violations, history.Violation{Promise: "the run", Detail: err.Error()})
	}
	return report, ctx.Err()
}

func domain(n int) string { return fmt.Sprintf("domain-%d", n%domains) }

// play sends requests while the steps are carried out, and goes on until the
// system has had time to recover.
func (s *Soak) play(ctx context.Context, steps []schedule.Step) {
	calls, stop := context.WithCancel(ctx)
	defer stop()
	callers := &caller.Callers{Ledger: s.ledger, Entries: s.fleet, Keys: s.keys, Events: s.places[0].upstream.StreamBody()}
	var running sync.WaitGroup
	running.Go(func() { callers.Run(calls, s.seed, callersPerEntry*len(s.fleet)) })
	began := time.Now()
	var faults sync.WaitGroup
	for _, step := range steps {
		sleep(ctx, time.Until(began.Add(step.At)))
		if ctx.Err() != nil {
			break
		}
		faults.Go(func() { s.carryOut(step) })
	}
	faults.Wait()
	sleep(ctx, history.Recovery)
	s.ledger.Calm()
	sleep(ctx, calmTime)
	stop()
	running.Wait()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// startEntries starts the entries, each with its own way to the store.
func (s *Soak) startEntries(store netip.AddrPort) error {
	var seeds []netip.AddrPort
	for n := range min(s.entries, 3) {
		seeds = append(seeds, netip.AddrPortFrom(s.number(n), peerPort))
	}
	for n := range s.entries {
		at := s.number(n)
		link, err := s.proxies.Link(fmt.Sprintf("store-%d", n), netip.AddrPortFrom(at, linkPort), store)
		if err != nil {
			return err
		}
		s.storeLinks = append(s.storeLinks, link)
		e := program.New(s.program, s.folder, program.Settings{
			Name: fmt.Sprintf("entry-%d", n), FailureDomain: domain(n), Seeds: seeds, RetrySlack: retrySlack,
			Callers: netip.AddrPortFrom(at, callerPort), Ready: netip.AddrPortFrom(at, readyPort),
			Peers: netip.AddrPortFrom(at, peerPort), Store: netip.AddrPortFrom(at, linkPort),
		})
		if err := e.Start(); err != nil {
			return err
		}
		s.fleet = append(s.fleet, e)
	}
	return nil
}

// awaitReady waits until all entries are ready for the first time.
func (s *Soak) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for _, e := range s.fleet {
		for !e.Ready(http.DefaultClient) {
			if sleep(ctx, startPoll); ctx.Err() != nil {
				return oops.Errorf("%s is not ready within %s, see its log in %s", e.Settings.Name, startLimit, s.folder)
			}
		}
	}
	return nil
}

// enter starts an upstream at a place, which is empty, and lists it.
func (s *Soak) enter(p *place) error {
	s.mu.Lock()
	s.started++
	id := fmt.Sprintf("w-%d", s.started)
	s.mu.Unlock()
	w := standin.NewWorker(id, standin.WithProcessingTime(workTime), standin.WithObserver(func(a standin.Arrival) {
		s.ledger.Arrived(a.ID, history.Arrival{Upstream: a.Worker, At: a.At, Runs: a.Executed})
	}))
	link, err := s.proxies.Link(id, p.at, w.Address())
	for end := time.Now().Add(addressLimit); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(end); {
		// The former link's listener is closed by a goroutine of its own.
		time.Sleep(startPoll)
		link, err = s.proxies.Link(id, p.at, w.Address())
	}
	if err != nil {
		w.Close()
		return err
	}
	p.upstream, p.link = w, link
	s.store.RegisterWorker(w, standin.ServiceName, p.domain, p.at)
	return nil
}

// change writes the next version of the configuration. It knows its own key and
// the one before.
func (s *Soak) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	v := s.version
	keys := []string{caller.KeyName(v)}
	if v > 1 {
		keys = append(keys, caller.KeyName(v-1))
	}
	s.ledger.Write(v, func() { s.store.PutConfiguration(standin.Configuration(v, keys, standin.Routes(caller.Host))) })
}

// keys implements what the callers ask for: the key before the newest one is
// known under both versions.
func (s *Soak) keys() (sure, newest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.version-1, 1), s.version
}

func (s *Soak) killAll() {
	for _, e := range s.fleet {
		e.Signal(killSignal)
		e.AwaitEnd(startLimit)
	}
	for _, l := range s.storeLinks {
		l.Close()
	}
}

func (s *Soak) closePlaces() {
	for _, p := range s.places {
		if p.upstream != nil {
			p.link.Close()
			p.upstream.Close()
		}
	}
}

// fail records that a fault could not be brought about.
func (s *Soak) fail(err error) {
	if err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = append(s.failed, err)
}
