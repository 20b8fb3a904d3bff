// Package eventloop provides event loops: goroutines that own some state and execute
// the functions that other goroutines add to their bounded queues.
package eventloop

import (
	"context"

	"github.com/samber/oops"
)

// Loop is an event loop that owns a state of type S. Only the goroutine that executes
// Run accesses the state. The methods Do and Send are safe for concurrent use, but
// must not be called by a function that the loop executes.
type Loop[S any] struct {
	state S
	// queue holds the functions to execute.
	queue chan func(S)
	// done is closed when Run returns.
	done chan struct{}
}

// NewLoop returns a loop that owns state and has a queue of size functions. The
// functions are executed only while Run is executing.
func NewLoop[S any](state S, size int) *Loop[S] {
	return &Loop[S]{state: state, queue: make(chan func(S), size), done: make(chan struct{})}
}

// Run executes the functions in the queue, in order, until ctx ends. It must be called
// exactly once.
func (l *Loop[S]) Run(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case f := <-l.queue:
			f(l.state)
		case <-ctx.Done():
			return
		}
	}
}

// Do executes f on the loop's goroutine and waits until f has returned. If ctx ends or
// the loop stops before f starts, Do returns an error and f will not be executed.
func (l *Loop[S]) Do(ctx context.Context, f func(S)) error {
	// status holds one of these values. Whoever takes it out of the channel, the loop
	// or this goroutine, decides whether f is executed.
	const pending, ran, abandoned = 0, 1, 2
	status := make(chan int, 1)
	status <- pending
	finished := make(chan struct{})
	work := func(s S) {
		if <-status == abandoned {
			status <- abandoned
			return
		}
		f(s)
		status <- ran
		close(finished)
	}
	select {
	case l.queue <- work:
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
	if <-status == ran {
		status <- ran
		return nil
	}
	status <- abandoned
	return oops.Code("cancelled").Wrap(reason)
}

// Send adds f to the queue and does not wait for its execution. It blocks while the
// queue is full and returns false if the loop has stopped.
func (l *Loop[S]) Send(f func(S)) bool {
	select {
	case l.queue <- f:
		return true
	case <-l.done:
		return false
	}
}
