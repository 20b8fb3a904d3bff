// Package proxy runs TCP proxies between the processes of a soak run, based on
// toxiproxy. The traffic through a proxy can be delayed, throttled or dropped, and its
// connections reset.
package proxy

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"github.com/samber/oops"
)

// Impairment is a kind of network fault of a link.
type Impairment string

// The kinds of impairments.
const (
	Delay         Impairment = "delay"
	Reset         Impairment = "reset"
	Throttle      Impairment = "narrow"
	DropRequests  Impairment = "silent-forth"
	DropResponses Impairment = "silent-back"
	DropAll       Impairment = "silent"
)

// Impairments are all kinds of impairments. The variant of a scheduled fault selects one
// by its index, so a seed reproduces a run only while the order stays the same.
var Impairments = []Impairment{Delay, Reset, Throttle, DropRequests, DropResponses, DropAll}

// Proxies creates the links of one run.
type Proxies struct{ server *toxiproxy.ApiServer }

// New returns a Proxies without links. It disables the global logger of the process,
// to which toxiproxy logs every connection.
func New() *Proxies {
	zerolog.SetGlobalLevel(zerolog.Disabled)
	return &Proxies{server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())}
}

// Link is a TCP proxy between two processes.
type Link struct {
	name  string
	proxy *toxiproxy.Proxy
}

// NewLink starts a link that listens at one address and forwards connections to another.
// The name is used by toxiproxy only and appears in errors.
func (p *Proxies) NewLink(name string, from, to netip.AddrPort) (*Link, error) {
	l := &Link{name: name, proxy: toxiproxy.NewProxy(p.server, name, from.String(), to.String())}
	if err := l.proxy.Start(); err != nil {
		return nil, oops.Wrapf(err, "start link %s", name)
	}
	return l, nil
}

// Close closes the link's listener and connections.
func (l *Link) Close() { l.proxy.Stop() }

// toxics are the toxics of toxiproxy that make up each impairment. Latency, jitter and
// timeout are in milliseconds, and the rate is in KB/s. A timeout of 0 drops the data but
// keeps connections open until the toxic is removed. Requests flow in the direction
// "upstream", responses "downstream".
var toxics = map[Impairment][]struct{ kind, direction, attributes string }{
	Delay:         {{"latency", "downstream", `{"latency":400,"jitter":300}`}},
	Reset:         {{"reset_peer", "downstream", `{"timeout":0}`}},
	Throttle:      {{"bandwidth", "downstream", `{"rate":2}`}},
	DropRequests:  {{"timeout", "upstream", `{"timeout":0}`}},
	DropResponses: {{"timeout", "downstream", `{"timeout":0}`}},
	DropAll:       {{"timeout", "upstream", `{"timeout":0}`}, {"timeout", "downstream", `{"timeout":0}`}},
}

// Impair impairs the link's connections, also those that are open already, until Restore.
// It fails if the link already has this impairment.
func (l *Link) Impair(i Impairment) error {
	for n, t := range toxics[i] {
		text := fmt.Sprintf(`{"name":"%s-%d","type":%q,"stream":%q,"attributes":%s}`, i, n, t.kind, t.direction, t.attributes)
		if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
			return oops.Wrapf(err, "impair link %s", l.name)
		}
	}
	return nil
}

// restoreTimeout bounds the removal of impairments.
const restoreTimeout = 10 * time.Second

// Restore removes all impairments of the link. Data that was dropped is not sent again.
func (l *Link) Restore() {
	ctx, cancel := context.WithTimeout(context.Background(), restoreTimeout)
	defer cancel()
	l.proxy.Toxics.ResetToxics(ctx)
}
