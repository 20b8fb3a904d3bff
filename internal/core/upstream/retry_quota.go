package upstream

import "time"

// RetryQuota limits the retries of one process so that all processes together stay
// within a limit over any time window: a fraction of the requests plus a fixed number.
// Each process keeps to its share of the fixed number, so no coordination is needed.
type RetryQuota struct {
	config    RetryQuotaConfig
	startedAt time.Time
	buckets   [quotaBuckets]quotaBucket
}

// RetryQuotaConfig holds the settings of a RetryQuota.
type RetryQuotaConfig struct {
	// Ratio is the number of retries allowed per request. Slack is the number of
	// retries that all processes together may make in a window in addition.
	Ratio, Slack float64
	Window       time.Duration
	// Processes is the number of processes that share Slack.
	Processes int
}

// quotaBuckets is the number of buckets into which the window is divided.
const quotaBuckets = 20

// usableShare is the fraction of the limit that a process uses. The rest is a margin
// for requests that reach the upstreams later than they are counted here.
const usableShare = 0.85

// firstWindowShare is the fraction of the limit that a process uses in its first window.
// It may have used its full share just before a restart; the margin that usableShare
// leaves covers three starts per window.
const firstWindowShare = (1 - usableShare) / 3

// quotaBucket counts the requests and retries in one part of a window. index is the
// number of that part since the start of the process, counted from 1.
type quotaBucket struct {
	index             int64
	requests, retries float64
}

// NewRetryQuota returns the quota of a process that starts at now.
func NewRetryQuota(config RetryQuotaConfig, now time.Time) *RetryQuota {
	return &RetryQuota{config: config, startedAt: now}
}

// Configure changes the settings.
func (q *RetryQuota) Configure(config RetryQuotaConfig) { q.config = config }

// RecordRequest counts a request of a caller.
func (q *RetryQuota) RecordRequest(now time.Time) {
	if b := q.bucket(now); b != nil {
		b.requests++
	}
}

// TakeRetry reports whether a retry may be made at now, and counts it if so.
func (q *RetryQuota) TakeRetry(now time.Time) bool {
	if q.Remaining(now) < 1 {
		return false
	}
	q.bucket(now).retries++
	return true
}

// ReturnRetry returns a retry that was taken at most a few milliseconds before now and was
// not made.
func (q *RetryQuota) ReturnRetry(now time.Time) {
	if b := q.bucket(now); b != nil && b.retries >= 1 {
		b.retries--
	}
}

// Remaining returns the number of retries that may be made at now, which may include a
// fraction of one.
func (q *RetryQuota) Remaining(now time.Time) float64 {
	b := q.bucket(now)
	if b == nil {
		return 0
	}
	requests, retries := 0.0, 0.0
	for i := range q.buckets {
		if o := &q.buckets[i]; o.index > b.index-quotaBuckets {
			requests, retries = requests+o.requests, retries+o.retries
		}
	}
	limit := q.config.Ratio*requests + q.config.Slack/float64(max(q.config.Processes, 1))
	share := usableShare
	if now.Sub(q.startedAt) < q.config.Window {
		share = firstWindowShare
	}
	return max(share*limit-retries, 0)
}

// bucket returns the bucket that counts at now, emptied if it counted for an earlier
// window. It returns nil if no window is configured.
func (q *RetryQuota) bucket(now time.Time) *quotaBucket {
	width := q.config.Window / quotaBuckets
	if width <= 0 {
		return nil
	}
	index := int64(now.Sub(q.startedAt)/width) + 1
	b := &q.buckets[index%quotaBuckets]
	if b.index != index {
		*b = quotaBucket{index: index}
	}
	return b
}
