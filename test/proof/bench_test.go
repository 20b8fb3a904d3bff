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

// The benchmarks are run once each:
//
//	go test ./test/proof -run xxx -bench . -benchtime 1x -timeout 30m

// timeCalls sends requests one after another and returns their times in
// microseconds.
func timeCalls(b *testing.B, url string, calls int) *hdrhistogram.Histogram {
	b.Helper()
	h := hdrhistogram.New(1, 10_000_000, 3)
	for n := range calls {
		request, err := http.NewRequestWithContext(b.Context(), http.MethodGet, fmt.Sprintf("%s/%d", url, n%7), nil)
		if err != nil {
			b.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+key)
		begun := time.Now()
		response, err := http.DefaultClient.Do(request)
		if err != nil || response.StatusCode != http.StatusOK {
			b.Fatal(err, response)
		}
		response.Body.Close()
		if err := h.RecordValue(time.Since(begun).Microseconds()); err != nil {
			b.Fatal(err)
		}
	}
	return h
}

// BenchmarkAddedTime compares a plain call through entry and agent with the same
// call at the service itself.
func BenchmarkAddedTime(b *testing.B) {
	d := deployAt(b, size{entries: 1, engines: 0, services: 3}, nil, false)
	for b.Loop() {
		timeCalls(b, d.url("e1")+"/services/stock", 500)
		direct := timeCalls(b, "http://"+d.processes["service-s1"].address.String(), 3000)
		through := timeCalls(b, d.url("e1")+"/services/stock", 3000)
		for _, q := range []float64{50, 99} {
			added := float64(through.ValueAtQuantile(q)-direct.ValueAtQuantile(q)) / 1000
			b.ReportMetric(added, fmt.Sprintf("added-ms-p%.0f", q))
		}
	}
}

// BenchmarkAddedTimePerToken compares the gaps between the tokens of streams
// through entry and agent with those at the engine itself.
func BenchmarkAddedTimePerToken(b *testing.B) {
	d := deployAt(b, size{entries: 1, engines: 1, services: 0}, nil, false)
	for b.Loop() {
		o := load.Options{Model: "quotes-1", Concurrency: 8, Duration: 5 * time.Second, Tokens: 100, Stream: true, Prompts: 4, Seed: *seed, Keys: []string{key}}
		o.Targets = []string{"http://" + d.processes["engine-w1"].address.String()}
		direct := load.Run(b.Context(), o)
		o.Targets = []string{d.url("e1")}
		through := load.Run(b.Context(), o)
		if through.Complete != through.Requests {
			b.Fatalf("%+v", through)
		}
		b.ReportMetric(through.FirstToken.P50-direct.FirstToken.P50, "added-first-ms-p50")
		b.ReportMetric(through.FirstToken.P99-direct.FirstToken.P99, "added-first-ms-p99")
		b.ReportMetric(through.BetweenTokens.P50-direct.BetweenTokens.P50, "added-token-ms-p50")
		b.ReportMetric(through.BetweenTokens.P99-direct.BetweenTokens.P99, "added-token-ms-p99")
	}
}

// BenchmarkSaturation sends one entry more than the target's peak for the whole
// system, from this same machine.
func BenchmarkSaturation(b *testing.B) {
	engineFlags := []string{"-tokens-per-step", "25", "-batch", "64", "-prefill-steps", "0"}
	d := deployAt(b, size{entries: 1, engines: 6, services: 0, engineFlags: engineFlags}, map[string]map[string]any{
		"group/quotes": {"upstream-slots": 64, "queue-length": 512},
	}, false)
	for b.Loop() {
		o := load.Options{Model: "quotes-1", Concurrency: 192, Duration: 8 * time.Second, Tokens: 465, Stream: true, Prompts: 64, Seed: *seed,
			Keys: []string{key}, Targets: []string{d.url("e1")}}
		r := load.Run(b.Context(), o)
		b.ReportMetric(r.RequestsPerSecond, "requests/s")
		b.ReportMetric(r.TokensPerSecond, "tokens/s")
		b.ReportMetric(r.FirstToken.P95, "first-ms-p95")
		b.ReportMetric(r.BetweenTokens.P95, "token-ms-p95")
		b.ReportMetric(float64(r.Requests-r.Complete), "not-whole")
	}
}

// usage is what a process has used so far.
type usage struct {
	cpu     time.Duration
	traffic uint64
	memory  uint64
}

// clockTick is the unit of processor time in /proc, 100 a second on Linux.
const clockTick = 10 * time.Millisecond

func (d *deployment) usage(name string) usage {
	d.t.Helper()
	var s struct {
		Peers struct {
			In  uint64 `json:"bytes-in"`
			Out uint64 `json:"bytes-out"`
		} `json:"peers"`
	}
	if !d.dump(name, &s) {
		d.t.Fatalf("no dump of %s", name)
	}
	folder := fmt.Sprintf("/proc/%d/", d.processes[name].command.Process.Pid)
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		d.t.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	u := usage{cpu: time.Duration(user+system) * clockTick, traffic: s.Peers.In + s.Peers.Out}
	status, err := os.ReadFile(folder + "status")
	if err != nil {
		d.t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.ParseUint(strings.Fields(v)[0], 10, 64)
			u.memory = kilobytes << 10
		}
	}
	return u
}

// BenchmarkControl measures what idle processes spend on control at three sizes,
// with the report and compare intervals of the default settings.
func BenchmarkControl(b *testing.B) {
	for _, s := range []size{{entries: 2, engines: 4, services: 0}, {entries: 4, engines: 12, services: 0}, {entries: 8, engines: 28, services: 0}} {
		b.Run(fmt.Sprintf("%d entries and %d agents", s.entries, s.engines), func(b *testing.B) {
			d := deployAt(b, s, map[string]map[string]any{
				"fleet": {"report-interval": "500ms", "spread-interval": "1s", "agents-heard": 64},
			}, false)
			const length = 20 * time.Second
			for b.Loop() {
				time.Sleep(2 * time.Second)
				before := map[string]usage{}
				for _, name := range []string{"e1", "w1"} {
					before[name] = d.usage(name)
				}
				calls := d.platformCounts()
				time.Sleep(length)
				for name, role := range map[string]string{"e1": "entry", "w1": "agent"} {
					after := d.usage(name)
					b.ReportMetric(100*(after.cpu-before[name].cpu).Seconds()/length.Seconds(), role+"-cpu-%")
					b.ReportMetric(float64(after.traffic-before[name].traffic)/length.Seconds(), role+"-bytes/s")
					b.ReportMetric(float64(after.memory)/(1<<20), role+"-MB")
				}
				now := d.platformCounts()
				b.ReportMetric(float64(now.Reads-calls.Reads)/length.Seconds(), "platform-reads/s")
				b.ReportMetric(float64(now.Writes-calls.Writes)/length.Seconds(), "platform-writes/s")
			}
		})
	}
}

// BenchmarkLeader measures what the leader of a group spends on asking its ranks.
func BenchmarkLeader(b *testing.B) {
	for _, n := range []int{4, 8, 16} {
		b.Run(fmt.Sprintf("%d ranks", n), func(b *testing.B) {
			d := deployRanks(b, n, true, map[string]any{"placement-interval": "10m"})
			eventually(b, 15*time.Second, "a leader", func() bool { return d.leader() != "" })
			const length = 15 * time.Second
			for b.Loop() {
				time.Sleep(2 * time.Second)
				leader := d.leader()
				other := "e1"
				if leader == other {
					other = "e2"
				}
				before, beforeOther := d.usage(leader), d.usage(other)
				time.Sleep(length)
				after, afterOther := d.usage(leader), d.usage(other)
				cpu := (after.cpu - before.cpu) - (afterOther.cpu - beforeOther.cpu)
				traffic := (after.traffic - before.traffic) - (afterOther.traffic - beforeOther.traffic)
				b.ReportMetric(100*cpu.Seconds()/length.Seconds(), "leader-cpu-%")
				b.ReportMetric(float64(traffic)/length.Seconds(), "leader-bytes/s")
			}
		})
	}
}

func (d *deployment) platformCounts() store.Counts {
	d.t.Helper()
	var c store.Counts
	d.getJSON("http://"+d.platform.String()+"/standin/counts", &c)
	return c
}

// BenchmarkChangeInForce measures how long a change takes to reach everybody.
func BenchmarkChangeInForce(b *testing.B) {
	d := deployAt(b, size{entries: 8, engines: 24, services: 0}, map[string]map[string]any{"fleet": {"spread-interval": "1s", "agents-heard": 64}}, false)
	for b.Loop() {
		slowest := time.Duration(0)
		for n := range 20 {
			slowest = max(slowest, d.waitInForce(d.setWeight(1+float64(n))))
		}
		b.ReportMetric(slowest.Seconds(), "slowest-s")
	}
}
