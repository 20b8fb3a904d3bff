package client

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// IdentityKey is the secret under which requests are identified. Processes with the same key
// identify equal requests alike, and without it an identity says nothing of its request.
type IdentityKey [32]byte

// NewIdentityKey returns a random key.
func NewIdentityKey() IdentityKey {
	var k IdentityKey
	// rand.Read never returns an error.
	_, _ = rand.Read(k[:])
	return k
}

// Content is what two requests that ask for the same thing have in common.
type Content struct {
	Method string
	// Host and Target are the host and the path and query as the caller sent them.
	Host, Target string
	// Account is the name of the client account, empty if there is none.
	Account string
	// Prompt describes the model and the prompt, empty if the request has none.
	Prompt string
	// Body is the body in pieces of any size.
	Body [][]byte
}

// identityBytes is the size of an identity in bytes.
const identityBytes = 12

// Identify returns the identity of a request, in hexadecimal.
func (k IdentityKey) Identify(c Content) string {
	h := hmac.New(sha256.New, k[:])
	var length [8]byte
	write := func(pieces ...[]byte) {
		binary.BigEndian.PutUint64(length[:], uint64(BodyBytes(pieces)))
		// Writes to a hash never fail.
		_, _ = h.Write(length[:])
		for _, p := range pieces {
			_, _ = h.Write(p)
		}
	}
	for _, field := range []string{c.Method, c.Host, c.Target, c.Account, c.Prompt} {
		write([]byte(field))
	}
	write(c.Body...)
	return hex.EncodeToString(h.Sum(nil)[:identityBytes])
}
