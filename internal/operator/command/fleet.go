package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"bramleydeal/internal/operator/platform"
	"bramleydeal/internal/settings/snapshot"
	"bramleydeal/internal/world/fleet"
	"github.com/google/subcommands"
	"github.com/samber/oops"
)

func fleetCommands() []subcommands.Command {
	return []subcommands.Command{statusCommand(), dumpCommand(), drainCommand()}
}

// debugTimeout bounds one call to a process's debug listener.
const debugTimeout = 2 * time.Second

// callDebug calls a debug page and returns its body.
func callDebug(ctx context.Context, method string, a netip.AddrPort, page string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, debugTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+a.String()+page, nil)
	if err != nil {
		return nil, oops.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, oops.Code("unreachable").Wrapf(err, "%s does not answer; give the process's debug-listen address", a)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode >= http.StatusBadRequest {
		return nil, oops.Code("unreachable").Errorf("%s answered %s with status %d", a, page, response.StatusCode)
	}
	return body, nil
}

// instanceStatus is one instance in the answer of status.
type instanceStatus struct {
	Name          string              `json:"name"`
	Role          fleet.Role          `json:"role"`
	FailureDomain fleet.FailureDomain `json:"failure-domain"`
	Answers       bool                `json:"answers"`
	Revision      uint64              `json:"revision"`
	Behind        bool                `json:"behind"`
	Leaving       bool                `json:"leaving"`
	Busy          int64               `json:"busy"`
	Waiting       int64               `json:"waiting"`
}

func statusCommand() *command {
	return withOperator("status", "show instances, their load and the settings in force",
		"status\n\nExample:\n  bramleydeal status -output json",
		func(ctx context.Context, c *console, o *platform.Operator, _ []string) error {
			now, err := o.Snapshot(ctx)
			if err != nil {
				return err
			}
			rows := collectStatus(ctx, now)
			return c.print(rows, func(w io.Writer) { printStatus(w, rows) })
		})
}

func collectStatus(ctx context.Context, now *snapshot.Snapshot) []instanceStatus {
	var mu sync.Mutex
	var group sync.WaitGroup
	var rows []instanceStatus
	for _, i := range now.Instances {
		group.Go(func() {
			row := statusOf(ctx, i)
			mu.Lock()
			defer mu.Unlock()
			rows = append(rows, row)
		})
	}
	group.Wait()
	markBehind(rows)
	sort.Slice(rows, func(i, j int) bool { return rows[i].Name < rows[j].Name })
	return rows
}

// markBehind marks the instances below the highest revision that any reports.
func markBehind(rows []instanceStatus) {
	var highest uint64
	for _, r := range rows {
		highest = max(highest, r.Revision)
	}
	for i := range rows {
		rows[i].Behind = rows[i].Answers && rows[i].Revision < highest
	}
}

// processState is what status reads of a dump.
type processState struct {
	Revision uint64 `json:"revision"`
	Caller   struct {
		InFlight int64 `json:"in-flight"`
		Draining bool  `json:"draining"`
	} `json:"caller"`
	Door struct {
		Running int64 `json:"running"`
		Waiting int64 `json:"waiting"`
		Leaving bool  `json:"leaving"`
	} `json:"door"`
}

func statusOf(ctx context.Context, i fleet.Instance) instanceStatus {
	row := instanceStatus{Name: i.Name, Role: i.Role, FailureDomain: i.FailureDomain, Leaving: i.Leaving}
	if !i.DebugAddress.IsValid() {
		return row
	}
	body, err := callDebug(ctx, http.MethodGet, i.DebugAddress, "/debug/state")
	if err != nil {
		return row
	}
	var s processState
	if json.Unmarshal(body, &s) != nil {
		return row
	}
	row.Answers, row.Revision = true, s.Revision
	row.Leaving = row.Leaving || s.Caller.Draining || s.Door.Leaving
	row.Busy, row.Waiting = s.Caller.InFlight+s.Door.Running, s.Door.Waiting
	return row
}

func printStatus(w io.Writer, rows []instanceStatus) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "INSTANCE\tROLE\tFAILURE DOMAIN\tREVISION\tBUSY\tWAITING\tNOTES")
	for _, r := range rows {
		notes := ""
		switch {
		case !r.Answers:
			notes = "does not answer"
		case r.Leaving:
			notes = "leaving"
		case r.Behind:
			notes = "behind"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", r.Name, r.Role, r.FailureDomain, r.Revision, r.Busy, r.Waiting, notes)
	}
	// Standard output has nowhere to report its own failure.
	_ = t.Flush()
}

// addressed makes a command whose argument is a debug address.
func addressed(name, synopsis, usage string, run func(ctx context.Context, a netip.AddrPort) error) *command {
	return &command{
		name: name, synopsis: synopsis, usage: usage,
		run: func(ctx context.Context, args []string) error {
			if err := want(args, 1, name+" ADDRESS"); err != nil {
				return err
			}
			a, err := netip.ParseAddrPort(args[0])
			if err != nil {
				return oops.Code(codeUsage).Wrapf(err, "give the process's debug-listen address, such as 127.0.0.1:7200")
			}
			return run(ctx, a)
		},
	}
}

func dumpCommand() *command {
	return addressed("dump", "print a process's whole state as JSON",
		"dump ADDRESS\n\nExample:\n  bramleydeal dump 127.0.0.1:7200",
		func(ctx context.Context, a netip.AddrPort) error {
			body, err := callDebug(ctx, http.MethodGet, a, "/debug/state")
			if err != nil {
				return err
			}
			_, err = os.Stdout.Write(body)
			return oops.Wrap(err)
		})
}

func drainCommand() *command {
	return addressed("drain", "begin the graceful shutdown of a process",
		"drain ADDRESS\n\nExample:\n  bramleydeal drain 127.0.0.1:7200",
		func(ctx context.Context, a netip.AddrPort) error {
			if _, err := callDebug(ctx, http.MethodPost, a, "/debug/drain"); err != nil {
				return err
			}
			fmt.Println("draining")
			return nil
		})
}
