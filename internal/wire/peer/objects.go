package peer

import "bramleydeal/internal/core/store"

// UpdateFromProto converts objects from the wire into an update that covers the revisions
// in (from, revision].
func UpdateFromProto(from, revision uint64, objects []*Object) store.Update {
	u := store.Update{From: from, Revision: revision}
	for _, o := range objects {
		u.Objects = append(u.Objects, store.Object{Name: o.Name, Version: o.Version, Value: o.Value, Deleted: o.Deleted})
	}
	return u
}

// ObjectsToProto converts stored objects for the wire.
func ObjectsToProto(objects []store.Object) []*Object {
	out := make([]*Object, 0, len(objects))
	for _, o := range objects {
		out = append(out, &Object{Name: o.Name, Version: o.Version, Value: o.Value, Deleted: o.Deleted})
	}
	return out
}
