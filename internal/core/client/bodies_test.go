package client

import (
	"testing"

	"github.com/matryer/is"
)

// TestBodyBudget guards against many long bodies that take a process beyond its memory, and against
// long bodies that leave no room for short ones.
func TestBodyBudget(t *testing.T) {
	is := is.New(t)
	const long = 1 << 20
	b := NewBodyBudget(8 * long)
	for range 7 {
		is.True(b.Reserve(long, long))
	}
	is.True(!b.Reserve(long, long)) // an eighth is left to short bodies
	for range long / BodySegment {
		is.True(b.Reserve(BodySegment, BodySegment))
	}
	is.True(!b.Reserve(BodySegment, BodySegment))
	is.Equal(b.Held(), int64(8*long))
	b.Release(2 * long)
	is.True(b.Reserve(long, long))
	is.True(!b.Reserve(long, long))
}

// TestOnlyBodyHasRoom guards against a budget that is smaller than the longest permitted body, which
// could then never be sent.
func TestOnlyBodyHasRoom(t *testing.T) {
	is := is.New(t)
	b := NewBodyBudget(BodySegment)
	is.True(b.Reserve(4<<20, 4<<20))
	is.True(!b.Reserve(1, 1))
	b.Release(4 << 20)
	// In pieces, as a body without a length comes.
	size := int64(0)
	for range 16 {
		size += BodySegment
		is.True(b.Reserve(BodySegment, size))
	}
}
