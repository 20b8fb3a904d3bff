package command

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"text/tabwriter"

	"bramleydeal/internal/operator/directory"
	"bramleydeal/internal/world/service"
	"bramleydeal/platform"
	"github.com/samber/oops"
)

// environmentPrepared makes -prepared the default for all commands of a shell.
const environmentPrepared = "BRAMLEYDEAL_PREPARED"

// picture reads the prepared platform's store.
func (c *console) picture(ctx context.Context) (*directory.Picture, error) {
	a, err := netip.ParseAddrPort(c.platform)
	if err != nil {
		return nil, oops.Code(codeUsage).Wrapf(err, "-platform: give an IP number and port, such as 127.0.0.1:7000")
	}
	return directory.Read(ctx, platform.NewStore(a), platform.Decoder{})
}

// preparedGet prints what the configuration names of one path, or one setting.
func preparedGet(ctx context.Context, c *console, args []string) error {
	if len(args) != 1 && len(args) != 2 {
		return want(args, 1, "settings get PATH [SETTING]")
	}
	p, err := c.picture(ctx)
	if err != nil {
		return err
	}
	settings, err := p.Explain(args[0])
	if err != nil {
		return err
	}
	settings = slices.DeleteFunc(settings, func(s directory.Setting) bool {
		return s.From == directory.Default || len(args) == 2 && s.Name != args[1]
	})
	if len(settings) == 0 {
		return oops.Code(directory.CodeNotFound).Errorf("%s does not name %s; settings explain shows the defaults", args[0], strings.Join(args[1:], ""))
	}
	return c.print(settings, func(w io.Writer) { printSettings(w, settings) })
}

// preparedExplain prints the effective settings of paths, of all without any.
func preparedExplain(ctx context.Context, c *console, paths []string) error {
	p, err := c.picture(ctx)
	if err != nil {
		return err
	}
	if len(paths) == 0 {
		paths = p.Levels()
	}
	all := []directory.Setting{}
	for _, path := range paths {
		settings, err := p.Explain(path)
		if err != nil {
			return err
		}
		all = append(all, settings...)
	}
	return c.print(all, func(w io.Writer) { printSettings(w, all) })
}

func printSettings(w io.Writer, settings []directory.Setting) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, s := range settings {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", s.Path, s.Name, s.Value, s.From)
	}
	// Standard output has nowhere to report its own failure.
	_ = t.Flush()
}

// serviceStatus counts a service's upstreams in one failure domain.
type serviceStatus struct {
	Service       string `json:"service"`
	FailureDomain string `json:"failure-domain"`
	Upstreams     int    `json:"upstreams"`
	Leaving       int    `json:"leaving"`
	// Broken are the upstreams whose group runs nothing.
	Broken int `json:"broken"`
	Slots  int `json:"slots"`
}

// preparedStatusReport is the answer of status on the prepared platform.
type preparedStatusReport struct {
	ConfigurationVersion uint64            `json:"configuration-version"`
	Instances            []instanceStatus  `json:"instances"`
	Services             []serviceStatus   `json:"services"`
	Unreadable           map[string]string `json:"unreadable"`
}

func preparedStatus(ctx context.Context, c *console, _ []string) error {
	p, err := c.picture(ctx)
	if err != nil {
		return err
	}
	r := preparedStatusReport{
		ConfigurationVersion: p.View.Configuration.Version,
		Services:             countUpstreams(p.View.Upstreams), Unreadable: p.Unreadable,
	}
	r.Instances, _ = askInstances(ctx, p.Instances)
	for i := range r.Instances {
		r.Instances[i].Behind = r.Instances[i].Answers && r.Instances[i].Revision < r.ConfigurationVersion
	}
	return c.print(r, func(w io.Writer) { printPreparedStatus(w, r) })
}

// countUpstreams returns the services by name and failure domain.
func countUpstreams(upstreams map[string]service.Upstream) []serviceStatus {
	counts := map[[2]string]*serviceStatus{}
	for _, u := range upstreams {
		at := [2]string{u.Service, string(u.FailureDomain)}
		if counts[at] == nil {
			counts[at] = &serviceStatus{Service: at[0], FailureDomain: at[1]}
		}
		s := counts[at]
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

func printPreparedStatus(w io.Writer, r preparedStatusReport) {
	fmt.Fprintf(w, "configuration version %d\n\n", r.ConfigurationVersion)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	printInstances(t, "CONFIGURATION", r.Instances)
	fmt.Fprintln(t, "\nSERVICE\tFAILURE DOMAIN\tUPSTREAMS\tLEAVING\tBROKEN\tSLOTS")
	for _, s := range r.Services {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\n", s.Service, s.FailureDomain, s.Upstreams, s.Leaving, s.Broken, s.Slots)
	}
	if len(r.Unreadable) > 0 {
		fmt.Fprintln(t, "\nUNREADABLE OBJECT\tREASON")
	}
	for _, name := range sortedKeys(r.Unreadable) {
		fmt.Fprintf(t, "%s\t%s\n", name, r.Unreadable[name])
	}
	// Standard output has nowhere to report its own failure.
	_ = t.Flush()
}
