// Package trace reads the processes' logs and tells one request's story: what
// was decided about it, where, and by which belief. It changes nothing.
package trace

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"
)

// Line is one log line about the request, or about what a process believed when
// the request met it.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	// Values are the line's other members.
	Values map[string]any
}

// Members of a log line that are no values of their own.
const (
	memberTime     = "time"
	memberLevel    = "level"
	memberMessage  = "msg"
	memberInstance = "instance"
	memberRequest  = "request"
	memberUpstream = "upstream"
	memberAddress  = "address"
)

// maxLine bounds a log line in bytes; longer ones are an error.
const maxLine = 1 << 20

// belief is how long before a request's first line a line about one of its
// upstreams is part of the story.
const upstreamLookback = 10 * time.Second

// Read returns the lines about a request, and about its upstreams shortly before
// and meanwhile, in the order of their time. Lines that are no JSON objects are
// passed over; what stands before the first brace of a line is too.
func Read(logs []io.Reader, request string) ([]Line, error) {
	var about, others []Line
	for _, r := range logs {
		scanner := bufio.NewScanner(r)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			l, ok := parse(scanner.Text())
			switch {
			case !ok:
			case l.Values[memberRequest] == request:
				about = append(about, l)
			case l.Values[memberUpstream] != nil && l.Values[memberRequest] == nil:
				others = append(others, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, oops.Code("unreadable").Wrapf(err, "read a log")
		}
	}
	if len(about) == 0 {
		return nil, oops.Code("not-found").Errorf("no line speaks of request %q: the request was answered well among too many to be logged, or another process has its log", request)
	}
	out := append(about, selectUpstreamLines(about, others)...)
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out, nil
}

// relevant returns the lines about the upstreams that the request met, at the
// processes that it met.
func selectUpstreamLines(about, others []Line) []Line {
	type met struct{ instance, upstream string }
	upstreams := map[met]bool{}
	first, last := about[0].Time, about[0].Time
	for _, l := range about {
		if u, ok := l.Values[memberUpstream].(string); ok {
			upstreams[met{l.Instance, u}] = true
		}
		if l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	var out []Line
	for _, l := range others {
		u, ok := l.Values[memberUpstream].(string)
		if ok && upstreams[met{l.Instance, u}] && l.Time.After(first.Add(-upstreamLookback)) && !l.Time.After(last) {
			out = append(out, l)
		}
	}
	return out
}

func parse(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	values := map[string]any{}
	if json.Unmarshal([]byte(text[start:]), &values) != nil {
		return Line{}, false
	}
	var l Line
	stamp, ok := values[memberTime].(string)
	if !ok {
		return Line{}, false
	}
	var err error
	if l.Time, err = time.Parse(time.RFC3339Nano, stamp); err != nil {
		return Line{}, false
	}
	l.Message, _ = values[memberMessage].(string)
	l.Instance, _ = values[memberInstance].(string)
	for _, name := range []string{memberTime, memberLevel, memberMessage, memberInstance} {
		delete(values, name)
	}
	l.Values = values
	return l, true
}

// Print writes the story, with times since its first line.
func Print(w io.Writer, request string, lines []Line) error {
	if _, err := fmt.Fprintf(w, "request %s, first line at %s\n", request, lines[0].Time.UTC().Format(time.RFC3339Nano)); err != nil {
		return oops.Wrap(err)
	}
	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "%+9.3f s  %-18s %s%s\n", l.Time.Sub(lines[0].Time).Seconds(), l.Instance, l.Message, l.details()); err != nil {
			return oops.Wrap(err)
		}
	}
	return nil
}

// details writes a line's values in the order of their names.
func (l Line) details() string {
	var b strings.Builder
	names := slices.SortedFunc(maps.Keys(l.Values), cmp.Compare[string])
	for _, name := range names {
		if name != memberRequest && name != memberAddress {
			fmt.Fprintf(&b, " %s=%v", name, l.Values[name])
		}
	}
	return b.String()
}
