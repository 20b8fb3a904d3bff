// Package ring owns the way goroutines are joined: a bounded ring of work for
// the one goroutine that owns some state. It knows nothing of the work.
package eventloop

import (
	"context"

	"github.com/samber/oops"
)

// Loop owns a state that only its own goroutine touches. Other goroutines hand
// it functions through a bounded ring.
type Loop[S any] struct {
	state S
	work  chan func(S)
	done  chan struct{}
}

// NewLoop returns a loop over state whose ring holds size functions. Run must
// be called for it to make progress.
func NewLoop[S any](state S, size int) *Loop[S] {
	return &Loop[S]{state: state, work: make(chan func(S), size), done: make(chan struct{})}
}

// Run serves the ring until ctx ends.
func (l *Loop[S]) Run(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case f := <-l.work:
			f(l.state)
		case <-ctx.Done():
			return
		}
	}
}

// Do runs f on the loop's goroutine and waits for its end. An error says that
// f did not run and will not.
func (l *Loop[S]) Do(ctx context.Context, f func(S)) error {
	const pending, ran, abandoned = 0, 1, 2
	state := make(chan int, 1)
	state <- pending
	finished := make(chan struct{})
	work := func(s S) {
		if <-state == abandoned {
			state <- abandoned
			return
		}
		f(s)
		state <- ran
		close(finished)
	}
	select {
	case l.work <- work:
	case <-ctx.Done():
		return oops.Code("cancelled").Wrap(ctx.Err())
	case <-l.done:
		return oops.Code("stopped").Errorf("the loop has stopped")
	}
	var reason error
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		reason = ctx.Err()
	case <-l.done:
		reason = context.Canceled
	}
	if <-state == ran {
		state <- ran
		return nil
	}
	state <- abandoned
	return oops.Code("cancelled").Wrap(reason)
}

// Send hands f to the loop without waiting for its end. It waits while the
// ring is full and reports false once the loop has stopped.
func (l *Loop[S]) Send(f func(S)) bool {
	select {
	case l.work <- f:
		return true
	case <-l.done:
		return false
	}
}
