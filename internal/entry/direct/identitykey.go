package direct

import (
	"context"
	"encoding/json"
	"errors"

	coreclient "bramleydeal/internal/core/client"
	"bramleydeal/internal/core/store"
	"bramleydeal/internal/process/clock"
	"bramleydeal/internal/process/directory"
	"github.com/samber/oops"
)

// identityKeyName is the name of the only object of kind directory.IdentityKeys.
const identityKeyName = "requests"

// identityKeyObject is the value of that object.
type identityKeyObject struct {
	// Key has the size of a coreclient.IdentityKey.
	Key []byte `json:"key"`
}

// shareIdentityKey makes this entry identify requests under the key in the store, which it
// creates if there is none. It retries until the store has replied or ctx ends.
func (e *Entry) shareIdentityKey(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
		err := e.createIdentityKey(callCtx)
		cancel()
		if err == nil {
			return
		}
		e.log.Component("entry").Info("the key under which requests are identified was not read; equal requests at other entries are not recognised until it is", "reason", err.Error())
		clock.Sleep(ctx, registerRetryDelay)
	}
}

// createIdentityKey writes this entry's key into the store, or adopts the one that is there.
func (e *Entry) createIdentityKey(ctx context.Context) error {
	value, err := json.Marshal(identityKeyObject{e.identityKey[:]})
	if err != nil {
		return oops.Code("identity-key").Wrap(err)
	}
	stored, err := e.store.Create(ctx, directory.IdentityKeys, identityKeyName, value)
	if err == nil {
		return nil
	}
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	var o identityKeyObject
	if err := json.Unmarshal(stored.Value, &o); err != nil {
		return oops.Code("identity-key").Wrapf(err, "the key in the store cannot be read")
	}
	if len(o.Key) != len(e.identityKey) {
		return oops.Code("identity-key").Errorf("the key in the store has %d bytes, not %d", len(o.Key), len(e.identityKey))
	}
	e.identityKey = coreclient.IdentityKey(o.Key)
	e.handler.SetIdentityKey(e.identityKey)
	return nil
}
