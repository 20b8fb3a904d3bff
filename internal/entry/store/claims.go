// Package store keeps an entry's objects in the platform's object API: claims,
// which bind idempotency keys used without a session to an agent, and leases.
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

// ClaimPrefix is the prefix of the names of claim objects.
const ClaimPrefix = "claims/"

// Timing of a claim.
const (
	// claimTimeout bounds Bind with all its retries.
	claimTimeout    = 1500 * time.Millisecond
	claimRetryDelay = 50 * time.Millisecond
)

// Binding is the value of a claim: the agent and its ledger term in which a
// request with an idempotency key may run, and when it was bound.
type Binding struct {
	Agent string    `json:"agent"`
	Term  string    `json:"term"`
	At    time.Time `json:"at"`
}

// Claims binds idempotency keys to agents, each key only once.
type Claims struct{ client *object.Client }

// NewClaims returns claims that are stored with c. If c is nil, Bind refuses
// every key.
func NewClaims(c *object.Client) *Claims { return &Claims{client: c} }

// ClaimName returns the name of a key's claim object. It is a hash, since
// object names cannot contain arbitrary characters.
func ClaimName(account, service, key string) string {
	sum := sha256.Sum256([]byte(account + "\x00" + service + "\x00" + key))
	return ClaimPrefix + hex.EncodeToString(sum[:])
}

// Bind returns the binding of the named claim, which becomes proposed if there
// was none. After a write without a response, Bind writes again: if the first
// write succeeded, the second one conflicts and returns the stored binding. It
// returns an answer.Refusal if the platform cannot be reached.
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
		stored, err := c.client.Put(ctx, name, value, 0)
		switch {
		case err == nil:
			return proposed, nil
		case errors.Is(err, core.ErrConflict):
			return parseBinding(stored.Value)
		}
		select {
		case <-time.After(claimRetryDelay):
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
