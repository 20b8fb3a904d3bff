package client

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestOnlyErrorsOfTheCallerProveARequest guards against taking a request that ends upstreams for
// sound because one that is faulty or full has answered it without running it.
func TestOnlyErrorsOfTheCallerProveARequest(t *testing.T) {
	is := is.New(t)
	for _, status := range []int{http.StatusBadRequest, http.StatusNotFound, http.StatusConflict, http.StatusUnprocessableEntity} {
		is.True(isCallerError(status))
	}
	for _, status := range []int{
		http.StatusOK, http.StatusFound, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusInternalServerError, http.StatusServiceUnavailable,
	} {
		is.True(!isCallerError(status))
	}
}
