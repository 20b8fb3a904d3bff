// Package trace extracts the trace of one request from the logs of the processes: what
// each process decided about the request, and which changes in its list of upstreams
// it based the decision on.
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

// Line is a log line about the request or about one of its upstreams.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	// Values holds the other members of the log line, except for its level.
	Values map[string]any
}

// Names of the members of a log line that are treated specially.
const (
	memberTime     = "time"
	memberLevel    = "level"
	memberMessage  = "msg"
	memberInstance = "instance"
	memberRequest  = "request"
	memberUpstream = "upstream"
	memberAddress  = "address"
)

// maxLineBytes is the maximum length of a log line. A longer line is an error.
const maxLineBytes = 1 << 20

// upstreamLookback is how long before the first line of the request a line about one
// of its upstreams is still part of the trace.
const upstreamLookback = 10 * time.Second

// Read returns the log lines about a request, sorted by time. They include the lines
// about its upstreams that were logged by the instances that used them, from
// upstreamLookback before the first line of the request until its last one. Read
// ignores lines that are not JSON objects with a time, and any text before the first
// brace of a line. It returns a not-found error if no line is about the request.
func Read(logs []io.Reader, request string) ([]Line, error) {
	var requestLines, upstreamLines []Line
	for _, r := range logs {
		scanner := bufio.NewScanner(r)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			l, ok := parse(scanner.Text())
			switch {
			case !ok:
			case l.Values[memberRequest] == request:
				requestLines = append(requestLines, l)
			case l.Values[memberUpstream] != nil && l.Values[memberRequest] == nil:
				upstreamLines = append(upstreamLines, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, oops.Code("unreadable").Wrapf(err, "read a log file")
		}
	}
	if len(requestLines) == 0 {
		return nil, oops.Code("not-found").Errorf("no log line about request %q: the request succeeded and its log line was suppressed by the rate limit, or it is in the log of another process", request)
	}
	out := append(requestLines, selectUpstreamLines(requestLines, upstreamLines)...)
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out, nil
}

// selectUpstreamLines returns those of upstreamLines that belong to the trace of
// requestLines: lines about an upstream of the request, logged by the instance that
// used the upstream for the request.
func selectUpstreamLines(requestLines, upstreamLines []Line) []Line {
	type use struct{ instance, upstream string }
	used := map[use]bool{}
	first, last := requestLines[0].Time, requestLines[0].Time
	for _, l := range requestLines {
		if u, ok := l.Values[memberUpstream].(string); ok {
			used[use{l.Instance, u}] = true
		}
		if l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	var out []Line
	for _, l := range upstreamLines {
		u, ok := l.Values[memberUpstream].(string)
		if ok && used[use{l.Instance, u}] && l.Time.After(first.Add(-upstreamLookback)) && !l.Time.After(last) {
			out = append(out, l)
		}
	}
	return out
}

// parse parses a log line. It returns false if the line is not a JSON object with a
// time.
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
	timestamp, ok := values[memberTime].(string)
	if !ok {
		return Line{}, false
	}
	var err error
	if l.Time, err = time.Parse(time.RFC3339Nano, timestamp); err != nil {
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

// Print prints the lines of a request's trace, at least one, with the time since the
// first line.
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

// details returns the line's values as text, sorted by name, without the request and
// the address.
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
