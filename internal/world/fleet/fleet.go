// Package fleet defines the data types of the instances of a deployment, and the names
// of the store objects that are replicated to every process. It makes no decisions.
package fleet

import (
	"encoding/json"
	"net/netip"

	"github.com/samber/oops"
)

// FailureDomain is the name of a set of instances that are likely to fail together.
type FailureDomain string

// Region is the name of a set of failure domains, such as those of one country.
type Region string

// Role is the kind of process that an instance runs.
type Role string

// The roles of an instance.
const (
	EntryRole Role = "entry"
	AgentRole Role = "agent"
)

// Instance is one element of the platform's list of instances. Address is where its
// process serves the other processes.
type Instance struct {
	Name          string         `json:"name"`
	Role          Role           `json:"role"`
	FailureDomain FailureDomain  `json:"failure-domain"`
	Address       netip.AddrPort `json:"address"`
	// DebugAddress is where the process serves its status and dumps. It is invalid if
	// these are not reachable.
	DebugAddress netip.AddrPort `json:"debug-address,omitzero"`
	// Leaving means that the instance is draining.
	Leaving bool `json:"leaving,omitempty"`
}

// Prefixes of the names of the store objects that every process keeps a copy of.
const (
	// ReplicatedPrefix is the prefix of all objects that are replicated to every
	// process.
	ReplicatedPrefix = "fleet/"
	InstancePrefix   = ReplicatedPrefix + "instance/"
	SettingsPrefix   = ReplicatedPrefix + "settings/"
)

// ParseInstance decodes the value of an instance object. It returns an error with the
// code "instance-malformed" if the value is not valid JSON or lacks a name or an address.
func ParseInstance(value []byte) (Instance, error) {
	var i Instance
	if err := json.Unmarshal(value, &i); err != nil {
		return Instance{}, oops.Code("instance-malformed").Wrapf(err, "read instance object")
	}
	if i.Name == "" || !i.Address.IsValid() {
		return Instance{}, oops.Code("instance-malformed").Errorf("instance object lacks a name or an address: %s", value)
	}
	if i.Address.Port() == 0 || i.Address.Addr().IsUnspecified() {
		return Instance{}, oops.Code("instance-malformed").Errorf("no instance can be reached at %s", i.Address)
	}
	return i, nil
}
