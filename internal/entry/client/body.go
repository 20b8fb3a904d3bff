package client

import (
	"errors"
	"io"
	"net/http"
	"time"

	core "bramleydeal/internal/core/client"
	"bramleydeal/internal/world/answer"
)

// readBody reads the whole body into memory, so that the request can be sent more than once. It
// refuses the request at once if the bodies of others take the memory that there is for them.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, c *callerRequest) *answer.Refusal {
	limit := c.view.Configuration.Limits.Effective().BodyBytes
	if r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength > limit {
		return answer.Refuse(answer.TooLarge, "the body has %d bytes, the most is %d", r.ContentLength, limit)
	}
	if r.ContentLength > 0 && !h.reserveBody(c, r.ContentLength) {
		return refuseMemory()
	}
	control := http.NewResponseController(w)
	// The error is ignored: a connection without support for deadlines is read
	// without one.
	_ = control.SetReadDeadline(c.deadline)
	err := h.readPieces(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, c)
	_ = control.SetReadDeadline(time.Time{})
	tooLarge := new(http.MaxBytesError)
	// Nothing is done with what follows the body. It isn't counted, so it isn't kept.
	r.Trailer = nil
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errBodyBudget) || c.connection.Evicted():
		return refuseMemory()
	case errors.As(err, &tooLarge):
		return answer.Refuse(answer.TooLarge, "the body has more than %d bytes", limit)
	}
	return answer.Refuse(answer.InvalidRequest, "the body ended early: %v", err)
}

// firstPiece is the size in bytes of the first piece of a body whose length is not known.
const firstPiece = 4 << 10

// errBodyBudget means that there is no memory for the rest of a body.
var errBodyBudget = errors.New("the body budget is used up")

// refuseMemory returns the refusal of a request for which there is no memory or no descriptor.
func refuseMemory() *answer.Refusal {
	return answer.Refuse(answer.Overloaded, "other requests take the memory of this entry")
}

// readPieces reads a body to its end. size is its size, for which memory is reserved, or -1 if it is
// not known. Memory is taken as the bytes arrive.
func (h *Handler) readPieces(from io.Reader, size int64, c *callerRequest) error {
	for read := int64(0); read != size; {
		length := min(core.BodySegment, size-read)
		if size < 0 {
			length = min(core.BodySegment, max(firstPiece, read)) // most bodies are short
			if !h.reserveBody(c, length) {
				return errBodyBudget
			}
		}
		piece := make([]byte, length)
		n, err := fill(from, piece)
		c.body, read = append(c.body, piece[:n]), read+int64(n)
		switch {
		case err == io.EOF && (size < 0 || read == size):
			return nil
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
	return nil
}

// fill reads until piece is full or there is an error. Unlike io.ReadFull it returns io.EOF at the
// end of the body also after some bytes, which a body that is cut off does not have.
func fill(from io.Reader, piece []byte) (n int, err error) {
	for n < len(piece) && err == nil {
		var m int
		m, err = from.Read(piece[n:])
		n += m
	}
	return n, err
}

// reserveBody reserves room for more bytes of a request's body.
func (h *Handler) reserveBody(c *callerRequest, bytes int64) bool {
	if !c.connection.Reserve(bytes) {
		return false
	}
	c.bodyReserved += bytes
	h.heldBodies.Add(bytes)
	return true
}

// releaseBody forgets a request's body. Its memory is returned with the connection's.
func (h *Handler) releaseBody(c *callerRequest) {
	h.heldBodies.Add(-c.bodyReserved)
	c.body, c.bodyReserved = nil, 0
}
