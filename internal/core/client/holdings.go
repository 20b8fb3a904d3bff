package client

import (
	"cmp"
	"slices"
	"time"
)

// Holdings counts the memory and the descriptors that clients make a process hold, and decides who
// gets more of them. While there is none left, clients that are silent lose theirs. It is not safe for
// concurrent use.
type Holdings struct {
	limit int64
	held  int64
	// long is the number of holders with more than ShortHolding.
	long    int
	holders map[*Holder]struct{}
}

// Door is an address at which clients connect, with the descriptors that they may take there.
type Door struct {
	limit, used int
}

// NewDoor returns a door whose clients may take limit descriptors.
func NewDoor(limit int) *Door { return &Door{limit: limit} }

// Phase is what is done on a connection.
type Phase int

const (
	// Reading means that the client has to send bytes, of a request or the next one.
	Reading Phase = iota
	// Waiting means that the client waits for the process, so its silence means nothing.
	Waiting
	// Writing means that the client has to take bytes.
	Writing
)

// Holder is what one connection of a client holds.
type Holder struct {
	door        *Door
	bytes       int64
	descriptors int
	// progress is the last time at which the client sent or took bytes.
	progress time.Time
	phase    Phase
	// gone is set once the connection was closed or has lost what it held.
	gone bool
	// shared is set for what is held for several connections.
	shared bool
}

const (
	// ShortHolding is the largest number of bytes that an ordinary connection holds.
	ShortHolding = 128 << 10
	// shortShare is the divisor for the part of the memory that is left to short holdings, so that
	// long ones do not crowd them out.
	shortShare = 8
	// leastHolding is what a connection holds with a request that has hardly a head or a body, and
	// leastShare the divisor for the part that is left to such: all long ones were short once.
	leastHolding = 64 << 10
	leastShare   = 16
	// evictedShare is the divisor for the part of the memory or descriptors that is freed at once
	// when there are none left.
	evictedShare = 16
	// minSilence is how long a client must be silent to lose memory. A packet that was lost is sent
	// again within that time.
	minSilence = time.Second
)

// NewHoldings returns holdings of up to limit bytes.
func NewHoldings(limit int64) *Holdings {
	return &Holdings{limit: limit, holders: map[*Holder]struct{}{}}
}

// Open returns a holder for a new connection at a door, and those that lose their connections for it.
// It returns nil if no descriptor can be had.
func (h *Holdings) Open(d *Door, now time.Time) (x *Holder, evicted []*Holder) {
	evicted = h.evictConnections(d, nil, 1, now)
	if d.used >= d.limit {
		return nil, evicted
	}
	x = &Holder{door: d, progress: now}
	h.holders[x] = struct{}{}
	h.addDescriptors(x, 1)
	return x, evicted
}

// OpenShared returns a holder for what several connections hold together, which is never taken from it.
func (h *Holdings) OpenShared(now time.Time) *Holder {
	x := &Holder{door: NewDoor(0), progress: now, phase: Waiting, shared: true}
	h.holders[x] = struct{}{}
	return x
}

// OpenMore takes another descriptor for a connection, for a connection to an upstream. It reports false
// if none can be had.
func (h *Holdings) OpenMore(x *Holder, now time.Time) (evicted []*Holder, ok bool) {
	if x.gone {
		return nil, false
	}
	evicted = h.evictConnections(x.door, x, 1, now)
	if x.door.used >= x.door.limit {
		return evicted, false
	}
	h.addDescriptors(x, 1)
	return evicted, true
}

// CloseMore returns the descriptor that OpenMore has taken.
func (h *Holdings) CloseMore(x *Holder) {
	if !x.gone {
		h.addDescriptors(x, -1)
	}
}

// Reserve takes bytes of memory for a connection and returns those that lose their connections for it.
// It reports false if there is no memory left. The only long holding is always given memory: its own
// limits bound it.
func (h *Holdings) Reserve(x *Holder, bytes int64, now time.Time) (evicted []*Holder, ok bool) {
	if x.gone {
		return nil, false
	}
	if !h.fits(x, bytes) {
		evicted = h.evictMemory(x, bytes, now)
	}
	if !h.fits(x, bytes) {
		evicted = append(evicted, h.evictShorter(x, bytes)...)
	}
	if !h.fits(x, bytes) {
		return evicted, false
	}
	h.add(x, bytes)
	return evicted, true
}

// Release returns reserved bytes.
func (h *Holdings) Release(x *Holder, bytes int64) {
	if !x.gone {
		h.add(x, -bytes)
	}
}

// Close returns all that a connection holds.
func (h *Holdings) Close(x *Holder) {
	if x.gone {
		return
	}
	h.add(x, -x.bytes)
	h.addDescriptors(x, -x.descriptors)
	x.gone = true
	delete(h.holders, x)
}

// Progress records that a client sent or took bytes.
func (h *Holdings) Progress(x *Holder, now time.Time) { x.progress = now }

// SetPhase records what is done on a connection from now on. It reports false if the connection has lost
// what it held.
func (h *Holdings) SetPhase(x *Holder, p Phase, now time.Time) bool {
	x.phase, x.progress = p, now
	return !x.gone
}

// Held returns the bytes that all connections hold.
func (h *Holdings) Held() int64 { return h.held }

// Connections returns the number of connections.
func (h *Holdings) Connections() int { return len(h.holders) }

// fits reports whether there is memory for more bytes of a connection.
func (h *Holdings) fits(x *Holder, bytes int64) bool {
	if h.held+bytes <= h.limitFor(x.bytes+bytes) || h.held == x.bytes && !x.shared {
		return true
	}
	others := h.long
	if x.bytes > ShortHolding && !x.shared {
		others--
	}
	return x.bytes+bytes > ShortHolding && others == 0 && !x.shared
}

// limitFor returns the part of the memory that a connection may use which holds the given bytes.
func (h *Holdings) limitFor(bytes int64) int64 {
	switch {
	case bytes <= leastHolding:
		return h.limit
	case bytes <= ShortHolding:
		return h.limit - h.limit/leastShare
	}
	return h.limit - h.limit/shortShare
}

// add changes the bytes that a connection holds.
func (h *Holdings) add(x *Holder, bytes int64) {
	wasLong := x.bytes > ShortHolding && !x.shared
	x.bytes += bytes
	h.held += bytes
	switch isLong := x.bytes > ShortHolding && !x.shared; {
	case isLong && !wasLong:
		h.long++
	case wasLong && !isLong:
		h.long--
	}
}

// addDescriptors changes the descriptors that a connection has taken.
func (h *Holdings) addDescriptors(x *Holder, n int) {
	x.descriptors += n
	x.door.used += n
}

// evictMemory closes connections of silent clients until there is memory for more bytes of x, those
// first that hold the most for the longest time. It closes none if that is not enough.
func (h *Holdings) evictMemory(x *Holder, bytes int64, now time.Time) (evicted []*Holder) {
	needed := h.held + bytes - h.limitFor(x.bytes+bytes)
	want := needed + h.limit/evictedShare
	var silent []*Holder
	var total int64
	for y := range h.holders {
		if y != x && y.phase != Waiting && y.bytes > 0 && now.Sub(y.progress) >= minSilence {
			silent = append(silent, y)
			total += y.bytes
		}
	}
	if total < needed {
		return nil
	}
	cost := func(y *Holder) float64 { return float64(y.bytes) * now.Sub(y.progress).Seconds() }
	slices.SortFunc(silent, func(a, b *Holder) int { return cmp.Compare(cost(b), cost(a)) })
	for _, y := range silent {
		if want <= 0 {
			break
		}
		want -= y.bytes
		h.Close(y)
		evicted = append(evicted, y)
	}
	return evicted
}

// evictShorter closes connections whose long requests are being read and are shorter than that of x,
// the shortest first, until there is memory for more bytes of x. Bodies of unknown lengths that
// arrive at the same time would all be refused otherwise.
func (h *Holdings) evictShorter(x *Holder, bytes int64) (evicted []*Holder) {
	if x.bytes <= ShortHolding {
		return nil
	}
	var shorter []*Holder
	for y := range h.holders {
		if y.phase == Reading && y.bytes > ShortHolding && y.bytes < x.bytes {
			shorter = append(shorter, y)
		}
	}
	slices.SortFunc(shorter, func(a, b *Holder) int { return cmp.Compare(a.bytes, b.bytes) })
	for _, y := range shorter {
		if h.fits(x, bytes) {
			break
		}
		h.Close(y)
		evicted = append(evicted, y)
	}
	return evicted
}

// evictConnections closes connections of silent clients at a door until it has n descriptors, those
// first that have been silent for longest. It doesn't close except.
func (h *Holdings) evictConnections(d *Door, except *Holder, n int, now time.Time) (evicted []*Holder) {
	if d.used+n <= d.limit {
		return nil
	}
	var silent []*Holder
	for y := range h.holders {
		if y != except && y.door == d && y.phase != Waiting {
			silent = append(silent, y)
		}
	}
	slices.SortFunc(silent, func(a, b *Holder) int { return a.progress.Compare(b.progress) })
	for _, y := range silent {
		if d.used+n+d.limit/evictedShare <= d.limit {
			break
		}
		h.Close(y)
		evicted = append(evicted, y)
	}
	return evicted
}
