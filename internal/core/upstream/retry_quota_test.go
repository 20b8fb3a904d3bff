package upstream

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var quotaRules = RetryQuotaConfig{Ratio: 0.2, Slack: 92, Window: 10 * time.Second, Processes: 8}

func TestQuotaAllowsItsShareOfTheSlackAndTheRatio(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	q := NewRetryQuota(quotaRules, start)
	now := start.Add(quotaRules.Window + time.Second)
	for range 100 {
		q.RecordRequest(now)
	}
	allowed := 0
	for q.TakeRetry(now) {
		allowed++
	}
	is.Equal(allowed, 26) // 0.85 * (0.2*100 + 92/8)
	is.True(!q.TakeRetry(now.Add(quotaRules.Window / 2)))
	is.True(q.TakeRetry(now.Add(2 * quotaRules.Window)))
}

func TestQuotaOfAllProcessesHoldsWhenTheyRestartAmidRepeats(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	quotas := make([]*RetryQuota, quotaRules.Processes)
	restart := func() {
		for i := range quotas {
			quotas[i] = NewRetryQuota(quotaRules, now)
		}
	}
	restart()
	now = now.Add(2 * quotaRules.Window)
	requests, repeats := 0, 0
	ask := func() {
		for _, q := range quotas {
			for range 60 {
				q.RecordRequest(now)
				requests++
			}
			for q.TakeRetry(now) {
				repeats++
			}
		}
	}
	ask() // those of the window before
	before, used := requests, repeats
	for range 2 {
		now = now.Add(quotaRules.Window / 4)
		restart()
		requests = 0
		ask()
	}
	is.True(used > 0)
	is.True(float64(repeats) <= quotaRules.Ratio*float64(before)+quotaRules.Slack)
}

func TestQuotaHasLittleRightAfterAStart(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	q := NewRetryQuota(quotaRules, start)
	is.True(!q.TakeRetry(start.Add(time.Second)))
	for range 100 {
		q.RecordRequest(start.Add(time.Second))
	}
	is.True(q.TakeRetry(start.Add(time.Second))) // the ratio counts from the first request on
}

// TestQuotaHoldsOverAnyWindowOfAllProcesses lets processes send, repeat and
// restart at any time, and counts repeats over every sliding window.
func TestQuotaHoldsOverAnyWindowOfAllProcesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		now := start
		quotas := make([]*RetryQuota, quotaRules.Processes)
		for i := range quotas {
			quotas[i] = NewRetryQuota(quotaRules, now)
		}
		var requests, repeats []time.Time
		for range rapid.IntRange(100, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(quotas)-1).Draw(t, "process")
			switch rapid.IntRange(0, 20).Draw(t, "event") {
			case 0:
				quotas[i] = NewRetryQuota(quotaRules, now)
			case 1, 2, 3, 4, 5, 6:
				quotas[i].RecordRequest(now)
				requests = append(requests, now)
			default:
				for range rapid.IntRange(1, 10).Draw(t, "tries") {
					if quotas[i].TakeRetry(now) {
						repeats = append(repeats, now)
					}
				}
			}
		}
		for _, from := range repeats {
			end := from.Add(quotaRules.Window)
			sent := inWindow(repeats, from, end)
			// As the users count: requests of that window or of one before it.
			asked := max(inWindow(requests, from, end), inWindow(requests, from.Add(-quotaRules.Window), from),
				inWindow(requests, from.Add(-quotaRules.Window/2), from.Add(quotaRules.Window/2)))
			if bound := quotaRules.Ratio*float64(asked) + quotaRules.Slack; float64(sent) > bound {
				t.Fatalf("%d repeats in a window, the bound is %.1f", sent, bound)
			}
		}
	})
}

func inWindow(at []time.Time, from, to time.Time) int {
	n := 0
	for _, x := range at {
		if !x.Before(from) && x.Before(to) {
			n++
		}
	}
	return n
}

func TestQuotaTellsWhatIsLeft(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	now := start.Add(20 * time.Second)
	q := NewRetryQuota(RetryQuotaConfig{Ratio: 0.2, Slack: 10, Window: 10 * time.Second, Processes: 2}, start)
	left := q.Remaining(now)
	is.Equal(left, quotaMargin*5)
	for n := range 4 {
		is.True(q.TakeRetry(now))
		is.Equal(q.Remaining(now), left-float64(n+1))
	}
	is.True(!q.TakeRetry(now)) // a fraction is left
	is.Equal(NewRetryQuota(RetryQuotaConfig{}, start).Remaining(now), 0.0)
}
