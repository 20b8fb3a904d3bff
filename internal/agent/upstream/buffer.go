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
type Chunk struct {
	// Position is that of the piece's first event or byte in the answer.
	Position uint64
	Count    uint64
	Content  []byte
}

func (p Chunk) end() uint64 { return p.Position + p.Count }

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
	mu       sync.Mutex
	update   chan struct{}
	head     *Head
	chunks   []Chunk
	bytes    int
	maxBytes int
	dropped  bool
	ending   *Ending
	readers  map[*Reader]struct{}
}

// NewBuffer returns an empty buffer that keeps up to limit bytes.
func NewBuffer(limit int) *Buffer {
	return &Buffer{update: make(chan struct{}), maxBytes: limit, readers: map[*Reader]struct{}{}}
}

// notify wakes everybody that waits for a change; b.mu is held.
func (b *Buffer) notify() {
	close(b.update)
	b.update = make(chan struct{})
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
func (b *Buffer) Append(ctx context.Context, p Chunk) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.bytes > 0 && b.bytes+len(p.Content) > b.maxBytes && !b.dropOldest() {
		changed := b.update
		b.mu.Unlock()
		select {
		case <-changed:
			b.mu.Lock()
		case <-ctx.Done():
			b.mu.Lock()
			return oops.Code("cancelled").Wrap(ctx.Err())
		}
	}
	b.chunks = append(b.chunks, p)
	b.bytes += len(p.Content)
	b.notify()
	return nil
}

// dropOldest makes room by one piece unless a reader still needs it; b.mu is
// held.
func (b *Buffer) dropOldest() bool {
	oldest := b.chunks[0]
	for r := range b.readers {
		if r.position < oldest.end() {
			return false
		}
	}
	b.chunks = b.chunks[1:]
	b.bytes -= len(oldest.Content)
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
func (b *Buffer) Complete() (Head, []byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.head == nil || b.dropped || b.ending == nil || !b.ending.Complete {
		return Head{}, nil, false
	}
	var body []byte
	for _, p := range b.chunks {
		body = append(body, p.Content...)
	}
	return *b.head, body, true
}

// Size returns the bytes of content held.
func (b *Buffer) Size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes
}

// Drop forgets the content and returns its size. That the answer was complete
// stays known.
func (b *Buffer) DropContent() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	size := b.bytes
	b.chunks, b.bytes, b.dropped = nil, 0, true
	b.notify()
	return size
}

// Restore returns a buffer that holds a complete answer. Without a body only
// the fact that the request ran is known.
func RestoreBuffer(h Head, body []byte, kept bool) *Buffer {
	b := NewBuffer(len(body) + 1)
	b.head = &h
	if len(body) > 0 {
		b.chunks = []Chunk{{Count: uint64(len(body)), Content: body}}
		b.bytes = len(body)
	}
	b.dropped = !kept
	b.ending = &Ending{Complete: true}
	return b
}

// Reader follows a buffer from a position. It must be closed.
type Reader struct {
	buffer   *Buffer
	position uint64
	headRead bool
	// together makes the reader wait for a good part of the answer, for callers
	// who are given it as a whole.
	coalesce bool
}

// togetherSize is how much of an answer in bytes a reader that wants it together
// waits for at most.
const coalesceBytes = 64 << 10

// Read begins to follow the buffer from a position. It reports false when what
// stood there has been dropped. A reader that wants the answer together is given
// few large steps in place of many small ones.
func (b *Buffer) Read(from uint64, together bool) (*Reader, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dropped && (len(b.chunks) == 0 || from < b.chunks[0].Position) {
		return nil, false
	}
	r := &Reader{buffer: b, position: from, coalesce: together}
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
type Part struct {
	Head   *Head
	Chunks []Chunk
	Ending *Ending
}

// Next waits for what comes next in the answer.
func (r *Reader) Next(ctx context.Context) (Part, error) {
	b := r.buffer
	b.mu.Lock()
	for {
		if s, ok := r.nextPart(); ok {
			b.mu.Unlock()
			return s, nil
		}
		changed := b.update
		b.mu.Unlock()
		select {
		case <-changed:
			b.mu.Lock()
		case <-ctx.Done():
			return Part{}, oops.Code("cancelled").Wrap(ctx.Err())
		}
	}
}

// step returns what is ready; the buffer's lock is held.
func (r *Reader) nextPart() (Part, bool) {
	b := r.buffer
	pieces := r.availableChunks()
	if b.ending == nil && r.coalesce && totalBytes(pieces) < min(coalesceBytes, b.maxBytes/2) {
		return Part{}, false
	}
	s := Part{Chunks: pieces, Ending: b.ending}
	if b.head != nil && !r.headRead {
		s.Head = b.head
		r.headRead = true
	}
	if len(pieces) > 0 {
		r.position = pieces[len(pieces)-1].end()
		b.notify()
	}
	return s, s.Head != nil || len(pieces) > 0 || s.Ending != nil
}

func totalBytes(pieces []Chunk) int {
	n := 0
	for _, p := range pieces {
		n += len(p.Content)
	}
	return n
}

// ready returns the pieces at and after the reader's position, the first one
// cut to it; the buffer's lock is held.
func (r *Reader) availableChunks() []Chunk {
	pieces := r.buffer.chunks
	first := len(pieces)
	for first > 0 && pieces[first-1].end() > r.position {
		first--
	}
	out := append([]Chunk(nil), pieces[first:]...)
	if len(out) > 0 && out[0].Position < r.position {
		out[0] = trimChunk(out[0], r.position)
	}
	return out
}

// cut returns the part of a piece from a position on.
func trimChunk(p Chunk, from uint64) Chunk {
	skip := from - p.Position
	content := p.Content
	if p.Count == uint64(len(p.Content)) {
		content = content[skip:]
	} else {
		for range skip {
			content = content[eventEnd(content):]
		}
	}
	return Chunk{Position: from, Count: p.Count - skip, Content: content}
}
