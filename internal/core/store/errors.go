package store

import "errors"

// Errors that callers of a store tell apart.
var (
	// ErrConflict means that the object's version was not the one named.
	ErrConflict = errors.New("the object has changed")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("no such object")
	// ErrHistoryGone means that the changes since a revision are no longer known:
	// the objects have to be listed again.
	ErrHistoryGone = errors.New("the history is gone")
	// ErrRefused means that the store did nothing.
	ErrRefused = errors.New("the store refused the call")
)
