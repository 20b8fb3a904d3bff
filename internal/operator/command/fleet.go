package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"bramleydeal/internal/operator/store"
	"bramleydeal/internal/settings/snapshot"
	"bramleydeal/internal/world/fleet"
	"github.com/google/subcommands"
	"github.com/samber/oops"
)

// fleetCommands returns the commands on running processes.
func fleetCommands() []subcommands.Command {
	return []subcommands.Command{statusCommand(), dumpCommand(), drainCommand()}
}

// debugTimeout is the time limit of one call to a process's debug listener.
const debugTimeout = 2 * time.Second

// maxDebugPage is the longest page of a debug listener that is read, in bytes.
const maxDebugPage = 64 << 20

// callDebug requests a page of the debug listener at a and returns the body of the
// response. It returns an unreachable error if there is no response or its status is
// an error.
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
	body, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, maxDebugPage))
	if err != nil || response.StatusCode >= http.StatusBadRequest {
		return nil, oops.Code("unreachable").Errorf("%s responded to %s with status %d", a, page, response.StatusCode)
	}
	return body, nil
}

// instanceStatus describes an instance in the output of the command status. Busy is
// the number of requests that the instance runs, Waiting the number in its queue.
type instanceStatus struct {
	Name          string              `json:"name"`
	Role          fleet.Role          `json:"role"`
	FailureDomain fleet.FailureDomain `json:"failure-domain"`
	Reachable     bool                `json:"answers"`
	Revision      uint64              `json:"revision"`
	Behind        bool                `json:"behind"`
	Leaving       bool                `json:"leaving"`
	NotReady      bool                `json:"unready"`
	Busy          int64               `json:"busy"`
	Waiting       int64               `json:"waiting"`
	// Evacuated are the failure domains to which the instance sends no requests.
	Evacuated []fleet.FailureDomain `json:"evacuated,omitempty"`
}

// groupStatus describes a group in the output of the command status, as its leader
// reports it. Grant holds the version of the current expert map and the first step that
// uses it.
type groupStatus struct {
	Leader string `json:"leader"`
	Group  string `json:"group"`
	Phase  string `json:"phase"`
	Step   uint64 `json:"step"`
	Grant  struct {
		From uint64 `json:"from"`
		Map  uint64 `json:"map"`
	} `json:"grant"`
	Skew float64 `json:"skew"`
}

// fleetStatus is the output of the command status.
type fleetStatus struct {
	Instances []instanceStatus   `json:"instances"`
	Groups    []groupStatus      `json:"groups"`
	Leases    []store.LeaseState `json:"leases"`
}

func statusCommand() *command {
	return newPlatformCommand(preparedStatus, "status", "show instances with their load and settings in force, groups and leases",
		"status [-prepared]\n\nExample:\n  bramleydeal status -output json",
		func(ctx context.Context, c *commonOptions, client *store.Client, _ []string) error {
			current, err := client.Snapshot(ctx)
			if err != nil {
				return err
			}
			s := collectStatus(ctx, current)
			if s.Leases, err = client.Leases(ctx); err != nil {
				return err
			}
			return c.print(s, func(w io.Writer) { printStatus(w, s) })
		})
}

// collectStatus queries all instances of the snapshot. It leaves the leases out.
func collectStatus(ctx context.Context, current *snapshot.Snapshot) fleetStatus {
	s := fleetStatus{}
	s.Instances, s.Groups = queryInstances(ctx, slices.Collect(maps.Values(current.Instances)))
	markBehind(s.Instances)
	return s
}

// queryInstances queries all instances at once. It returns their states and the
// groups that they lead, both sorted by name.
func queryInstances(ctx context.Context, instances []fleet.Instance) ([]instanceStatus, []groupStatus) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	rows, groups := []instanceStatus{}, []groupStatus{}
	for _, i := range instances {
		calls.Go(func() {
			row, ledGroups := queryInstance(ctx, i)
			mu.Lock()
			defer mu.Unlock()
			rows = append(rows, row)
			groups = append(groups, ledGroups...)
		})
	}
	calls.Wait()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Name < rows[j].Name })
	sort.Slice(groups, func(i, j int) bool { return groups[i].Group < groups[j].Group })
	return rows, groups
}

// markBehind marks the instances whose revision is below the highest one that an
// instance reports.
func markBehind(rows []instanceStatus) {
	var highest uint64
	for _, r := range rows {
		highest = max(highest, r.Revision)
	}
	for i := range rows {
		rows[i].Behind = rows[i].Reachable && rows[i].Revision < highest
	}
}

// processState holds the members of a process's debug state that status shows.
type processState struct {
	Revision uint64 `json:"revision"`
	// InFlight, Ready and Directory are set by entries on a prepared platform only.
	InFlight  int64 `json:"in-flight"`
	Ready     *bool `json:"ready"`
	Directory struct {
		ConfigurationVersion uint64                `json:"configuration-version"`
		Evacuated            []fleet.FailureDomain `json:"evacuated"`
	} `json:"directory"`
	Caller struct {
		InFlight int64 `json:"in-flight"`
		Draining bool  `json:"draining"`
	} `json:"caller"`
	Gateway struct {
		Running int64 `json:"running"`
		Waiting int64 `json:"waiting"`
		Leaving bool  `json:"leaving"`
	} `json:"door"`
	LeaderTasks []struct {
		Leading []groupStatus `json:"leading"`
	} `json:"duties"`
}

// queryInstance requests the state of an instance and of the groups that it leads.
// An instance without a debug address or a valid response is not Reachable.
func queryInstance(ctx context.Context, i fleet.Instance) (instanceStatus, []groupStatus) {
	row := instanceStatus{Name: i.Name, Role: i.Role, FailureDomain: i.FailureDomain, Leaving: i.Leaving}
	if !i.DebugAddress.IsValid() {
		return row, nil
	}
	body, err := callDebug(ctx, http.MethodGet, i.DebugAddress, "/debug/state")
	if err != nil {
		return row, nil
	}
	var s processState
	if json.Unmarshal(body, &s) != nil {
		return row, nil
	}
	row.Reachable, row.Revision = true, max(s.Revision, s.Directory.ConfigurationVersion)
	row.Leaving = row.Leaving || s.Caller.Draining || s.Gateway.Leaving
	row.NotReady = s.Ready != nil && !*s.Ready
	row.Evacuated = s.Directory.Evacuated
	row.Busy, row.Waiting = s.Caller.InFlight+s.Gateway.Running+s.InFlight, s.Gateway.Waiting
	var groups []groupStatus
	for _, d := range s.LeaderTasks {
		for _, g := range d.Leading {
			g.Leader = i.Name
			groups = append(groups, g)
		}
	}
	return row, groups
}

// printStatus prints a status as tables.
func printStatus(w io.Writer, s fleetStatus) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	printInstances(t, "REVISION", s.Instances)
	if len(s.Groups) > 0 {
		fmt.Fprintln(t, "\nGROUP\tLEADER\tPHASE\tSTEP\tMAP\tSKEW")
	}
	for _, g := range s.Groups {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%.3f\n", g.Group, g.Leader, g.Phase, g.Step, g.Grant.Map, g.Skew)
	}
	if len(s.Leases) > 0 {
		fmt.Fprintln(t, "\nLEASE\tHOLDER\tTERM")
	}
	for _, l := range s.Leases {
		fmt.Fprintf(t, "%s\t%s\t%d\n", l.Name, l.Holder, l.Term)
	}
	// There is nowhere to report that standard output failed.
	_ = t.Flush()
}

// printInstances prints a row for each instance. revisionTitle is the title of the
// column with the revision, or the configuration version, in effect at the instance.
func printInstances(t io.Writer, revisionTitle string, rows []instanceStatus) {
	fmt.Fprintf(t, "INSTANCE\tROLE\tFAILURE DOMAIN\t%s\tBUSY\tWAITING\tNOTES\n", revisionTitle)
	for _, r := range rows {
		notes := ""
		switch {
		case !r.Reachable:
			notes = "does not answer"
		case r.Leaving:
			notes = "leaving"
		case r.NotReady:
			notes = "not ready"
		case r.Behind:
			notes = "behind"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", r.Name, r.Role, r.FailureDomain, r.Revision, r.Busy, r.Waiting, notes)
	}
}

// newDebugCommand returns a command whose only argument is the address of a process's
// debug listener.
func newDebugCommand(name, synopsis, usage string, run func(ctx context.Context, a netip.AddrPort) error) *command {
	return &command{
		name: name, synopsis: synopsis, usage: usage,
		run: func(ctx context.Context, args []string) error {
			if err := requireArgs(args, 1, name+" ADDRESS"); err != nil {
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
	return newDebugCommand("dump", "print a process's whole state as JSON",
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
	return newDebugCommand("drain", "start the graceful shutdown of a process",
		"drain ADDRESS\n\nExample:\n  bramleydeal drain 127.0.0.1:7200",
		func(ctx context.Context, a netip.AddrPort) error {
			if _, err := callDebug(ctx, http.MethodPost, a, "/debug/drain"); err != nil {
				return err
			}
			fmt.Println("draining")
			return nil
		})
}
