package store

import "errors"

// Errors that callers of a store distinguish.
var (
	// ErrConflict means that a conditional write found another version of the object
	// than the expected one.
	ErrConflict = errors.New("the object has changed")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("no such object")
	// ErrHistoryGone means that the changes since a revision were compacted, so the
	// objects must be listed again.
	ErrHistoryGone = errors.New("the changes since this revision were compacted")
	// ErrRefused means that the store refused a call without executing it.
	ErrRefused = errors.New("the store refused the call")
)
