// Package proxy speaks to toxiproxy: links between the parts of a soak run that can
// be delayed, reset, narrowed or silenced in one direction or both.
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

// Harm is what is done to the bytes of a link.
type Harm string

// The harms of a link. Requests travel forth, answers back.
const (
	Delay       Harm = "delay"
	Reset       Harm = "reset"
	Narrow      Harm = "narrow"
	SilentForth Harm = "silent-forth"
	SilentBack  Harm = "silent-back"
	Silent      Harm = "silent"
)

// Harms are all harms, in a fixed order.
var Harms = []Harm{Delay, Reset, Narrow, SilentForth, SilentBack, Silent}

// Proxies are the links of one run.
type Proxies struct{ server *toxiproxy.ApiServer }

// New returns no links yet. It silences toxiproxy, which traces every connection to
// the process's logger.
func New() *Proxies {
	zerolog.SetGlobalLevel(zerolog.Disabled)
	return &Proxies{server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())}
}

// Link is one link.
type Link struct {
	name  string
	proxy *toxiproxy.Proxy
}

// Link leads from one address to another.
func (p *Proxies) Link(name string, from, to netip.AddrPort) (*Link, error) {
	l := &Link{name: name, proxy: toxiproxy.NewProxy(p.server, name, from.String(), to.String())}
	if err := l.proxy.Start(); err != nil {
		return nil, oops.Wrapf(err, "start the link %s", name)
	}
	return l, nil
}

// Close ends the link and its connections.
func (l *Link) Close() { l.proxy.Stop() }

// toxics are the harms in the words of toxiproxy.
var toxics = map[Harm][]struct{ kind, direction, attributes string }{
	Delay:       {{"latency", "downstream", `{"latency":400,"jitter":300}`}},
	Reset:       {{"reset_peer", "downstream", `{"timeout":0}`}},
	Narrow:      {{"bandwidth", "downstream", `{"rate":2}`}},
	SilentForth: {{"timeout", "upstream", `{"timeout":0}`}},
	SilentBack:  {{"timeout", "downstream", `{"timeout":0}`}},
	Silent:      {{"timeout", "upstream", `{"timeout":0}`}, {"timeout", "downstream", `{"timeout":0}`}},
}

// Harm does harm to the link's connections, those that are open too, until Heal.
func (l *Link) Harm(h Harm) error {
	for i, t := range toxics[h] {
		text := fmt.Sprintf(`{"name":"%s-%d","type":%q,"stream":%q,"attributes":%s}`, h, i, t.kind, t.direction, t.attributes)
		if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
			return oops.Wrapf(err, "harm the link %s", l.name)
		}
	}
	return nil
}

// healTimeout bounds the removal of harms.
const healTimeout = 10 * time.Second

// Heal ends all harm. What was swallowed stays lost.
func (l *Link) Heal() {
	ctx, cancel := context.WithTimeout(context.Background(), healTimeout)
	defer cancel()
	l.proxy.Toxics.ResetToxics(ctx)
}
