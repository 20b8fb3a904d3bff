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
	// ErrEarlierEra means that a response was sent before the store came back from an
	// older copy, so that what it says may no longer hold. Whether a write was executed
	// is not known.
	ErrEarlierEra = errors.New("the response is of an earlier era of the store")
	// ErrRefused means that the store refused a call without executing it.
	ErrRefused = errors.New("the store refused the call")
)
