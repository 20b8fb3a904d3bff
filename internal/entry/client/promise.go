package client

import (
	"errors"
	"net/http"
)

// errUnfoundedPromise means that the status of a response promises that the request has not run,
// but that its upstream does not say so.
var errUnfoundedPromise = errors.New("the response's status promises that the request has not run, but the upstream does not say so")

// isDeclined reports whether an upstream's response with a status says that the upstream has
// not run the request and will not. A malformed request (400) is the caller's to change.
func isDeclined(status int, notRun bool) bool {
	switch {
	case status == http.StatusMisdirectedRequest:
		return true
	case status == http.StatusBadRequest, status/100 == 2:
		return false
	}
	return notRun
}

// promisesNotRun reports whether a status tells callers that the request has not run and never
// will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
