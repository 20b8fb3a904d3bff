package orders

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"hash/fnv"

	"bramleydeal/internal/core/group"
	"bramleydeal/internal/wire/peer"
	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"
)

// ErrUnknownBase means that the content of a map builds on another map that the receiver
// does not know.
var ErrUnknownBase = errors.New("the map that the content builds on is not known")

// EncodeMap returns the content of a map for a STAGE order. With a base, which must have
// the same dimensions, it contains only the slots that differ from it.
func EncodeMap(m group.Map, base *group.Map) ([]byte, error) {
	out := &peer.ExpertMap{Ranks: uint32(m.Ranks), Slots: uint32(m.Slots)}
	if base == nil {
		for _, layer := range m.Layers {
			set := &peer.ExpertSet{Experts: make([]uint32, 0, len(layer))}
			for _, e := range layer {
				set.Experts = append(set.Experts, uint32(e+1))
			}
			out.Layers = append(out.Layers, set)
		}
	} else {
		out.Base, out.Changes, out.Digest = base.Version, layerChanges(*base, m), digest(m)
	}
	content, err := proto.Marshal(out)
	if err != nil {
		return nil, oops.Code("invalid-order").Wrapf(err, "encode map %d", m.Version)
	}
	return content, nil
}

// digest returns a hash of the slots of a map, which is not 0.
func digest(m group.Map) uint64 {
	h := fnv.New64a()
	var slot [8]byte
	for _, layer := range m.Layers {
		for _, e := range layer {
			binary.BigEndian.PutUint64(slot[:], uint64(e+1))
			// Writes to a hash never fail.
			_, _ = h.Write(slot[:])
		}
	}
	return max(h.Sum64(), 1)
}

// layerChanges returns the slots of m that differ from base.
func layerChanges(base, m group.Map) []*peer.LayerChange {
	var out []*peer.LayerChange
	for l, layer := range m.Layers {
		c := &peer.LayerChange{Layer: uint32(l)}
		last := 0
		for slot, e := range layer {
			if e != base.Layers[l][slot] {
				c.Slots, c.Experts = append(c.Slots, uint32(slot-last)), append(c.Experts, uint32(e+1))
				last = slot
			}
		}
		if len(c.Slots) > 0 {
			out = append(out, c)
		}
	}
	return out
}

// DecodeMap returns the map of a version from its content. known returns the maps that a
// content may build on; the error wraps ErrUnknownBase if it does not know the base, or has
// another map of that version: a sender that has read a map from the ranks does not know its
// slots.
func DecodeMap(version uint64, content []byte, known func(version uint64) (group.Map, bool)) (group.Map, error) {
	if len(content) > 0 && content[0] == '{' {
		// An agent of an earlier version, which leads the group, sends JSON.
		var m group.Map
		if err := json.Unmarshal(content, &m); err != nil {
			return group.Map{}, oops.Code("invalid-order").Wrapf(err, "read the map")
		}
		m.Version = version
		return m, nil
	}
	var p peer.ExpertMap
	if err := proto.Unmarshal(content, &p); err != nil {
		return group.Map{}, oops.Code("invalid-order").Wrapf(err, "read the map")
	}
	m := group.Map{Version: version, Ranks: int(p.Ranks), Slots: int(p.Slots)}
	if p.Base != 0 {
		base, ok := known(p.Base)
		if !ok {
			return group.Map{}, oops.Code("invalid-order").Wrapf(ErrUnknownBase, "map %d", p.Base)
		}
		m.Layers = base.Clone().Layers
		if err := applyChanges(m, p.Changes); err != nil {
			return m, err
		}
		if p.Digest != 0 && p.Digest != digest(m) {
			return m, oops.Code("invalid-order").Wrapf(ErrUnknownBase, "map %d has other slots here", p.Base)
		}
		return m, nil
	}
	for l, set := range p.Layers {
		if len(set.Experts) != m.Ranks*m.Slots {
			return group.Map{}, oops.Code("invalid-order").Errorf("layer %d has %d slots, not %d times %d", l, len(set.Experts), m.Ranks, m.Slots)
		}
		layer := make([]int, 0, len(set.Experts))
		for _, e := range set.Experts {
			layer = append(layer, int(e)-1)
		}
		m.Layers = append(m.Layers, layer)
	}
	return m, nil
}

// applyChanges applies changes to the layers of m.
func applyChanges(m group.Map, changes []*peer.LayerChange) error {
	for _, c := range changes {
		if int(c.Layer) >= len(m.Layers) || len(c.Slots) != len(c.Experts) {
			return oops.Code("invalid-order").Errorf("a change of layer %d does not fit a map of %d layers", c.Layer, len(m.Layers))
		}
		slot := 0
		for i, distance := range c.Slots {
			slot += int(distance)
			if slot >= len(m.Layers[c.Layer]) {
				return oops.Code("invalid-order").Errorf("a change of layer %d has slot %d of %d", c.Layer, slot, len(m.Layers[c.Layer]))
			}
			m.Layers[c.Layer][slot] = int(c.Experts[i]) - 1
		}
	}
	return nil
}
