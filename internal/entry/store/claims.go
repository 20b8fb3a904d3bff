// Package store speaks to the platform's object API on behalf of an entry:
// the claims of keys that are used without a session.
package store

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"

	core "bramleydeal/internal/core/store"
	"bramleydeal/internal/store/object"
	"bramleydeal/internal/world/answer"
	"github.com/samber/oops"
)

// ClaimPrefix is the prefix of the claims' object names.
const ClaimPrefix = "claims/"

// Times of a claim.
const (
	claimTimeout = 1500 * time.Millisecond
	claimPause   = 50 * time.Millisecond
)

// Binding says where, and in which term, a non-idempotent request may run.
type Binding struct {
	Agent string    `json:"agent"`
	Term  string    `json:"term"`
	At    time.Time `json:"at"`
}

// Claims binds keys to agents, each key once.
type Claims struct{ client *object.Client }

// NewClaims returns the claims kept at a platform, nil without one.
func NewClaims(c *object.Client) *Claims { return &Claims{client: c} }

// ClaimName returns the object name of a key. Keys are hashed, as they may hold
// anything.
func ClaimName(account, service, key string) string {
	sum := sha256.Sum256([]byte(account + "\x00" + service + "\x00" + key))
	return ClaimPrefix + hex.EncodeToString(sum[:])
}

// Bind returns the binding of a key: the proposed one if the key had none. A
// write whose answer was lost is settled by writing again: the object exists
// then, and is returned.
func (c *Claims) Bind(ctx context.Context, name string, proposed Binding) (Binding, error) {
	if c.client == nil {
		return Binding{}, answer.Refuse(answer.ClaimUnavailable, "this process has no platform")
	}
	value, err := json.Marshal(proposed)
	if err != nil {
		return Binding{}, oops.Code("claim").Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for {
		held, err := c.client.Put(ctx, name, value, 0)
		switch {
		case err == nil:
			return proposed, nil
		case errors.Is(err, core.ErrConflict):
			return parseBinding(held.Value)
		}
		select {
		case <-time.After(claimPause):
		case <-ctx.Done():
			return Binding{}, answer.Refuse(answer.ClaimUnavailable, "the platform does not answer")
		}
	}
}

func parseBinding(value []byte) (Binding, error) {
	var b Binding
	if err := json.Unmarshal(value, &b); err != nil {
		return Binding{}, oops.Code("claim").Wrapf(err, "read a claim")
	}
	return b, nil
}
