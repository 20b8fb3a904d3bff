package upstream

// Budget bounds retries to a share of the requests, so that a failing upstream
// does not multiply the load.
type RetryBudget struct {
	tokens float64
}

// maxBudgetTokens bounds the retries saved up in quiet times.
const maxBudgetTokens = 20

// NewBudget returns a budget with its reserve full.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: maxBudgetTokens} }

// Request adds the share of a retry that one request brings.
func (b *RetryBudget) RecordRequest(ratio float64) { b.tokens = min(b.tokens+ratio, maxBudgetTokens) }

// Retry tells whether a retry may be made, and takes it from the budget.
func (b *RetryBudget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
