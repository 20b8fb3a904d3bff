// Package inbound counts what clients make a process hold: the memory of their heads, bodies and
// unread answers, their connections, and the descriptors that their requests need. All listeners of
// a process share one Budget. Who gets memory and who loses it is decided in core/client.
package inbound

import (
	"math"
	"sync"
	"syscall"
	"time"

	"bramleydeal/internal/core/client"
	"github.com/VictoriaMetrics/metrics"
)

// Parts of a process's memory and descriptors that clients may take.
const (
	// memoryShare is the part of the memory that clients may make a process hold, unless that leaves
	// less than reservedMemory.
	memoryShare = 0.6
	// reservedMemory is left, in bytes, to the program itself, its state and garbage.
	reservedMemory = 64e6
	// leastMemoryShare is the part of the memory that clients get in any case.
	leastMemoryShare = 0.5
	// reservedDescriptors are left to files.
	reservedDescriptors = 200
	// maxDescriptors bounds the descriptors that are counted on where the system sets no limit.
	maxDescriptors = 1 << 16
	// callerShare and peerShare are the parts of the other descriptors for callers and their requests'
	// connections to upstreams, and for other processes.
	callerShare, peerShare = 0.65, 0.25
	// plainConnections is the number of connections to an address that serves only the process's
	// own state.
	plainConnections = 32
)

// Budget bounds what clients make a process hold. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	holdings *client.Holdings
	// connections are the open connections by what they hold.
	connections map[*client.Holder]*Conn
	callers     *client.Door
	peers       *client.Door
	// decoded holds what the messages of calls were decoded into, and answers that are kept.
	decoded *client.Holder
	stats   Stats
	// limit is the memory that clients may make the process hold, in bytes.
	limit int64
}

// Stats is the debug state of a budget: what is held now, and how often a client was refused memory
// or a connection, or lost its connection to others, since the start.
type Stats struct {
	HeldBytes          int64  `json:"held-bytes"`
	Connections        int    `json:"connections"`
	RefusedMemory      uint64 `json:"refused-memory"`
	RefusedConnections uint64 `json:"refused-connections"`
	Evicted            uint64 `json:"evicted"`
}

// NewBudget returns the budget of a process that may take the given bytes of memory and number of file
// descriptors. If descriptors is 0, the limit of the operating system holds.
func NewBudget(memory int64, descriptors int) *Budget {
	if descriptors <= 0 {
		descriptors = systemDescriptors()
	}
	sockets := float64(max(descriptors-reservedDescriptors, descriptors/2))
	share := max(leastMemoryShare*float64(memory), min(memoryShare*float64(memory), float64(memory)-reservedMemory))
	b := &Budget{
		limit: int64(share), holdings: client.NewHoldings(int64(share)), connections: map[*client.Holder]*Conn{},
		callers: client.NewDoor(int(callerShare * sockets)), peers: client.NewDoor(int(peerShare * sockets)),
	}
	b.decoded = b.holdings.OpenShared(time.Now())
	return b
}

// systemDescriptors returns the operating system's limit of file descriptors.
func systemDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return maxDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}

// Callers is the door of callers.
func (b *Budget) Callers() *client.Door { return b.callers }

// Peers is the door of other processes.
func (b *Budget) Peers() *client.Door { return b.peers }

// Plain returns a new door of an address that serves only the process's own state.
func (b *Budget) Plain() *client.Door { return client.NewDoor(plainConnections) }

// Limit returns the memory in bytes that clients may make the process hold.
func (b *Budget) Limit() int64 {
	if b == nil {
		return math.MaxInt64
	}
	return b.limit
}

// Take takes memory for answers that are kept for clients and reports whether there was enough.
func (b *Budget) Take(bytes int64) bool { return b == nil || b.reserve(b.decoded, bytes) }

// Return returns memory that Take has taken.
func (b *Budget) Return(bytes int64) {
	if b != nil {
		b.release(b.decoded, bytes)
	}
}

// Register adds the budget's metrics to set.
func (b *Budget) Register(set *metrics.Set) {
	for name, value := range map[string]func(Stats) float64{
		"bramleydeal_client_held_bytes":                     func(s Stats) float64 { return float64(s.HeldBytes) },
		"bramleydeal_client_connections":                    func(s Stats) float64 { return float64(s.Connections) },
		`bramleydeal_clients_refused{reason="memory"}`:      func(s Stats) float64 { return float64(s.RefusedMemory) },
		`bramleydeal_clients_refused{reason="connections"}`: func(s Stats) float64 { return float64(s.RefusedConnections) },
		"bramleydeal_clients_evicted":                       func(s Stats) float64 { return float64(s.Evicted) },
	} {
		set.NewGauge(name, func() float64 { return value(b.State()) })
	}
}

// State returns the budget's debug state.
func (b *Budget) State() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stats
	s.HeldBytes, s.Connections = b.holdings.Held(), b.holdings.Connections()-1 // decoded
	return s
}

// open returns a holder for a new connection, or nil if there is no room for it.
func (b *Budget) open(c *Conn, d *client.Door) *client.Holder {
	b.mu.Lock()
	defer b.mu.Unlock()
	x, evicted := b.holdings.Open(d, time.Now())
	b.evict(evicted)
	if x == nil {
		b.stats.RefusedConnections++
		return nil
	}
	b.connections[x] = c
	return x
}

// openMore takes a further descriptor for a connection and reports whether there was one.
func (b *Budget) openMore(x *client.Holder) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	evicted, ok := b.holdings.OpenMore(x, time.Now())
	b.evict(evicted)
	if !ok {
		b.stats.RefusedConnections++
	}
	return ok
}

// closeMore returns the descriptor that openMore has taken.
func (b *Budget) closeMore(x *client.Holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holdings.CloseMore(x)
}

// reserve takes memory for a connection and reports whether there was enough.
func (b *Budget) reserve(x *client.Holder, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	evicted, ok := b.holdings.Reserve(x, bytes, time.Now())
	b.evict(evicted)
	if !ok {
		b.stats.RefusedMemory++
	}
	return ok
}

// release returns memory of a connection.
func (b *Budget) release(x *client.Holder, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holdings.Release(x, bytes)
}

// progress records that a client sent or took bytes.
func (b *Budget) progress(x *client.Holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holdings.Progress(x, time.Now())
}

// setPhase records what is done on a connection from now on, and reports whether it still has what it
// holds.
func (b *Budget) setPhase(x *client.Holder, p client.Phase) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holdings.SetPhase(x, p, time.Now())
}

// close returns all that a connection holds.
func (b *Budget) close(x *client.Holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holdings.Close(x)
	delete(b.connections, x)
}

// evict ends the connections of clients that have lost what they held. b.mu must be held.
func (b *Budget) evict(evicted []*client.Holder) {
	for _, x := range evicted {
		b.stats.Evicted++
		if c := b.connections[x]; c != nil {
			delete(b.connections, x)
			go c.evict()
		}
	}
}
