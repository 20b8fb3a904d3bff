// Package fleet owns the types that mirror the operator's world: instances,
// failure domains, upstreams and client accounts. It decides nothing.
package fleet

import (
	"encoding/json"
	"net/netip"

	"github.com/samber/oops"
)

// FailureDomain names a set of instances that fail together.
type FailureDomain string

// Role says what an instance runs.
type Role string

// The roles of an instance.
const (
	EntryRole Role = "entry"
	AgentRole Role = "agent"
)

// Instance is one machine of the platform's list. Address is where its
// process serves the other processes.
type Instance struct {
	Name          string         `json:"name"`
	Role          Role           `json:"role"`
	FailureDomain FailureDomain  `json:"failure-domain"`
	Address       netip.AddrPort `json:"address"`
	// DebugAddress is where status and dumps are read, if reachable.
	DebugAddress netip.AddrPort `json:"debug-address,omitzero"`
	Leaving      bool           `json:"leaving,omitempty"`
}

// Names of the objects that every process keeps a copy of.
const (
	// ReplicatedPrefix is the prefix of all objects that spread to every process.
	ReplicatedPrefix = "fleet/"
	InstancePrefix   = ReplicatedPrefix + "instance/"
	SettingsPrefix   = ReplicatedPrefix + "settings/"
)

// ParseInstance reads an instance object's value.
func ParseInstance(value []byte) (Instance, error) {
	var i Instance
	if err := json.Unmarshal(value, &i); err != nil {
		return Instance{}, oops.Code("instance-malformed").Wrapf(err, "read instance object")
	}
	if i.Name == "" || !i.Address.IsValid() {
		return Instance{}, oops.Code("instance-malformed").Errorf("instance object lacks a name or an address: %s", value)
	}
	return i, nil
}
