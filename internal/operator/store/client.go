// Package store reads and changes the settings tree on behalf of operators. It
// stores levels by conditional updates through the platform's object API, and
// records the history of each level.
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

// Error codes that determine the exit code of a command.
const (
	CodeConflict = "conflict"
	CodeNotFound = "not-found"
	CodeInvalid  = "invalid-settings"
	CodePlatform = "platform-unreachable"
)

const (
	historyPrefix = "history/"
	leasePrefix   = "lease/"
	// maxHistoryRecords is the number of changes kept in a level's history.
	maxHistoryRecords = 100
	// historyAttempts is how often the write of a history is attempted if other
	// operators write it at the same time.
	historyAttempts = 5
)

// Client reads and changes the settings tree of one platform.
type Client struct {
	objects *object.Client
	now     func() time.Time
}

// New returns a client that calls the object API through c. The history records the
// time that now returns.
func New(c *object.Client, now func() time.Time) *Client { return &Client{objects: c, now: now} }

// VersionedLevel is a level and the version at which it was read, which is 0 if the
// level does not exist.
type VersionedLevel struct {
	Level   tree.Level
	Version uint64
}

// Read returns the level at path. A level that does not exist is empty and has
// version 0.
func (c *Client) Read(ctx context.Context, path string) (VersionedLevel, error) {
	stored, err := c.objects.Get(ctx, fleet.SettingsPrefix+path)
	if errors.Is(err, core.ErrNotFound) {
		l, err := tree.ParseLevel(path, []byte("{}"))
		return VersionedLevel{Level: l}, err
	}
	if err != nil {
		return VersionedLevel{}, err
	}
	l, err := tree.ParseLevel(path, stored.Value)
	return VersionedLevel{Level: l, Version: stored.Version}, err
}

// Write replaces a level if its current version is that of v, and returns the new
// version. Otherwise it returns a conflict error that shows the current level. If
// the response to the write is lost, Write reads the level to learn whether the
// write took effect.
func (c *Client) Write(ctx context.Context, v VersionedLevel) (uint64, error) {
	name := fleet.SettingsPrefix + v.Level.Path()
	value := v.Level.Marshal()
	stored, err := c.objects.Put(ctx, name, value, v.Version)
	if err != nil && !errors.Is(err, core.ErrConflict) {
		stored, err = c.readBack(ctx, name, value, v.Version, err)
	}
	if errors.Is(err, core.ErrConflict) {
		return 0, c.conflictError(v, stored)
	}
	return stored.Version, err
}

// readBack determines whether a write of value took effect although it failed with
// writeErr, for example because the response was lost. It returns the object if it
// has this value, writeErr if it cannot be read or still has the version before the
// write, and core.ErrConflict if another operator changed it.
func (c *Client) readBack(ctx context.Context, name string, value []byte, before uint64, writeErr error) (core.Object, error) {
	stored, err := c.objects.Get(ctx, name)
	if err != nil || stored.Version == before {
		return core.Object{}, writeErr
	}
	if bytes.Equal(compact(stored.Value), compact(value)) {
		return stored, nil
	}
	return stored, core.ErrConflict
}

// compact returns JSON without insignificant space. Any other text is returned as it
// is.
func compact(value []byte) []byte {
	var b bytes.Buffer
	if json.Compact(&b, value) != nil {
		return value
	}
	return b.Bytes()
}

// conflictError returns an error that shows the current level, which another operator
// changed since v was read.
func (c *Client) conflictError(v VersionedLevel, stored core.Object) error {
	path := v.Level.Path()
	other, err := tree.ParseLevel(path, orEmptyObject(stored.Value))
	if err != nil {
		return oops.Code(CodeConflict).Wrapf(err, "%s was changed by another operator", path)
	}
	return oops.Code(CodeConflict).Errorf("%s was changed by another operator, from version %d to %d; it now reads %s. Nothing was written: look at the change and repeat the command",
		path, v.Version, stored.Version, other.Marshal())
}

// orEmptyObject returns value, or an empty JSON object if it is empty, as that of a
// deleted level is.
func orEmptyObject(value []byte) []byte {
	if len(value) == 0 {
		return []byte("{}")
	}
	return value
}

// Change applies change to the level at path and returns the new version. It returns
// a conflict error if another operator changes the level at the same time or, if
// ifVersion is positive, unless the level is at that version. If only the record in
// the history could not be written, it returns the new version and an error. The
// history shows description.
func (c *Client) Change(ctx context.Context, path string, ifVersion uint64, description string, change func(tree.Level) error) (uint64, error) {
	v, err := c.Read(ctx, path)
	if err != nil {
		return 0, err
	}
	if ifVersion > 0 && ifVersion != v.Version {
		return 0, c.conflictError(VersionedLevel{Level: v.Level, Version: ifVersion}, core.Object{Version: v.Version, Value: v.Level.Marshal()})
	}
	if err := change(v.Level); err != nil {
		return 0, err
	}
	version, err := c.Write(ctx, v)
	if err != nil {
		return 0, err
	}
	return version, c.appendHistory(ctx, path, HistoryRecord{Version: version, Description: description})
}

// Delete deletes the level at path. It returns a not-found error if the level does
// not exist.
func (c *Client) Delete(ctx context.Context, path string) error {
	v, err := c.Read(ctx, path)
	if err != nil {
		return err
	}
	if v.Version == 0 {
		return oops.Code(CodeNotFound).Errorf("%s does not exist", path)
	}
	if err := c.objects.Delete(ctx, fleet.SettingsPrefix+path, v.Version); err != nil {
		return err
	}
	return c.appendHistory(ctx, path, HistoryRecord{Description: "delete"})
}

// Create stores a new level and returns its version. It returns a conflict error if
// the level exists. If only the record in the history could not be written, it
// returns the version and an error.
func (c *Client) Create(ctx context.Context, l tree.Level) (uint64, error) {
	version, err := c.Write(ctx, VersionedLevel{Level: l})
	if err != nil {
		return 0, err
	}
	return version, c.appendHistory(ctx, l.Path(), HistoryRecord{Version: version, Description: "create"})
}

// HistoryRecord describes one change in a level's history. By is the name of the
// user who ran the command.
type HistoryRecord struct {
	Version     uint64    `json:"version,omitempty"`
	At          time.Time `json:"at"`
	By          string    `json:"by"`
	Description string    `json:"what"`
}

// appendHistory adds a record of a change to the level's history. The change itself
// has been made and is not undone if this fails.
func (c *Client) appendHistory(ctx context.Context, path string, r HistoryRecord) error {
	r.At, r.By = c.now().UTC(), "unknown"
	if u, err := user.Current(); err == nil {
		r.By = u.Username
	}
	var err error
	for range historyAttempts {
		var records []HistoryRecord
		var version uint64
		records, version, err = c.readHistory(ctx, path)
		if err != nil {
			break
		}
		records = append(records, r)
		value, marshalErr := json.Marshal(records[max(0, len(records)-maxHistoryRecords):])
		if marshalErr != nil {
			return oops.Wrap(marshalErr)
		}
		if _, err = c.objects.Put(ctx, historyPrefix+path, value, version); !errors.Is(err, core.ErrConflict) {
			break
		}
	}
	if err != nil {
		return oops.Code(CodePlatform).Wrapf(err, "the change took effect, but its record could not be added to the history")
	}
	return nil
}

// History returns the records of changes of the level at path, the oldest first.
func (c *Client) History(ctx context.Context, path string) ([]HistoryRecord, error) {
	records, _, err := c.readHistory(ctx, path)
	return records, err
}

// readHistory returns the history of the level at path and the version of the object
// that holds it, which is 0 if there is none.
func (c *Client) readHistory(ctx context.Context, path string) ([]HistoryRecord, uint64, error) {
	stored, err := c.objects.Get(ctx, historyPrefix+path)
	if errors.Is(err, core.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var records []HistoryRecord
	if err := json.Unmarshal(stored.Value, &records); err != nil {
		return nil, 0, oops.Wrapf(err, "decode the history of %s", path)
	}
	return records, stored.Version, nil
}

// Snapshot returns a snapshot of the platform's current settings and instances.
func (c *Client) Snapshot(ctx context.Context) (*snapshot.Snapshot, error) {
	u, err := c.objects.List(ctx, fleet.ReplicatedPrefix)
	if err != nil {
		return nil, err
	}
	r := core.NewReplica()
	r.Apply(u)
	return snapshot.Build(r, nil), nil
}

// LeaseState describes a lease that is stored at the platform. Term is its fencing token.
type LeaseState struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
	Term   uint64 `json:"term"`
}

// Leases returns the leases of all leader tasks, sorted by name.
func (c *Client) Leases(ctx context.Context) ([]LeaseState, error) {
	u, err := c.objects.List(ctx, leasePrefix)
	if err != nil {
		return nil, err
	}
	out := []LeaseState{}
	for _, x := range u.Objects {
		var l core.Lease
		if err := json.Unmarshal(x.Value, &l); err != nil {
			return nil, oops.Wrapf(err, "decode %s", x.Name)
		}
		out = append(out, LeaseState{Name: strings.TrimPrefix(x.Name, leasePrefix), Holder: l.Holder, Term: l.Term})
	}
	slices.SortFunc(out, func(a, b LeaseState) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

// Apply writes the levels and instances of a deployment file and returns the paths of
// the levels that changed. Levels and instances that are not in the file are not
// changed. On an error, what was written before it has taken effect.
func (c *Client) Apply(ctx context.Context, f tree.File) (changed []string, err error) {
	for _, l := range f.Levels {
		v, err := c.Read(ctx, l.Path())
		if err != nil {
			return changed, err
		}
		if v.Version > 0 && bytes.Equal(v.Level.Marshal(), l.Marshal()) {
			continue
		}
		version, err := c.Write(ctx, VersionedLevel{Level: l, Version: v.Version})
		if err != nil {
			return changed, err
		}
		changed = append(changed, l.Path())
		if err := c.appendHistory(ctx, l.Path(), HistoryRecord{Version: version, Description: "apply"}); err != nil {
			return changed, err
		}
	}
	for _, i := range f.Instances {
		if err := c.applyInstance(ctx, i); err != nil {
			return changed, err
		}
	}
	return changed, nil
}

// applyInstance writes an instance unless the platform already lists it as such.
func (c *Client) applyInstance(ctx context.Context, i fleet.Instance) error {
	value, err := json.Marshal(i)
	if err != nil {
		return oops.Wrap(err)
	}
	name := fleet.InstancePrefix + i.Name
	stored, err := c.objects.Get(ctx, name)
	if err != nil && !errors.Is(err, core.ErrNotFound) {
		return err
	}
	if bytes.Equal(compact(stored.Value), value) {
		return nil
	}
	_, err = c.objects.Put(ctx, name, value, stored.Version)
	return err
}

// Watch calls f with each change of the settings tree until ctx ends or a call to the
// platform fails. Each call waits up to wait for a change.
func (c *Client) Watch(ctx context.Context, wait time.Duration, f func(path string, version uint64, value []byte)) error {
	u, err := c.objects.List(ctx, fleet.SettingsPrefix)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		u, err = c.objects.Watch(ctx, fleet.SettingsPrefix, u.Revision, wait)
		if err != nil {
			return err
		}
		for _, x := range u.Objects {
			f(strings.TrimPrefix(x.Name, fleet.SettingsPrefix), x.Version, x.Value)
		}
	}
	return nil
}

// String returns the record as one line of text.
func (r HistoryRecord) String() string {
	return fmt.Sprintf("%s  version %d  %s  %s", r.At.Format(time.RFC3339), r.Version, r.By, r.Description)
}
