package caller

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"bramleydeal/internal/settings/reference"
	"bramleydeal/internal/settings/tree"
	"bramleydeal/internal/world/answer"
)

const (
	// firstPiece is the size in bytes that is read first of a body whose length is not known.
	firstPiece = 4 << 10
	// bodyFactor is the memory that a byte of a body takes: as it came, as it is sent to an agent, and
	// while either is copied.
	bodyFactor = 3
)

// errNoMemory means that there is no memory for the rest of a body.
var errNoMemory = errors.New("other requests take the memory of this entry")

// readBody reads the request's body, up to the limit for its scope. It refuses the request if other
// requests take the memory that there is for it.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, rq *request) *answer.Refusal {
	limit := int64(tree.Get(rq.snapshot.Tree, rq.scope, reference.BodyLimit))
	if r.ContentLength > limit {
		return answer.Refuse(answer.TooLarge, "the body is larger than %d bytes", limit)
	}
	control := http.NewResponseController(w)
	// The error is ignored: a connection without support for deadlines is read without one.
	_ = control.SetReadDeadline(rq.arrived.Add(tree.Get(rq.snapshot.Tree, rq.scope, reference.RequestDeadline)))
	err := rq.readPieces(http.MaxBytesReader(nil, r.Body, limit), r.ContentLength)
	_ = control.SetReadDeadline(time.Time{})
	// Nothing is done with what follows the body. It isn't counted, so it isn't kept.
	r.Trailer = nil
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return answer.Refuse(answer.TooLarge, "the body is larger than %d bytes", limit)
	case errors.Is(err, errNoMemory) || rq.connection.Evicted():
		return h.refuseOverloaded(r, rq)
	case err != nil:
		return answer.Refuse(answer.InvalidRequest, "the body could not be read to its end")
	}
	if !rq.connection.SetWaiting() {
		return h.refuseOverloaded(r, rq)
	}
	return nil
}

// readPieces reads a body to its end, for which memory is taken before its bytes are. size is its size,
// -1 if it is not known.
func (rq *request) readPieces(from io.Reader, size int64) error {
	for next := max(size, firstPiece); ; next = max(firstPiece, int64(len(rq.body))) {
		if size >= 0 {
			next = size - int64(len(rq.body))
		}
		if !rq.connection.Reserve(bodyFactor * next) {
			return errNoMemory
		}
		rq.body = slices.Grow(rq.body, int(next))
		for next > 0 {
			n, err := from.Read(rq.body[len(rq.body) : len(rq.body)+int(next)])
			rq.body, next = rq.body[:len(rq.body)+n], next-int64(n)
			switch {
			case err == io.EOF && (size < 0 || next == 0):
				return nil
			case err != nil:
				return err
			}
		}
		if size >= 0 {
			return nil
		}
	}
}
