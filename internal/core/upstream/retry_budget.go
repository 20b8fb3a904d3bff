package upstream

// RetryBudget limits retries to a fraction of the requests, so that retries do not
// multiply the load while upstreams fail.
type RetryBudget struct {
	// retries is the number of retries that may be made now.
	retries float64
}

// maxSavedRetries is the maximum number of unused retries that a budget keeps.
const maxSavedRetries = 20

// NewRetryBudget returns a budget that allows maxSavedRetries retries.
func NewRetryBudget() *RetryBudget { return &RetryBudget{retries: maxSavedRetries} }

// RecordRequest counts a request, which allows ratio more retries.
func (b *RetryBudget) RecordRequest(ratio float64) { b.retries = min(b.retries+ratio, maxSavedRetries) }

// TakeRetry reports whether a retry may be made, and if so deducts it from the
// budget.
func (b *RetryBudget) TakeRetry() bool {
	if b.retries < 1 {
		return false
	}
	b.retries--
	return true
}
