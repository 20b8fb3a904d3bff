package command

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"text/tabwriter"

	"bramleydeal/internal/operator/directory"
	"bramleydeal/internal/world/fleet"
	"bramleydeal/internal/world/service"
	"bramleydeal/platform"
	"github.com/samber/oops"
)

// preparedVariable is the environment variable that sets -prepared if it is not
// empty.
const preparedVariable = "BRAMLEYDEAL_PREPARED"

// deployment reads the deployment from the prepared platform's store.
func (c *commonOptions) deployment(ctx context.Context) (*directory.Deployment, error) {
	a, err := netip.ParseAddrPort(c.platform)
	if err != nil {
		return nil, oops.Code(codeUsage).Wrapf(err, "-platform: give an IP number and port, such as 127.0.0.1:7000")
	}
	return directory.Read(ctx, platform.NewStore(a), platform.Decoder{})
}

// preparedGet prints the settings of a path that the configuration sets, or just the
// one that the second argument names.
func preparedGet(ctx context.Context, c *commonOptions, args []string) error {
	if len(args) != 1 && len(args) != 2 {
		return requireArgs(args, 1, "settings get PATH [SETTING]")
	}
	d, err := c.deployment(ctx)
	if err != nil {
		return err
	}
	settings, err := d.Explain(args[0])
	if err != nil {
		return err
	}
	settings = slices.DeleteFunc(settings, func(s directory.Setting) bool {
		return s.From == directory.Default || len(args) == 2 && s.Name != args[1]
	})
	if len(settings) == 0 {
		return oops.Code(directory.CodeNotFound).Errorf("%s does not set %s; settings explain shows the defaults", args[0], strings.Join(args[1:], ""))
	}
	return c.print(settings, func(w io.Writer) { printSettings(w, settings) })
}

// preparedExplain prints the effective settings of the given paths, or of all paths
// if none is given.
func preparedExplain(ctx context.Context, c *commonOptions, paths []string) error {
	d, err := c.deployment(ctx)
	if err != nil {
		return err
	}
	if len(paths) == 0 {
		paths = d.Levels()
	}
	all := []directory.Setting{}
	for _, path := range paths {
		settings, err := d.Explain(path)
		if err != nil {
			return err
		}
		all = append(all, settings...)
	}
	return c.print(all, func(w io.Writer) { printSettings(w, all) })
}

// printSettings prints settings as a table.
func printSettings(w io.Writer, settings []directory.Setting) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, s := range settings {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", s.Path, s.Name, s.Value, s.From)
	}
	// There is nowhere to report that standard output failed.
	_ = t.Flush()
}

// serviceStatus counts a service's upstreams in one failure domain.
type serviceStatus struct {
	Service       string `json:"service"`
	FailureDomain string `json:"failure-domain"`
	Upstreams     int    `json:"upstreams"`
	Leaving       int    `json:"leaving"`
	// Broken is the number of upstreams whose group runs nothing until it re-forms.
	Broken int `json:"broken"`
	Slots  int `json:"slots"`
}

// preparedStatusReport is the output of the command status on a prepared platform.
type preparedStatusReport struct {
	ConfigurationVersion uint64           `json:"configuration-version"`
	Instances            []instanceStatus `json:"instances"`
	Services             []serviceStatus  `json:"services"`
	// Evacuated are the failure domains that the store lists as evacuated, sorted.
	Evacuated  []fleet.FailureDomain `json:"evacuated,omitempty"`
	Unreadable map[string]string     `json:"unreadable"`
}

// preparedStatus prints the status of a prepared platform's deployment. An instance
// is behind if its configuration version is below that of the store, or if it does not
// know that a failure domain is evacuated.
func preparedStatus(ctx context.Context, c *commonOptions, _ []string) error {
	d, err := c.deployment(ctx)
	if err != nil {
		return err
	}
	r := preparedStatusReport{
		ConfigurationVersion: d.View.Configuration.Version,
		Services:             countUpstreams(d.View.Upstreams), Unreadable: d.Unreadable,
		Evacuated: slices.Sorted(maps.Keys(d.View.Evacuated)),
	}
	r.Instances, _ = queryInstances(ctx, d.Instances)
	for i := range r.Instances {
		n := &r.Instances[i]
		unknown := func(e fleet.FailureDomain) bool { return !slices.Contains(n.Evacuated, e) }
		n.Behind = n.Reachable && (n.Revision < r.ConfigurationVersion || slices.ContainsFunc(r.Evacuated, unknown))
	}
	return c.print(r, func(w io.Writer) { printPreparedStatus(w, r) })
}

// countUpstreams counts the upstreams of each service in each failure domain. The
// result is sorted by service and failure domain.
func countUpstreams(upstreams map[string]service.Upstream) []serviceStatus {
	counts := map[[2]string]*serviceStatus{}
	for _, u := range upstreams {
		key := [2]string{u.Service, string(u.FailureDomain)}
		if counts[key] == nil {
			counts[key] = &serviceStatus{Service: key[0], FailureDomain: key[1]}
		}
		s := counts[key]
		s.Upstreams++
		s.Slots += u.Slots
		if u.Leaving {
			s.Leaving++
		}
		if u.Membership != nil && u.Membership.Broken {
			s.Broken++
		}
	}
	out := []serviceStatus{}
	for _, s := range counts {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b serviceStatus) int {
		return strings.Compare(a.Service+"\x00"+a.FailureDomain, b.Service+"\x00"+b.FailureDomain)
	})
	return out
}

// printPreparedStatus prints a status as tables.
func printPreparedStatus(w io.Writer, r preparedStatusReport) {
	fmt.Fprintf(w, "configuration version %d\n\n", r.ConfigurationVersion)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	printInstances(t, "CONFIGURATION", r.Instances)
	fmt.Fprintln(t, "\nSERVICE\tFAILURE DOMAIN\tUPSTREAMS\tLEAVING\tBROKEN\tSLOTS")
	for _, s := range r.Services {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\n", s.Service, s.FailureDomain, s.Upstreams, s.Leaving, s.Broken, s.Slots)
	}
	if len(r.Evacuated) > 0 {
		fmt.Fprintln(t, "\nEVACUATED FAILURE DOMAIN")
	}
	for _, domain := range r.Evacuated {
		fmt.Fprintln(t, domain)
	}
	if len(r.Unreadable) > 0 {
		fmt.Fprintln(t, "\nUNREADABLE OBJECT\tREASON")
	}
	for _, name := range sortedKeys(r.Unreadable) {
		fmt.Fprintf(t, "%s\t%s\n", name, r.Unreadable[name])
	}
	// There is nowhere to report that standard output failed.
	_ = t.Flush()
}
