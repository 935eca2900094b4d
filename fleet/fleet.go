// Package fleet defines the gateway VMs, the endpoints behind them, and the platform's
// list of both.
package fleet

import "cmp"

// State says whether a VM or an endpoint takes new work.
type State string

// States in the platform's list.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is a gateway VM in the platform's list.
type VM struct {
	// ID is unique in the fleet. A VM that is replaced under the same address keeps it.
	ID         string `json:"vm"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// CallerAddr, PeerAddr and OperatorAddr are the "ip:port" of the three listeners.
	CallerAddr   string `json:"caller_addr"`
	PeerAddr     string `json:"peer_addr"`
	OperatorAddr string `json:"operator_addr"`
	State        State  `json:"state"`
	// Millicores is the CPU that the VM may use, in thousandths of a core. Zero means
	// unknown. Saturated says that it refuses calls for lack of it. VMs tell each other
	// both, and no list has them.
	Millicores uint32 `json:"-"`
	Saturated  bool   `json:"-"`
	// Incarnation is that of its process. It is set on members of a roster snapshot only.
	Incarnation uint64 `json:"-"`
}

// IsSameProcess reports whether other is the same process and not a restart under the same ID.
func (vm VM) IsSameProcess(other VM) bool {
	return vm.ID == other.ID && vm.Incarnation == other.Incarnation
}

// Endpoint is a replica of a model or plain service in the platform's list.
type Endpoint struct {
	ID         string `json:"endpoint"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// Addr is the "ip:port" of its HTTP server.
	Addr string `json:"addr"`
	// Exactly one of Model and Service is set.
	Model   string `json:"model,omitempty"`
	Service string `json:"service,omitempty"`
	// SoftwareVersion names the version of the endpoint's software. Versions have no order.
	SoftwareVersion string `json:"software_version,omitempty"`
	// Slots is the engine's maximum batch size in requests. Zero means unknown.
	Slots int `json:"slots,omitempty"`
	// ChecksFence reports whether the endpoint refuses orders with an outdated fencing
	// number.
	ChecksFence bool  `json:"checks_fence,omitempty"`
	State       State `json:"state"`
	// Incarnation is the endpoint's start time by its own clock, in milliseconds since
	// the epoch. Zero means unknown. An endpoint that restarts under its ID has a
	// higher one and has lost its state.
	Incarnation int64 `json:"incarnation,omitempty"`
}

// Serves returns the model or service that the endpoint serves.
func (e Endpoint) Serves() string {
	return cmp.Or(e.Model, e.Service)
}

// List is the platform's list of VMs and endpoints. It may be outdated.
type List struct {
	// Revision increases with every change of the list.
	Revision  uint64     `json:"revision"`
	VMs       []VM       `json:"vms"`
	Endpoints []Endpoint `json:"endpoints"`
}
