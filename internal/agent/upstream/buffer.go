// Package upstream is the HTTP client of the agent's upstream, which is a model engine
// or a plain service. It stores each response in a bounded buffer, from which several
// callers can read it, or one caller again after a reconnect. It does not decide whether
// a request may run.
package upstream

import (
	"context"
	"runtime"
	"sync"
	"time"

	"bramleydeal/internal/world/answer"
	"github.com/samber/oops"
)

// Header is one HTTP header field of a request or response.
type Header struct{ Name, Value string }

// Head is the status and the header of a response.
type Head struct {
	Status  int
	Headers []Header
}

// Chunk is a part of a response body: whole events of an event stream, or bytes of any
// other body.
type Chunk struct {
	// Position is the index of the first event or byte in the body, Count the number of
	// events or bytes.
	Position uint64
	Count    uint64
	Content  []byte
}

// end returns the position after the chunk's last event or byte.
func (c Chunk) end() uint64 { return c.Position + c.Count }

// Ending tells how a response ended.
type Ending struct {
	// Complete is false when the response was interrupted, as Detail explains, or when
	// there is a refusal.
	Complete bool
	Detail   string
	// Refusal is set when the request was not sent to the upstream.
	Refusal *answer.Refusal
}

// Buffer holds one response while it is received and for a time afterwards. Any number
// of readers read it, each from its own position. Append drops the oldest chunks when the
// buffer is full, but only those that every current reader has read.
type Buffer struct {
	mu sync.Mutex
	// changed is closed and replaced on every change.
	changed  chan struct{}
	head     *Head
	chunks   []Chunk
	bytes    int
	maxBytes int
	dropped  bool
	ending   *Ending
	readers  map[*Reader]struct{}
	// taken is the memory that was taken for the content, nil if none is.
	taken *takenMemory
}

// Memory is the memory that all buffers of a process share.
type Memory interface {
	// Take takes bytes and reports whether there were as many. Return returns them.
	Take(bytes int64) bool
	Return(bytes int64)
}

// takenMemory is the memory that one buffer has taken.
type takenMemory struct {
	from  Memory
	bytes int64
}

// release returns up to n bytes.
func (t *takenMemory) release(n int64) {
	n = min(n, t.bytes)
	t.bytes -= n
	t.from.Return(n)
}

// BufferOption configures a Buffer.
type BufferOption func(*Buffer)

// WithMemory takes the memory for the content from m.
func WithMemory(m Memory) BufferOption {
	return func(b *Buffer) {
		b.taken = &takenMemory{from: m}
		// A buffer that is dropped with content in it has no other end.
		runtime.AddCleanup(b, func(t *takenMemory) { t.release(t.bytes) }, b.taken)
	}
}

// NewBuffer returns an empty buffer for up to limit bytes of content.
func NewBuffer(limit int, options ...BufferOption) *Buffer {
	b := &Buffer{changed: make(chan struct{}), maxBytes: limit, readers: map[*Reader]struct{}{}}
	for _, o := range options {
		o(b)
	}
	return b
}

// take takes memory for content and reports whether there was enough. The caller holds b.mu.
func (b *Buffer) take(bytes int) bool {
	if b.taken == nil {
		return true
	}
	if !b.taken.from.Take(int64(bytes)) {
		return false
	}
	b.taken.bytes += int64(bytes)
	return true
}

// release returns the memory of content. The caller holds b.mu.
func (b *Buffer) release(bytes int) {
	if b.taken != nil {
		b.taken.release(int64(bytes))
	}
}

// notify wakes all goroutines that wait for a change. The caller holds b.mu.
func (b *Buffer) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// SetHead stores the status and header of the response.
func (b *Buffer) SetHead(h Head) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.head = &h
	b.notify()
}

// memoryPollInterval is how often a buffer without memory asks for it again.
const memoryPollInterval = 50 * time.Millisecond

// Append adds a chunk. It blocks while the buffer is full of chunks that a reader has not read, or
// there is no memory for it, and returns an error when ctx is done before there is room. A chunk is
// accepted in any case when the buffer is empty.
func (b *Buffer) Append(ctx context.Context, c Chunk) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.hasRoom(len(c.Content)) {
		if b.dropOldest() {
			continue
		}
		changed := b.changed
		b.mu.Unlock()
		select {
		case <-changed:
			b.mu.Lock()
		case <-time.After(memoryPollInterval):
			b.mu.Lock()
		case <-ctx.Done():
			b.mu.Lock()
			return oops.Code("cancelled").Wrap(ctx.Err())
		}
	}
	b.chunks = append(b.chunks, c)
	b.bytes += len(c.Content)
	b.notify()
	return nil
}

// hasRoom reports whether content of the given size may be added, and takes the memory for it. The
// caller holds b.mu.
func (b *Buffer) hasRoom(bytes int) bool {
	if b.bytes > 0 && b.bytes+bytes > b.maxBytes {
		return false
	}
	return b.take(bytes) || b.bytes == 0
}

// dropOldest drops the oldest chunk, and reports false when a reader has not read it. The
// caller holds b.mu.
func (b *Buffer) dropOldest() bool {
	oldest := b.chunks[0]
	for r := range b.readers {
		if r.position < oldest.end() {
			return false
		}
	}
	b.chunks = b.chunks[1:]
	b.bytes -= len(oldest.Content)
	b.release(len(oldest.Content))
	b.dropped = true
	return true
}

// End records how the response ended. Later calls have no effect.
func (b *Buffer) End(e Ending) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ending == nil {
		b.ending = &e
		b.notify()
	}
}

// Ended returns the ending, nil while the response is being received.
func (b *Buffer) Ended() *Ending {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ending
}

// Readers returns the number of open readers.
func (b *Buffer) Readers() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.readers)
}

// Complete returns the head and body of the response. It reports false when the response
// is not complete or a part of it has been dropped.
func (b *Buffer) Complete() (Head, []byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.head == nil || b.dropped || b.ending == nil || !b.ending.Complete {
		return Head{}, nil, false
	}
	var body []byte
	for _, c := range b.chunks {
		body = append(body, c.Content...)
	}
	return *b.head, body, true
}

// Size returns the size of the stored content in bytes.
func (b *Buffer) Size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes
}

// DropContent drops the content and returns its size in bytes. The head and the ending
// are kept.
func (b *Buffer) DropContent() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	size := b.bytes
	b.chunks, b.bytes, b.dropped = nil, 0, true
	b.release(size)
	b.notify()
	return size
}

// RestoreBuffer returns a buffer with a complete response. kept is false when the body is
// not available; the buffer then only records that the request ran.
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

// Reader reads a buffer from a position on. It must be closed.
type Reader struct {
	buffer   *Buffer
	position uint64
	headRead bool
	// coalesce makes the reader wait until coalesceBytes of content are available or the
	// response has ended.
	coalesce bool
}

// coalesceBytes is the content in bytes that a coalescing reader waits for. It waits for
// half of the buffer's limit if that is less.
const coalesceBytes = 64 << 10

// NewReader returns a reader that starts at a position. It reports false when the content at
// that position has been dropped. A coalescing reader returns few large parts instead of
// many small ones, for callers that do not read a stream.
func (b *Buffer) NewReader(from uint64, coalesce bool) (*Reader, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dropped && (len(b.chunks) == 0 || from < b.chunks[0].Position) {
		return nil, false
	}
	r := &Reader{buffer: b, position: from, coalesce: coalesce}
	b.readers[r] = struct{}{}
	return r, true
}

// Close removes the reader from the buffer and returns the number of readers that remain.
func (r *Reader) Close() int {
	b := r.buffer
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.readers, r)
	b.notify()
	return len(b.readers)
}

// Part is the next part of a response that a reader returns: the head (in the first part
// only), the available chunks, and the ending (in the last part only).
type Part struct {
	Head   *Head
	Chunks []Chunk
	Ending *Ending
}

// Next waits for the next part of the response. It returns an error when ctx is done
// first.
func (r *Reader) Next(ctx context.Context) (Part, error) {
	b := r.buffer
	b.mu.Lock()
	for {
		if p, ok := r.nextPart(); ok {
			b.mu.Unlock()
			return p, nil
		}
		changed := b.changed
		b.mu.Unlock()
		select {
		case <-changed:
			b.mu.Lock()
		case <-ctx.Done():
			return Part{}, oops.Code("cancelled").Wrap(ctx.Err())
		}
	}
}

// nextPart returns the part that is available, and false when the reader has to wait. The
// caller holds the buffer's lock.
func (r *Reader) nextPart() (Part, bool) {
	b := r.buffer
	chunks := r.availableChunks()
	if b.ending == nil && r.coalesce && totalBytes(chunks) < min(coalesceBytes, b.maxBytes/2) {
		return Part{}, false
	}
	p := Part{Chunks: chunks, Ending: b.ending}
	if b.head != nil && !r.headRead {
		p.Head = b.head
		r.headRead = true
	}
	if len(chunks) > 0 {
		r.position = chunks[len(chunks)-1].end()
		b.notify()
	}
	return p, p.Head != nil || len(chunks) > 0 || p.Ending != nil
}

// totalBytes returns the size of the chunks' content in bytes.
func totalBytes(chunks []Chunk) int {
	n := 0
	for _, c := range chunks {
		n += len(c.Content)
	}
	return n
}

// availableChunks returns the content from the reader's position on. The caller holds the
// buffer's lock.
func (r *Reader) availableChunks() []Chunk {
	chunks := r.buffer.chunks
	first := len(chunks)
	for first > 0 && chunks[first-1].end() > r.position {
		first--
	}
	out := append([]Chunk(nil), chunks[first:]...)
	if len(out) > 0 && out[0].Position < r.position {
		out[0] = trimChunk(out[0], r.position)
	}
	return out
}

// trimChunk returns the part of a chunk from a position on. A chunk whose count equals
// its length in bytes has bytes, any other one has events.
func trimChunk(c Chunk, from uint64) Chunk {
	skip := from - c.Position
	content := c.Content
	if c.Count == uint64(len(c.Content)) {
		content = content[skip:]
	} else {
		for range skip {
			content = content[eventEnd(content):]
		}
	}
	return Chunk{Position: from, Count: c.Count - skip, Content: content}
}
