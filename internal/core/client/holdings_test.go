package client

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// openHolders returns n holders at a door with room for all.
func openHolders(h *Holdings, n int, now time.Time) (out []*Holder) {
	d := NewDoor(n)
	for range n {
		x, _ := h.Open(d, now)
		out = append(out, x)
	}
	return out
}

// TestHoldings guards against many long bodies that take a process beyond its memory, and against
// long bodies that leave no room for short ones.
func TestHoldings(t *testing.T) {
	is := is.New(t)
	const long = 1 << 20
	now := time.Now()
	h := NewHoldings(8 * long)
	const short, least = long / 2 / ShortHolding, long / 2 / leastHolding
	x := openHolders(h, 8+short+1+least+1, now)
	reserve := func(x *Holder, bytes int64) bool {
		evicted, ok := h.Reserve(x, bytes, now)
		is.Equal(len(evicted), 0) // none is silent
		return ok
	}
	for _, y := range x[:7] {
		is.True(reserve(y, long))
		h.SetPhase(y, Waiting, now)
	}
	is.True(!reserve(x[7], long)) // an eighth is left to short bodies
	for _, y := range x[8 : 8+short] {
		is.True(reserve(y, ShortHolding))
	}
	is.True(!reserve(x[8+short], ShortHolding)) // a half of it to those that have hardly begun
	for _, y := range x[9+short : 9+short+least] {
		is.True(reserve(y, leastHolding))
	}
	is.True(!reserve(x[9+short+least], leastHolding))
	is.Equal(h.Held(), int64(8*long))
	h.Release(x[0], long)
	h.Close(x[1])
	is.True(reserve(x[7], long))
	is.True(!reserve(x[0], long))
}

// TestOnlyLongHoldingHasRoom guards against a budget that is smaller than the longest permitted body,
// which could then never be sent.
func TestOnlyLongHoldingHasRoom(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	h := NewHoldings(ShortHolding)
	x := openHolders(h, 2, now)
	_, ok := h.Reserve(x[0], 4<<20, now)
	is.True(ok)
	_, ok = h.Reserve(x[1], 1, now)
	is.True(!ok)
	h.Release(x[0], 4<<20)
	// In pieces, as a body without a length comes.
	for range 16 {
		_, ok = h.Reserve(x[0], BodySegment, now)
		is.True(ok)
	}
}

// TestSilentClientsLoseMemoryFirst guards against clients that stop short of the end of their requests
// and keep others from being served, and against taking memory from those that are not silent or wait
// for the process.
func TestSilentClientsLoseMemoryFirst(t *testing.T) {
	is := is.New(t)
	const long = 1 << 20
	start := time.Now()
	h := NewHoldings(8 * long)
	x := openHolders(h, 8, start)
	for _, y := range x[:7] {
		_, ok := h.Reserve(y, long, start)
		is.True(ok)
	}
	h.SetPhase(x[0], Waiting, start)
	later := start.Add(2 * minSilence)
	for _, y := range x[2:7] {
		h.Progress(y, later)
	}
	evicted, ok := h.Reserve(x[7], long, later)
	is.True(ok)
	is.Equal(evicted, []*Holder{x[1]}) // the only one that is silent and doesn't wait
	_, ok = h.Reserve(x[1], 1, later)
	is.True(!ok) // it gets nothing more
	h.Release(x[1], long)
	is.Equal(h.Held(), int64(7*long)) // nothing is returned twice
	evicted, ok = h.Reserve(x[7], long, later)
	is.True(!ok)
	is.Equal(len(evicted), 0)
}

// TestSilentClientsLoseDescriptorsFirst guards against connections without requests that keep others
// from connecting, and requests from reaching upstreams.
func TestSilentClientsLoseDescriptorsFirst(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	h := NewHoldings(1 << 20)
	d := NewDoor(4)
	var x []*Holder
	for n := range 4 {
		y, evicted := h.Open(d, start.Add(time.Duration(n)*time.Second))
		is.Equal(len(evicted), 0)
		x = append(x, y)
	}
	now := start.Add(time.Minute)
	h.SetPhase(x[0], Waiting, now)
	y, evicted := h.Open(d, now)
	is.Equal(evicted, []*Holder{x[1]}) // the longest silent one that doesn't wait
	evicted, ok := h.OpenMore(x[0], now)
	is.True(ok)
	is.Equal(evicted, []*Holder{x[2]})
	h.SetPhase(x[3], Waiting, now)
	h.SetPhase(y, Waiting, now)
	_, ok = h.OpenMore(y, now)
	is.True(!ok) // all others wait
	z, _ := h.Open(d, now)
	is.True(z == nil)
	h.CloseMore(x[0])
	_, ok = h.OpenMore(y, now)
	is.True(ok)
}

// TestLongestBodyIsReadToItsEnd guards against bodies of unknown lengths that arrive at the same time and
// are all refused, because each takes the memory that another one lacks.
func TestLongestBodyIsReadToItsEnd(t *testing.T) {
	is := is.New(t)
	const bodies, length = 24, 1 << 20
	now := time.Now()
	h := NewHoldings(4 << 20)
	x := openHolders(h, bodies, now)
	refused := map[*Holder]bool{}
	ended := 0
	for size := int64(0); size < length; size += BodySegment {
		for _, y := range x {
			if refused[y] {
				continue
			}
			evicted, ok := h.Reserve(y, BodySegment, now)
			for _, z := range evicted {
				refused[z] = true
			}
			if !ok {
				refused[y] = true
				h.Close(y)
			} else if size+BodySegment == length {
				ended++
			}
		}
	}
	is.True(ended >= 3) // of the budget but for its eighth
}

// TestSharedHoldingIsBounded guards against what is held for several connections being taken for the only
// long holding, which is always given memory.
func TestSharedHoldingIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	h := NewHoldings(8 * ShortHolding)
	x := h.OpenShared(now)
	_, ok := h.Reserve(x, 7*ShortHolding, now)
	is.True(ok)
	_, ok = h.Reserve(x, 1, now)
	is.True(!ok) // an eighth is left to short ones
	y := openHolders(h, 1, now)[0]
	evicted, ok := h.Reserve(y, leastHolding, now.Add(time.Minute))
	is.True(ok)
	is.Equal(len(evicted), 0)
}
