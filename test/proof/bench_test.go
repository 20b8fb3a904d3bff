package proof

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"bramleydeal/internal/standin/load"
	"bramleydeal/internal/standin/store"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Command that runs each benchmark once:
//
//	go test ./test/proof -run xxx -bench . -benchtime 1x -timeout 30m

// measureLatency sends requests one after another and returns their latencies in
// microseconds.
func measureLatency(b *testing.B, url string, calls int) *hdrhistogram.Histogram {
	b.Helper()
	histogram := hdrhistogram.New(1, 10_000_000, 3)
	for n := range calls {
		request, err := http.NewRequestWithContext(b.Context(), http.MethodGet, fmt.Sprintf("%s/%d", url, n%7), nil)
		if err != nil {
			b.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+plannersKey)
		start := time.Now()
		response, err := http.DefaultClient.Do(request)
		if err != nil || response.StatusCode != http.StatusOK {
			b.Fatal(err, response)
		}
		response.Body.Close()
		if err := histogram.RecordValue(time.Since(start).Microseconds()); err != nil {
			b.Fatal(err)
		}
	}
	return histogram
}

// BenchmarkAddedLatency measures the latency that an entry and an agent add to a call, by
// comparison with the same call to the service itself.
func BenchmarkAddedLatency(b *testing.B) {
	d := deployFleet(b, fleetSize{entries: 1, engines: 0, services: 3}, nil, false)
	for b.Loop() {
		measureLatency(b, d.url("e1")+"/services/stock", 500)
		direct := measureLatency(b, "http://"+d.processes["service-s1"].address.String(), 3000)
		through := measureLatency(b, d.url("e1")+"/services/stock", 3000)
		for _, q := range []float64{50, 99} {
			added := float64(through.ValueAtQuantile(q)-direct.ValueAtQuantile(q)) / 1000
			b.ReportMetric(added, fmt.Sprintf("added-ms-p%.0f", q))
		}
	}
}

// BenchmarkAddedLatencyPerToken measures the latency that an entry and an agent add to the
// first token of a stream and between its tokens, by comparison with the engine itself.
func BenchmarkAddedLatencyPerToken(b *testing.B) {
	d := deployFleet(b, fleetSize{entries: 1, engines: 1, services: 0}, nil, false)
	for b.Loop() {
		options := load.Options{Model: "quotes-1", Concurrency: 8, Duration: 5 * time.Second, Tokens: 100, Stream: true, Prompts: 4, Seed: *seed, Keys: []string{plannersKey}}
		options.Targets = []string{"http://" + d.processes["engine-w1"].address.String()}
		direct := load.Run(b.Context(), options)
		options.Targets = []string{d.url("e1")}
		through := load.Run(b.Context(), options)
		if through.Complete != through.Requests {
			b.Fatalf("not all streams through the entry are complete: %+v", through)
		}
		b.ReportMetric(through.FirstToken.P50-direct.FirstToken.P50, "added-first-ms-p50")
		b.ReportMetric(through.FirstToken.P99-direct.FirstToken.P99, "added-first-ms-p99")
		b.ReportMetric(through.BetweenTokens.P50-direct.BetweenTokens.P50, "added-token-ms-p50")
		b.ReportMetric(through.BetweenTokens.P99-direct.BetweenTokens.P99, "added-token-ms-p99")
	}
}

// BenchmarkSaturation offers one entry more load than the required peak of the whole
// system. The load generator and the engines share the host with the entry.
func BenchmarkSaturation(b *testing.B) {
	engineFlags := []string{"-tokens-per-step", "25", "-batch", "64", "-prefill-steps", "0"}
	d := deployFleet(b, fleetSize{entries: 1, engines: 6, services: 0, engineFlags: engineFlags}, map[string]map[string]any{
		"group/quotes": {"upstream-slots": 64, "queue-length": 512},
	}, false)
	for b.Loop() {
		options := load.Options{Model: "quotes-1", Concurrency: 192, Duration: 8 * time.Second, Tokens: 465, Stream: true, Prompts: 64, Seed: *seed,
			Keys: []string{plannersKey}, Targets: []string{d.url("e1")}}
		report := load.Run(b.Context(), options)
		b.ReportMetric(report.RequestsPerSecond, "requests/s")
		b.ReportMetric(report.TokensPerSecond, "tokens/s")
		b.ReportMetric(report.FirstToken.P95, "first-ms-p95")
		b.ReportMetric(report.BetweenTokens.P95, "token-ms-p95")
		b.ReportMetric(float64(report.Requests-report.Complete), "not-whole")
	}
}

// resourceUsage is the resource usage of a process: CPU time and bytes exchanged with
// peers since its start, and its current resident memory in bytes.
type resourceUsage struct {
	cpu           time.Duration
	peerBytes     uint64
	residentBytes uint64
}

// clockTick is the unit of CPU times in /proc/PID/stat; Linux reports 100 ticks per second.
const clockTick = 10 * time.Millisecond

// usage returns the resource usage of a process.
func (d *deployment) usage(name string) resourceUsage {
	d.t.Helper()
	var s struct {
		Peers struct {
			In  uint64 `json:"bytes-in"`
			Out uint64 `json:"bytes-out"`
		} `json:"peers"`
	}
	if !d.readState(name, &s) {
		d.t.Fatalf("%s returned no debug state", name)
	}
	folder := fmt.Sprintf("/proc/%d/", d.processes[name].command.Process.Pid)
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		d.t.Fatal(err)
	}
	// The fields after the command name, which ends with the last parenthesis; utime and
	// stime are the 12th and 13th of them.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	u := resourceUsage{cpu: time.Duration(user+system) * clockTick, peerBytes: s.Peers.In + s.Peers.Out}
	status, err := os.ReadFile(folder + "status")
	if err != nil {
		d.t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.ParseUint(strings.Fields(v)[0], 10, 64)
			u.residentBytes = kilobytes << 10
		}
	}
	return u
}

// BenchmarkControlOverhead measures the resources that idle processes use for load reports
// and the replication of settings, in fleets of three sizes. report-interval and
// spread-interval have their default values, which deploy shortens otherwise.
func BenchmarkControlOverhead(b *testing.B) {
	for _, size := range []fleetSize{{entries: 2, engines: 4, services: 0}, {entries: 4, engines: 12, services: 0}, {entries: 8, engines: 28, services: 0}} {
		b.Run(fmt.Sprintf("%d entries and %d agents", size.entries, size.engines), func(b *testing.B) {
			d := deployFleet(b, size, map[string]map[string]any{
				"fleet": {"report-interval": "500ms", "spread-interval": "1s", "agents-heard": 64},
			}, false)
			const interval = 20 * time.Second
			for b.Loop() {
				time.Sleep(2 * time.Second)
				before := map[string]resourceUsage{}
				for _, name := range []string{"e1", "w1"} {
					before[name] = d.usage(name)
				}
				callsBefore := d.platformCounts()
				time.Sleep(interval)
				for name, role := range map[string]string{"e1": "entry", "w1": "agent"} {
					after := d.usage(name)
					b.ReportMetric(100*(after.cpu-before[name].cpu).Seconds()/interval.Seconds(), role+"-cpu-%")
					b.ReportMetric(float64(after.peerBytes-before[name].peerBytes)/interval.Seconds(), role+"-bytes/s")
					b.ReportMetric(float64(after.residentBytes)/(1<<20), role+"-MB")
				}
				callsAfter := d.platformCounts()
				b.ReportMetric(float64(callsAfter.Reads-callsBefore.Reads)/interval.Seconds(), "platform-reads/s")
				b.ReportMetric(float64(callsAfter.Writes-callsBefore.Writes)/interval.Seconds(), "platform-writes/s")
			}
		})
	}
}

// BenchmarkLeaderOverhead measures the resources that the leader of a group uses to query
// its ranks, as the difference between the leader and another entry.
func BenchmarkLeaderOverhead(b *testing.B) {
	for _, n := range []int{4, 8, 16} {
		b.Run(fmt.Sprintf("%d ranks", n), func(b *testing.B) {
			d := deployGroup(b, n, true, map[string]any{"placement-interval": "10m"})
			eventually(b, 15*time.Second, "an entry leads the group", func() bool { return d.leader() != "" })
			const interval = 15 * time.Second
			for b.Loop() {
				time.Sleep(2 * time.Second)
				leader := d.leader()
				other := "e1"
				if leader == other {
					other = "e2"
				}
				before, beforeOther := d.usage(leader), d.usage(other)
				time.Sleep(interval)
				after, afterOther := d.usage(leader), d.usage(other)
				cpu := (after.cpu - before.cpu) - (afterOther.cpu - beforeOther.cpu)
				traffic := (after.peerBytes - before.peerBytes) - (afterOther.peerBytes - beforeOther.peerBytes)
				b.ReportMetric(100*cpu.Seconds()/interval.Seconds(), "leader-cpu-%")
				b.ReportMetric(float64(traffic)/interval.Seconds(), "leader-bytes/s")
			}
		})
	}
}

// platformCounts returns the calls that the platform has served, by kind.
func (d *deployment) platformCounts() store.Counts {
	d.t.Helper()
	var c store.Counts
	d.getJSON("http://"+d.platformAddress.String()+"/standin/counts", &c)
	return c
}

// BenchmarkChangePropagation measures how long a change of settings takes to take effect
// in every process, with the default spread-interval.
func BenchmarkChangePropagation(b *testing.B) {
	d := deployFleet(b, fleetSize{entries: 8, engines: 24, services: 0}, map[string]map[string]any{"fleet": {"spread-interval": "1s", "agents-heard": 64}}, false)
	for b.Loop() {
		slowest := time.Duration(0)
		for n := range 20 {
			slowest = max(slowest, d.waitInEffect(d.setWeight(1+float64(n))))
		}
		b.ReportMetric(slowest.Seconds(), "slowest-s")
	}
}
