// Package upstream speaks HTTP to the agent's own upstream, a model engine or
// a plain service, and keeps each answer in a bounded buffer from which callers
// read it, again if they must. Admission is not its business.
package upstream

import (
	"context"
	"sync"

	"bramleydeal/internal/world/answer"
	"github.com/samber/oops"
)

// Header is one HTTP header of an answer.
type Header struct{ Name, Value string }

// Head is the beginning of an answer.
type Head struct {
	Status  int
	Headers []Header
}

// Piece is a run of events, or of bytes where the answer is no event stream.
type Piece struct {
	// Position is that of the piece's first event or byte in the answer.
	Position uint64
	Count    uint64
	Content  []byte
}

func (p Piece) end() uint64 { return p.Position + p.Count }

// Ending is how an answer ended.
type Ending struct {
	// Complete is false when the upstream broke off.
	Complete bool
	Detail   string
	// Refusal is set when the request was not given to the upstream.
	Refusal *answer.Refusal
}

// Buffer holds one answer while it grows and for a time afterwards. Any number
// of readers follow it, each from its own position. A piece is dropped only
// when the buffer is full and every reader has had it.
type Buffer struct {
	mu      sync.Mutex
	changed chan struct{}
	head    *Head
	pieces  []Piece
	size    int
	limit   int
	dropped bool
	ending  *Ending
	readers map[*Reader]struct{}
}

// NewBuffer returns an empty buffer that keeps up to limit bytes.
func NewBuffer(limit int) *Buffer {
	return &Buffer{changed: make(chan struct{}), limit: limit, readers: map[*Reader]struct{}{}}
}

// notify wakes everybody that waits for a change; b.mu is held.
func (b *Buffer) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// SetHead records the beginning of the answer.
func (b *Buffer) SetHead(h Head) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.head = &h
	b.notify()
}

// Append adds a piece. While the buffer is full of what a reader still needs,
// it waits.
func (b *Buffer) Append(ctx context.Context, p Piece) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.size > 0 && b.size+len(p.Content) > b.limit && !b.dropOldest() {
		changed := b.changed
		b.mu.Unlock()
		select {
		case <-changed:
			b.mu.Lock()
		case <-ctx.Done():
			b.mu.Lock()
			return oops.Code("cancelled").Wrap(ctx.Err())
		}
	}
	b.pieces = append(b.pieces, p)
	b.size += len(p.Content)
	b.notify()
	return nil
}

// dropOldest makes room by one piece unless a reader still needs it; b.mu is
// held.
func (b *Buffer) dropOldest() bool {
	oldest := b.pieces[0]
	for r := range b.readers {
		if r.position < oldest.end() {
			return false
		}
	}
	b.pieces = b.pieces[1:]
	b.size -= len(oldest.Content)
	b.dropped = true
	return true
}

// End records how the answer ended. Only the first ending counts.
func (b *Buffer) End(e Ending) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ending == nil {
		b.ending = &e
		b.notify()
	}
}

// Ended returns the ending, nil while the answer goes on.
func (b *Buffer) Ended() *Ending {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ending
}

// Readers returns the number of readers that follow the answer.
func (b *Buffer) Readers() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.readers)
}

// Whole returns the complete answer, if all of it is still held.
func (b *Buffer) Whole() (Head, []byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.head == nil || b.dropped || b.ending == nil || !b.ending.Complete {
		return Head{}, nil, false
	}
	var body []byte
	for _, p := range b.pieces {
		body = append(body, p.Content...)
	}
	return *b.head, body, true
}

// Size returns the bytes of content held.
func (b *Buffer) Size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.size
}

// Drop forgets the content and returns its size. That the answer was complete
// stays known.
func (b *Buffer) Drop() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	size := b.size
	b.pieces, b.size, b.dropped = nil, 0, true
	b.notify()
	return size
}

// Restore returns a buffer that holds a complete answer. Without a body only
// the fact that the request ran is known.
func Restore(h Head, body []byte, kept bool) *Buffer {
	b := NewBuffer(len(body) + 1)
	b.head = &h
	if len(body) > 0 {
		b.pieces = []Piece{{Count: uint64(len(body)), Content: body}}
		b.size = len(body)
	}
	b.dropped = !kept
	b.ending = &Ending{Complete: true}
	return b
}

// Reader follows a buffer from a position. It must be closed.
type Reader struct {
	buffer   *Buffer
	position uint64
	headSent bool
	// together makes the reader wait for a good part of the answer, for callers
	// who are given it as a whole.
	together bool
}

// togetherSize is how much of an answer in bytes a reader that wants it together
// waits for at most.
const togetherSize = 64 << 10

// Read begins to follow the buffer from a position. It reports false when what
// stood there has been dropped. A reader that wants the answer together is given
// few large steps in place of many small ones.
func (b *Buffer) Read(from uint64, together bool) (*Reader, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dropped && (len(b.pieces) == 0 || from < b.pieces[0].Position) {
		return nil, false
	}
	r := &Reader{buffer: b, position: from, together: together}
	b.readers[r] = struct{}{}
	return r, true
}

// Close ends the following and returns how many readers are left.
func (r *Reader) Close() int {
	b := r.buffer
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.readers, r)
	b.notify()
	return len(b.readers)
}

// Step is what a reader is given next: a head, pieces and the ending, as far as
// they are there.
type Step struct {
	Head   *Head
	Pieces []Piece
	Ending *Ending
}

// Next waits for what comes next in the answer.
func (r *Reader) Next(ctx context.Context) (Step, error) {
	b := r.buffer
	b.mu.Lock()
	for {
		if s, ok := r.step(); ok {
			b.mu.Unlock()
			return s, nil
		}
		changed := b.changed
		b.mu.Unlock()
		select {
		case <-changed:
			b.mu.Lock()
		case <-ctx.Done():
			return Step{}, oops.Code("cancelled").Wrap(ctx.Err())
		}
	}
}

// step returns what is ready; the buffer's lock is held.
func (r *Reader) step() (Step, bool) {
	b := r.buffer
	pieces := r.ready()
	if b.ending == nil && r.together && sizeOf(pieces) < min(togetherSize, b.limit/2) {
		return Step{}, false
	}
	s := Step{Pieces: pieces, Ending: b.ending}
	if b.head != nil && !r.headSent {
		s.Head = b.head
		r.headSent = true
	}
	if len(pieces) > 0 {
		r.position = pieces[len(pieces)-1].end()
		b.notify()
	}
	return s, s.Head != nil || len(pieces) > 0 || s.Ending != nil
}

func sizeOf(pieces []Piece) int {
	n := 0
	for _, p := range pieces {
		n += len(p.Content)
	}
	return n
}

// ready returns the pieces at and after the reader's position, the first one
// cut to it; the buffer's lock is held.
func (r *Reader) ready() []Piece {
	pieces := r.buffer.pieces
	first := len(pieces)
	for first > 0 && pieces[first-1].end() > r.position {
		first--
	}
	out := append([]Piece(nil), pieces[first:]...)
	if len(out) > 0 && out[0].Position < r.position {
		out[0] = cut(out[0], r.position)
	}
	return out
}

// cut returns the part of a piece from a position on.
func cut(p Piece, from uint64) Piece {
	skip := from - p.Position
	content := p.Content
	if p.Count == uint64(len(p.Content)) {
		content = content[skip:]
	} else {
		for range skip {
			content = content[eventEnd(content):]
		}
	}
	return Piece{Position: from, Count: p.Count - skip, Content: content}
}
