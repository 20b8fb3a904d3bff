package client

// BodyBudget bounds the bytes of request bodies that a process holds at once, so that many long ones
// do not take it beyond its memory and end all its requests. It is not safe for concurrent use.
type BodyBudget struct {
	limit, held int64
}

// BodySegment is the size in bytes of the pieces in which bodies are held. A body up to that size is
// short.
const BodySegment = 64 << 10

// shortBodyShare is the divisor for the part of the budget that is left to short bodies, so that
// long ones do not crowd them out.
const shortBodyShare = 8

// NewBodyBudget returns a budget of limit bytes.
func NewBodyBudget(limit int64) *BodyBudget { return &BodyBudget{limit: limit} }

// BodyBytes returns the size in bytes of a body that is held in pieces.
func BodyBytes(body [][]byte) int {
	n := 0
	for _, piece := range body {
		n += len(piece)
	}
	return n
}

// Reserve reserves room for the next bytes of a body that will then have size bytes in all. It
// reports false if there is none. The only body held is always given room: its own limit bounds it.
func (b *BodyBudget) Reserve(bytes, size int64) bool {
	limit := b.limit
	if size > BodySegment {
		limit -= b.limit / shortBodyShare
	}
	if b.held+bytes > limit && b.held+bytes > size {
		return false
	}
	b.held += bytes
	return true
}

// Release returns reserved bytes.
func (b *BodyBudget) Release(bytes int64) { b.held -= bytes }

// Held returns the number of reserved bytes.
func (b *BodyBudget) Held() int64 { return b.held }
