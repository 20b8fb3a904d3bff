// Package config reads the settings file of a process: its name, failure domain,
// addresses and other settings that are fixed for one process. The settings that
// operators change at run time are in the settings tree instead.
package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"net/netip"
	"os"
	"time"

	"bramleydeal/internal/process/log"
	"bramleydeal/internal/world/fleet"
	"github.com/samber/oops"
	"github.com/tailscale/hujson"
)

// UpstreamKind is the protocol of an agent's upstream.
type UpstreamKind string

// Kinds of upstreams.
const (
	// Engine is a model engine with the chat completions API.
	Engine UpstreamKind = "engine"
	// Service is a plain HTTP service.
	Service UpstreamKind = "service"
)

// Upstream is the upstream that an agent serves.
type Upstream struct {
	Kind    UpstreamKind   `json:"kind"`
	Address netip.AddrPort `json:"address"`
	// Target is the service or model group to which the upstream belongs.
	Target string `json:"target"`
	// Rank is the engine's rank in its group.
	Rank int `json:"rank"`
}

// TLS names the certificate files of a process, in PEM format. All processes of a
// fleet have certificates of the same authority and verify each other's.
type TLS struct {
	// Certificate, Key and Authority are paths. They are set together or not at all.
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
	// ForCallers enables TLS for the callers' connections as well.
	ForCallers bool `json:"callers"`
}

// Process is the settings file of an entry or an agent.
type Process struct {
	Name          string              `json:"name"`
	FailureDomain fleet.FailureDomain `json:"failure-domain"`
	// Listen is the address on which an entry serves callers.
	Listen netip.AddrPort `json:"listen"`
	// ReadyListen is the address of an entry's separate readiness endpoint, if it
	// has one.
	ReadyListen netip.AddrPort `json:"ready-listen"`
	// PeerListen is the address on which the process serves the other processes.
	PeerListen netip.AddrPort `json:"peer-listen"`
	// DebugListen is the address of the metrics and debug endpoints, if any.
	DebugListen netip.AddrPort `json:"debug-listen"`
	// Platform is the address of the platform's object API.
	Platform netip.AddrPort `json:"platform"`
	// Peers are processes from which to get the settings while the platform is
	// unavailable.
	Peers     []netip.AddrPort `json:"peers"`
	Upstream  Upstream         `json:"upstream"`
	LogFormat log.Format       `json:"log-format"`
	TLS       TLS              `json:"tls"`
	// PlainOutsideLoopback allows listening on other than loopback addresses without
	// TLS certificates.
	PlainOutsideLoopback bool `json:"plain-outside-loopback"`
	// MemoryMegabytes is the memory that the process may take, in units of 1,000,000 bytes; 0 stands
	// for DefaultMemoryMegabytes.
	MemoryMegabytes int `json:"memory-megabytes"`
	// Descriptors is the number of file descriptors that the process may have; 0 stands for the limit
	// of the operating system.
	Descriptors int `json:"descriptors"`
	// Direct is set for a process on the operators' prepared platform, where entries
	// connect to the upstreams directly instead of through agents.
	Direct *Direct `json:"direct"`
}

// DefaultMemoryMegabytes is the memory of a process whose settings name none.
const DefaultMemoryMegabytes = 256

// MemoryBytes returns the memory that the process may take, in bytes.
func (p Process) MemoryBytes() int64 {
	return int64(cmp.Or(p.MemoryMegabytes, DefaultMemoryMegabytes)) * 1e6
}

// Direct is the part of the settings that only a deployment on the prepared platform
// has.
type Direct struct {
	// DrainTime is the time after which a leaving upstream must get no new work.
	DrainTime Duration `json:"drain-time"`
	// Grace is the time between the signal to stop a process and its kill.
	Grace Duration `json:"grace"`
	// RetryRatio and RetrySlack limit the retries that all entries together may make
	// in RetryWindow: RetryRatio per request, and RetrySlack in addition.
	RetryRatio  float64  `json:"retry-ratio"`
	RetrySlack  float64  `json:"retry-slack"`
	RetryWindow Duration `json:"retry-window"`
	// Fencing is set if the engines refuse orders with an outdated fencing token.
	Fencing bool `json:"fencing"`
	// Regions maps the deployment's failure domains to their regions.
	Regions map[fleet.FailureDomain]fleet.Region `json:"regions"`
	// EvacuationTime is the time after which the upstreams of a failure domain that an
	// operator has evacuated must get no requests, 0 if the operators evacuate none.
	EvacuationTime Duration `json:"evacuation-time"`
	// ColdFactor and ColdSlack limit the requests that a cold upstream may get in a second
	// from all entries together: ColdFactor times the rate of its service, plus ColdSlack.
	ColdFactor float64 `json:"cold-factor"`
	ColdSlack  float64 `json:"cold-slack"`
	// Admission selects which requests an entry admits while the upstreams are overloaded.
	Admission AdmissionMode `json:"admission"`
}

// AdmissionMode selects how an entry decides which requests it admits.
type AdmissionMode string

// The admission modes.
const (
	// AdmitAll sends each request to an upstream while one can take it. It is the default.
	AdmitAll AdmissionMode = ""
	// AdmitInTime holds back requests that would make streams miss the targets of their
	// routes, the least urgent ones first.
	AdmitInTime AdmissionMode = "in-time"
)

// Duration is a duration in the format of time.ParseDuration, such as "1500ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return oops.Code("invalid-settings").Wrapf(err, "write a time such as \"1500ms\"")
	}
	*d = Duration(v)
	return nil
}

// Read reads the settings file of a process with the given role and checks it. All
// errors have the code invalid-settings.
func Read(path string, role fleet.Role) (Process, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Process{}, oops.Code("invalid-settings").Wrapf(err, "read the settings file")
	}
	p, err := Parse(text, role)
	if err != nil {
		return Process{}, oops.Code("invalid-settings").Wrapf(err, "%s", path)
	}
	return p, nil
}

// Parse parses and checks the text of a settings file for a process with the given
// role: JSON with comments and trailing commas, without unknown members.
func Parse(text []byte, role fleet.Role) (Process, error) {
	standardJSON, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return Process{}, oops.Code("invalid-settings").Wrapf(err, "broken JSON")
	}
	d := json.NewDecoder(bytes.NewReader(standardJSON))
	d.DisallowUnknownFields()
	p := Process{LogFormat: log.Text}
	if err := d.Decode(&p); err != nil {
		return Process{}, oops.Code("invalid-settings").Wrapf(err, "see docs/operators.md for the members of a process's settings file")
	}
	return p, p.check(role)
}

// check returns an error that names the first invalid member and what to write.
func (p Process) check(role fleet.Role) error {
	fail := func(member, remedy string) error {
		return oops.Code("invalid-settings").Errorf("%s: %s", member, remedy)
	}
	switch {
	case p.Name == "":
		return fail("name", "give the instance's name in the platform's list")
	case p.FailureDomain == "":
		return fail("failure-domain", "give the instance's failure domain")
	case !p.PeerListen.IsValid():
		return fail("peer-listen", "give an address and port, such as \"127.0.0.1:7100\"")
	case !p.Platform.IsValid() && len(p.Peers) == 0:
		return fail("platform", "give the address of the object API, or peers to learn the settings from")
	case role == fleet.EntryRole && !p.Listen.IsValid():
		return fail("listen", "give the address and port for callers")
	case role == fleet.AgentRole && !p.Upstream.Address.IsValid():
		return fail("upstream.address", "give the upstream's address and port")
	case role == fleet.AgentRole && p.Upstream.Kind != Engine && p.Upstream.Kind != Service:
		return fail("upstream.kind", "write \"engine\" or \"service\"")
	case role == fleet.AgentRole && p.Upstream.Target == "":
		return fail("upstream.target", "give the service or model group that the upstream belongs to")
	case p.LogFormat != log.Text && p.LogFormat != log.JSON:
		return fail("log-format", "write \"text\" or \"json\"")
	case p.MemoryMegabytes < 0:
		return fail("memory-megabytes", "give the memory that the process may take, such as 256, or leave it out")
	case p.Descriptors < 0:
		return fail("descriptors", "give the number of file descriptors that the process may have, such as 4096, or leave it out")
	case (p.TLS.Certificate == "") != (p.TLS.Key == "") || (p.TLS.Certificate == "") != (p.TLS.Authority == ""):
		return fail("tls", "give certificate, key and authority together")
	}
	return errors.Join(p.checkDirect(), p.checkExposure())
}

// checkDirect checks the settings of a process on the prepared platform.
func (p Process) checkDirect() error {
	d := p.Direct
	switch {
	case d == nil:
		return nil
	case !p.Platform.IsValid():
		return oops.Code("invalid-settings").Errorf("platform: give the address of the platform's store")
	case d.DrainTime <= 0 || d.Grace <= 0 || d.RetryWindow <= 0:
		return oops.Code("invalid-settings").Errorf("direct: drain-time, grace and retry-window: give times above 0, such as \"2s\"")
	case d.RetryRatio < 0 || d.RetrySlack < 0:
		return oops.Code("invalid-settings").Errorf("direct: retry-ratio and retry-slack: give numbers of 0 or more")
	case d.EvacuationTime < 0:
		return oops.Code("invalid-settings").Errorf("direct: evacuation-time: give a time above 0, such as \"5s\", or leave it out")
	case d.ColdFactor < 0 || d.ColdSlack < 0:
		return oops.Code("invalid-settings").Errorf("direct: cold-factor and cold-slack: give numbers of 0 or more")
	case d.Admission != AdmitAll && d.Admission != AdmitInTime:
		return oops.Code("invalid-settings").Errorf("direct: admission: write \"in-time\", or leave it out")
	}
	return nil
}

// checkExposure returns an error if Listen, PeerListen or DebugListen is not a
// loopback address, and the settings neither name TLS certificates nor allow plain
// connections.
func (p Process) checkExposure() error {
	if p.PlainOutsideLoopback || p.TLS.Certificate != "" {
		return nil
	}
	for _, a := range []netip.AddrPort{p.Listen, p.PeerListen, p.DebugListen} {
		if a.IsValid() && !a.Addr().IsLoopback() {
			return oops.Code("invalid-settings").Errorf("%s: is not a loopback address; name tls certificates, or set plain-outside-loopback to true", a)
		}
	}
	return nil
}
