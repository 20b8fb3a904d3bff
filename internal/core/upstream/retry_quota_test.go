package upstream

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var quotaConfig = RetryQuotaConfig{Ratio: 0.2, Slack: 92, Window: 10 * time.Second, Processes: 8}

func TestRetryQuotaAllowsRatioAndShareOfSlack(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	q := NewRetryQuota(quotaConfig, start)
	now := start.Add(quotaConfig.Window + time.Second)
	for range 100 {
		q.RecordRequest(now)
	}
	allowed := 0
	for q.TakeRetry(now) {
		allowed++
	}
	is.Equal(allowed, 26) // 0.85 * (0.2*100 + 92/8)
	is.True(!q.TakeRetry(now.Add(quotaConfig.Window / 2)))
	is.True(q.TakeRetry(now.Add(2 * quotaConfig.Window)))
}

// TestRetryQuotaHoldsAcrossRestarts guards against processes that exceed the limit by
// using their share again after each restart within one window.
func TestRetryQuotaHoldsAcrossRestarts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	quotas := make([]*RetryQuota, quotaConfig.Processes)
	restart := func() {
		for i := range quotas {
			quotas[i] = NewRetryQuota(quotaConfig, now)
		}
	}
	restart()
	now = now.Add(2 * quotaConfig.Window)
	requests, retries := 0, 0
	sendAll := func() {
		for _, q := range quotas {
			for range 60 {
				q.RecordRequest(now)
				requests++
			}
			for q.TakeRetry(now) {
				retries++
			}
		}
	}
	sendAll() // the requests of the previous window
	requestsBefore, retriesBefore := requests, retries
	for range 2 {
		now = now.Add(quotaConfig.Window / 4)
		restart()
		requests = 0
		sendAll()
	}
	is.True(retriesBefore > 0)
	is.True(float64(retries) <= quotaConfig.Ratio*float64(requestsBefore)+quotaConfig.Slack)
}

func TestRetryQuotaIsSmallInFirstWindow(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	q := NewRetryQuota(quotaConfig, start)
	is.True(!q.TakeRetry(start.Add(time.Second)))
	for range 100 {
		q.RecordRequest(start.Add(time.Second))
	}
	is.True(q.TakeRetry(start.Add(time.Second))) // the ratio counts from the first request on
}

// TestRetryQuotaHoldsOverEveryWindow lets processes send, retry and restart at random
// times, and checks the total number of retries in every sliding window.
func TestRetryQuotaHoldsOverEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		now := start
		quotas := make([]*RetryQuota, quotaConfig.Processes)
		for i := range quotas {
			quotas[i] = NewRetryQuota(quotaConfig, now)
		}
		var requests, retries []time.Time
		for range rapid.IntRange(100, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(quotas)-1).Draw(t, "process")
			switch rapid.IntRange(0, 20).Draw(t, "event") {
			case 0:
				quotas[i] = NewRetryQuota(quotaConfig, now)
			case 1, 2, 3, 4, 5, 6:
				quotas[i].RecordRequest(now)
				requests = append(requests, now)
			default:
				for range rapid.IntRange(1, 10).Draw(t, "tries") {
					if quotas[i].TakeRetry(now) {
						retries = append(retries, now)
					}
				}
			}
		}
		for _, from := range retries {
			end := from.Add(quotaConfig.Window)
			sent := countInWindow(retries, from, end)
			// The limit may be checked with the requests of the window itself or of an
			// earlier one: here the one before it and the one half a window earlier.
			requested := max(countInWindow(requests, from, end), countInWindow(requests, from.Add(-quotaConfig.Window), from),
				countInWindow(requests, from.Add(-quotaConfig.Window/2), from.Add(quotaConfig.Window/2)))
			if limit := quotaConfig.Ratio*float64(requested) + quotaConfig.Slack; float64(sent) > limit {
				t.Fatalf("%d retries in a window, the limit is %.1f", sent, limit)
			}
		}
	})
}

// countInWindow counts the times in [from, to).
func countInWindow(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(to) {
			n++
		}
	}
	return n
}

func TestRetryQuotaRemaining(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	now := start.Add(20 * time.Second)
	q := NewRetryQuota(RetryQuotaConfig{Ratio: 0.2, Slack: 10, Window: 10 * time.Second, Processes: 2}, start)
	remaining := q.Remaining(now)
	is.Equal(remaining, usableShare*5)
	for n := range 4 {
		is.True(q.TakeRetry(now))
		is.Equal(q.Remaining(now), remaining-float64(n+1))
	}
	is.True(!q.TakeRetry(now)) // only a fraction of a retry remains
	is.Equal(NewRetryQuota(RetryQuotaConfig{}, start).Remaining(now), 0.0)
}
