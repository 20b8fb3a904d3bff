package orders

import (
	"encoding/json"
	"errors"
	"testing"

	"bramleydeal/internal/core/group"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// drawMap returns a map with random experts, some slots being empty.
func drawMap(t *rapid.T, version uint64, ranks, slots, layers int) group.Map {
	m := group.Map{Version: version, Ranks: ranks, Slots: slots}
	for range layers {
		m.Layers = append(m.Layers, rapid.SliceOfN(rapid.IntRange(group.EmptySlot, 300), ranks*slots, ranks*slots).Draw(t, "layer"))
	}
	return m
}

func TestDecodedMapIsTheEncodedOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		ranks, slots, layers := rapid.IntRange(1, 5).Draw(t, "ranks"), rapid.IntRange(1, 4).Draw(t, "slots"), rapid.IntRange(1, 4).Draw(t, "layers")
		base, m := drawMap(t, 7, ranks, slots, layers), drawMap(t, 8, ranks, slots, layers)
		for _, b := range []*group.Map{nil, &base} {
			content, err := EncodeMap(m, b)
			is.NoErr(err)
			got, err := DecodeMap(8, content, func(version uint64) (group.Map, bool) { return base, version == 7 })
			is.NoErr(err)
			is.Equal(got, m)
		}
	})
}

// TestChangesOfTheSameMapInOtherSlotsAreNotApplied guards against ranks with different maps of one
// version: a new leader knows the map in use from the ranks' reports, which leave out empty slots,
// and the ranks that have staged it know its slots. Those apply the leader's changes to other slots
// than it meant, while ranks that have restarted get the whole map (MAP, seed 237078516672 of
// tainted-amid-restarts).
func TestChangesOfTheSameMapInOtherSlotsAreNotApplied(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		shape := group.Shape{Ranks: rapid.IntRange(1, 4).Draw(t, "ranks"), Slots: rapid.IntRange(1, 4).Draw(t, "slots"), Layers: 2}
		staged := drawMap(t, 7, shape.Ranks, shape.Slots, shape.Layers)
		byRank := make([][][]int, shape.Ranks)
		for r := range byRank {
			for _, layer := range staged.ByLayerAndRank() {
				byRank[r] = append(byRank[r], layer[r])
			}
		}
		reported := group.MapFromRanks(7, byRank, shape)
		next := reported.Clone()
		next.Version = 8
		next.Layers[0][rapid.IntRange(0, shape.Ranks*shape.Slots-1).Draw(t, "slot")] = 301
		content, err := EncodeMap(next, &reported)
		is.NoErr(err)
		got, err := DecodeMap(8, content, func(uint64) (group.Map, bool) { return staged, true })
		if errors.Is(err, ErrUnknownBase) {
			return // the leader sends the whole map
		}
		is.NoErr(err)
		is.Equal(got.ByLayerAndRank(), next.ByLayerAndRank())
	})
}

func TestChangeOfFewSlotsIsShort(t *testing.T) {
	is := is.New(t)
	s := group.Shape{Ranks: 96, Experts: 192, Layers: 16, Slots: 3}
	base := group.Uniform(s)
	base.Version = 1
	m := base.Clone()
	m.Layers[3][100], m.Layers[3][200] = 5, 6
	short, err := EncodeMap(m, &base)
	is.NoErr(err)
	full, err := EncodeMap(m, nil)
	is.NoErr(err)
	is.True(len(short) < 40)
	is.True(len(full) > 4000)
}

func TestUndecodableMaps(t *testing.T) {
	unknown := func(uint64) (group.Map, bool) { return group.Map{}, false }
	base := group.Map{Version: 1, Ranks: 1, Slots: 2, Layers: [][]int{{0, 1}}}
	wide := group.Map{Version: 2, Ranks: 1, Slots: 3, Layers: [][]int{{0, 1, 2}}}
	wideBase := group.Map{Version: 1, Ranks: 1, Slots: 3, Layers: [][]int{{0, 1, 3}}}
	change, err := EncodeMap(wide, &wideBase)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		content     []byte
		known       func(uint64) (group.Map, bool)
		unknownBase bool
	}{
		"unknown base":            {change, unknown, true},
		"change beyond the base":  {change, func(uint64) (group.Map, bool) { return base, true }, false},
		"bytes that are no map":   {[]byte{0xff, 0xff}, unknown, false},
		"JSON that is not closed": {[]byte(`{"ranks"`), unknown, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := DecodeMap(2, c.content, c.known)
			is.True(err != nil)
			is.Equal(errors.Is(err, ErrUnknownBase), c.unknownBase)
		})
	}
}

func TestMapOfEarlierVersionIsRead(t *testing.T) {
	is := is.New(t)
	m := group.Map{Version: 2, Ranks: 1, Slots: 2, Layers: [][]int{{0, group.EmptySlot}}}
	content, err := json.Marshal(m)
	is.NoErr(err)
	got, err := DecodeMap(2, content, nil)
	is.NoErr(err)
	is.Equal(got, m)
}
