// Package store speaks to the platform's object API on behalf of operators:
// it reads and changes levels of the settings tree by conditional updates, and
// keeps their history.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os/user"
	"slices"
	"strings"
	"time"

	core "bramleydeal/internal/core/store"
	"bramleydeal/internal/settings/snapshot"
	"bramleydeal/internal/settings/tree"
	"bramleydeal/internal/store/object"
	"bramleydeal/internal/world/fleet"
	"github.com/samber/oops"
)

// Codes of the errors that operators' scripts tell apart.
const (
	CodeConflict = "conflict"
	CodeNotFound = "not-found"
	CodeInvalid  = "invalid-settings"
	CodePlatform = "platform-unreachable"
)

const (
	historyPrefix = "history/"
	leasePrefix   = "lease/"
	// maxHistory bounds the changes kept of one level.
	maxHistoryRecords = 100
	// historyTries is how often the history is written when others write it too.
	historyAttempts = 5
)

// Operator changes the tree through one platform.
type Client struct {
	objects *object.Client
	now     func() time.Time
}

// New returns an operator's access through c; now is the time put into the
// history.
func New(c *object.Client, now func() time.Time) *Client { return &Client{objects: c, now: now} }

// Versioned is a level at the version at which it was read; version 0 says
// that it does not exist.
type VersionedLevel struct {
	Level   tree.Level
	Version uint64
}

// Read returns the level at path.
func (o *Client) Read(ctx context.Context, path string) (VersionedLevel, error) {
	held, err := o.objects.Get(ctx, fleet.SettingsPrefix+path)
	if errors.Is(err, core.ErrNotFound) {
		l, err := tree.ParseLevel(path, []byte("{}"))
		return VersionedLevel{Level: l}, err
	}
	if err != nil {
		return VersionedLevel{}, err
	}
	l, err := tree.ParseLevel(path, held.Value)
	return VersionedLevel{Level: l, Version: held.Version}, err
}

// Write replaces a level, whose version must still be that of v, and returns
// the new version. On a conflict the error shows what changed meanwhile. A
// write whose answer was lost is read back.
func (o *Client) Write(ctx context.Context, v VersionedLevel) (uint64, error) {
	name := fleet.SettingsPrefix + v.Level.Path()
	value := v.Level.Marshal()
	held, err := o.objects.Put(ctx, name, value, v.Version)
	if err != nil && !errors.Is(err, core.ErrConflict) {
		held, err = o.readBack(ctx, name, value, v.Version, err)
	}
	if errors.Is(err, core.ErrConflict) {
		return 0, o.conflictError(v, held)
	}
	return held.Version, err
}

// readBack settles a write that got no answer.
func (o *Client) readBack(ctx context.Context, name string, value []byte, before uint64, lost error) (core.Object, error) {
	held, err := o.objects.Get(ctx, name)
	if err != nil || held.Version == before {
		return core.Object{}, lost
	}
	if bytes.Equal(compact(held.Value), compact(value)) {
		return held, nil
	}
	return held, core.ErrConflict
}

func compact(value []byte) []byte {
	var b bytes.Buffer
	if json.Compact(&b, value) != nil {
		return value
	}
	return b.Bytes()
}

// conflict says what another operator changed since v was read.
func (o *Client) conflictError(v VersionedLevel, held core.Object) error {
	path := v.Level.Path()
	other, err := tree.ParseLevel(path, orEmptyObject(held.Value))
	if err != nil {
		return oops.Code(CodeConflict).Wrapf(err, "%s was changed by another operator", path)
	}
	return oops.Code(CodeConflict).Errorf("%s was changed by another operator, from version %d to %d; it now reads %s. Nothing was written: look at the change and repeat the command",
		path, v.Version, held.Version, other.Marshal())
}

func orEmptyObject(value []byte) []byte {
	if len(value) == 0 {
		return []byte("{}")
	}
	return value
}

// Change applies one change to the level at path: it is read, changed and
// written at the version that was read. ifVersion, when positive, is the
// version that the operator looked at.
func (o *Client) Change(ctx context.Context, path string, ifVersion uint64, what string, change func(tree.Level) error) (uint64, error) {
	v, err := o.Read(ctx, path)
	if err != nil {
		return 0, err
	}
	if ifVersion > 0 && ifVersion != v.Version {
		return 0, o.conflictError(VersionedLevel{Level: v.Level, Version: ifVersion}, core.Object{Version: v.Version, Value: v.Level.Marshal()})
	}
	if err := change(v.Level); err != nil {
		return 0, err
	}
	version, err := o.Write(ctx, v)
	if err != nil {
		return 0, err
	}
	return version, o.appendHistory(ctx, path, HistoryRecord{Version: version, Description: what})
}

// Delete removes the level at path.
func (o *Client) Delete(ctx context.Context, path string) error {
	v, err := o.Read(ctx, path)
	if err != nil {
		return err
	}
	if v.Version == 0 {
		return oops.Code(CodeNotFound).Errorf("%s does not exist", path)
	}
	if err := o.objects.Delete(ctx, fleet.SettingsPrefix+path, v.Version); err != nil {
		return err
	}
	return o.appendHistory(ctx, path, HistoryRecord{Description: "delete"})
}

// Create adds a level that must not exist yet.
func (o *Client) Create(ctx context.Context, l tree.Level) (uint64, error) {
	version, err := o.Write(ctx, VersionedLevel{Level: l})
	if err != nil {
		return 0, err
	}
	return version, o.appendHistory(ctx, l.Path(), HistoryRecord{Version: version, Description: "create"})
}

// Record is one change in a level's history.
type HistoryRecord struct {
	Version     uint64    `json:"version,omitempty"`
	At          time.Time `json:"at"`
	By          string    `json:"by"`
	Description string    `json:"what"`
}

// record adds a change to the level's history. The change itself stands,
// whatever becomes of its record.
func (o *Client) appendHistory(ctx context.Context, path string, r HistoryRecord) error {
	r.At, r.By = o.now().UTC(), "unknown"
	if u, err := user.Current(); err == nil {
		r.By = u.Username
	}
	var err error
	for range historyAttempts {
		var records []HistoryRecord
		var version uint64
		records, version, err = o.readHistory(ctx, path)
		if err != nil {
			break
		}
		records = append(records, r)
		value, marshalErr := json.Marshal(records[max(0, len(records)-maxHistoryRecords):])
		if marshalErr != nil {
			return oops.Wrap(marshalErr)
		}
		if _, err = o.objects.Put(ctx, historyPrefix+path, value, version); !errors.Is(err, core.ErrConflict) {
			break
		}
	}
	if err != nil {
		return oops.Code(CodePlatform).Wrapf(err, "the change is in force, but its record in the history was not written")
	}
	return nil
}

// History returns the changes of the level at path, the oldest first.
func (o *Client) History(ctx context.Context, path string) ([]HistoryRecord, error) {
	records, _, err := o.readHistory(ctx, path)
	return records, err
}

func (o *Client) readHistory(ctx context.Context, path string) ([]HistoryRecord, uint64, error) {
	held, err := o.objects.Get(ctx, historyPrefix+path)
	if errors.Is(err, core.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var records []HistoryRecord
	if err := json.Unmarshal(held.Value, &records); err != nil {
		return nil, 0, oops.Wrapf(err, "read the history of %s", path)
	}
	return records, held.Version, nil
}

// Snapshot returns everything in force by the platform's word.
func (o *Client) Snapshot(ctx context.Context) (*snapshot.Snapshot, error) {
	u, err := o.objects.List(ctx, fleet.ReplicatedPrefix)
	if err != nil {
		return nil, err
	}
	r := core.NewReplica()
	r.Apply(u)
	return snapshot.Build(r, nil), nil
}

// LeaseState is one lease as the platform has it.
type LeaseState struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
	Term   uint64 `json:"term"`
}

// Leases returns the leases of control duties, by name.
func (o *Client) Leases(ctx context.Context) ([]LeaseState, error) {
	u, err := o.objects.List(ctx, leasePrefix)
	if err != nil {
		return nil, err
	}
	out := []LeaseState{}
	for _, x := range u.Objects {
		var l core.Lease
		if err := json.Unmarshal(x.Value, &l); err != nil {
			return nil, oops.Wrapf(err, "read %s", x.Name)
		}
		out = append(out, LeaseState{Name: strings.TrimPrefix(x.Name, leasePrefix), Holder: l.Holder, Term: l.Term})
	}
	slices.SortFunc(out, func(a, b LeaseState) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

// Apply writes all levels and instances of a deployment file. Levels that the
// file does not name stay as they are.
func (o *Client) Apply(ctx context.Context, f tree.File) (changed []string, err error) {
	for _, l := range f.Levels {
		v, err := o.Read(ctx, l.Path())
		if err != nil {
			return changed, err
		}
		if v.Version > 0 && bytes.Equal(v.Level.Marshal(), l.Marshal()) {
			continue
		}
		version, err := o.Write(ctx, VersionedLevel{Level: l, Version: v.Version})
		if err != nil {
			return changed, err
		}
		changed = append(changed, l.Path())
		if err := o.appendHistory(ctx, l.Path(), HistoryRecord{Version: version, Description: "apply"}); err != nil {
			return changed, err
		}
	}
	for _, i := range f.Instances {
		if err := o.applyInstance(ctx, i); err != nil {
			return changed, err
		}
	}
	return changed, nil
}

func (o *Client) applyInstance(ctx context.Context, i fleet.Instance) error {
	value, err := json.Marshal(i)
	if err != nil {
		return oops.Wrap(err)
	}
	name := fleet.InstancePrefix + i.Name
	held, err := o.objects.Get(ctx, name)
	if err != nil && !errors.Is(err, core.ErrNotFound) {
		return err
	}
	if bytes.Equal(compact(held.Value), value) {
		return nil
	}
	_, err = o.objects.Put(ctx, name, value, held.Version)
	return err
}

// Watch calls f with every change of the tree until ctx ends.
func (o *Client) Watch(ctx context.Context, wait time.Duration, f func(path string, version uint64, value []byte)) error {
	u, err := o.objects.List(ctx, fleet.SettingsPrefix)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		u, err = o.objects.Watch(ctx, fleet.SettingsPrefix, u.Revision, wait)
		if err != nil {
			return err
		}
		for _, x := range u.Objects {
			f(strings.TrimPrefix(x.Name, fleet.SettingsPrefix), x.Version, x.Value)
		}
	}
	return nil
}

// String describes a record in one line.
func (r HistoryRecord) String() string {
	return fmt.Sprintf("%s  version %d  %s  %s", r.At.Format(time.RFC3339), r.Version, r.By, r.Description)
}
