package upstream

import "time"

// Quota bounds how often one process sends requests once more, so that all
// processes together stay within a bound over any window: a share of the
// requests and a fixed number. Each process keeps to its part of the number
// without asking the others.
type RetryQuota struct {
	rules   RetryQuotaConfig
	start   time.Time
	buckets [quotaBuckets]quotaBucket
}

// QuotaRules are the settings of a quota.
type RetryQuotaConfig struct {
	// Ratio is the number of repeats allowed for each request, Slack the fixed
	// number allowed to all processes together in a window.
	Ratio, Slack float64
	Window       time.Duration
	// Processes is how many share the slack.
	Processes int
}

// quotaBuckets divide the window.
const quotaBuckets = 20

// quotaMargin is the part of the bound that is used: requests reach the
// upstreams later than they are counted here.
const quotaMargin = 0.85

// startMargin is the part that a process uses in its first window: it may have
// used its whole part just before it was started again. What quotaMargin leaves
// is enough for three starts in one window.
const startMargin = (1 - quotaMargin) / 3

type quotaBucket struct {
	index             int64
	requests, repeats float64
}

// NewQuota returns the quota of a process that starts at now.
func NewRetryQuota(r RetryQuotaConfig, now time.Time) *RetryQuota {
	return &RetryQuota{rules: r, start: now}
}

// Configure changes the rules.
func (q *RetryQuota) Configure(r RetryQuotaConfig) { q.rules = r }

// Request counts a caller's request.
func (q *RetryQuota) RecordRequest(now time.Time) {
	if b := q.bucket(now); b != nil {
		b.requests++
	}
}

// Repeat tells whether a request may be sent once more, and counts it.
func (q *RetryQuota) TakeRetry(now time.Time) bool {
	if q.Remaining(now) < 1 {
		return false
	}
	q.bucket(now).repeats++
	return true
}

// Left is how many requests may be sent once more now, a fraction of one
// included.
func (q *RetryQuota) Remaining(now time.Time) float64 {
	b := q.bucket(now)
	if b == nil {
		return 0
	}
	requests, repeats := 0.0, 0.0
	for i := range q.buckets {
		if o := &q.buckets[i]; o.index > b.index-quotaBuckets {
			requests, repeats = requests+o.requests, repeats+o.repeats
		}
	}
	bound := q.rules.Ratio*requests + q.rules.Slack/float64(max(q.rules.Processes, 1))
	margin := quotaMargin
	if now.Sub(q.start) < q.rules.Window {
		margin = startMargin
	}
	return max(margin*bound-repeats, 0)
}

// bucket returns the bucket of a time, nil without a window.
func (q *RetryQuota) bucket(now time.Time) *quotaBucket {
	width := q.rules.Window / quotaBuckets
	if width <= 0 {
		return nil
	}
	index := int64(now.Sub(q.start)/width) + 1
	b := &q.buckets[index%quotaBuckets]
	if b.index != index {
		*b = quotaBucket{index: index}
	}
	return b
}
