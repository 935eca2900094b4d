// Package fleet holds the plain data that describes where the system runs:
// the entry VMs, the endpoints behind them, and the list the platform publishes.
package fleet

import "cmp"

// State reports whether a VM or an endpoint takes new work.
type State string

// The states that the platform's list shows.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one entry VM as the platform lists it.
type VM struct {
	// ID is unique in the fleet and is reused when the VM is replaced under the same address.
	ID         string `json:"vm"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// CallerAddr, PeerAddr and OperatorAddr are "ip:port" of the three fronts.
	CallerAddr   string `json:"caller_addr"`
	PeerAddr     string `json:"peer_addr"`
	OperatorAddr string `json:"operator_addr"`
	State        State  `json:"state"`
}

// Endpoint is one replica of a model, or of a plain service, as the platform lists it.
type Endpoint struct {
	ID         string `json:"endpoint"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// Addr is "ip:port" of its HTTP server.
	Addr string `json:"addr"`
	// Model or Service is set, never both.
	Model   string `json:"model,omitempty"`
	Service string `json:"service,omitempty"`
	// Slots is how many requests the engine batches at once; zero means unknown.
	Slots int `json:"slots,omitempty"`
	// ChecksFence reports whether the endpoint refuses an order with an old fencing number.
	ChecksFence bool  `json:"checks_fence,omitempty"`
	State       State `json:"state"`
	// Incarnation is when this life of the endpoint began, by its own clock in
	// milliseconds since the epoch; zero means that it does not say. An endpoint that
	// starts again under its id has a higher one and knows nothing of before.
	Incarnation int64 `json:"incarnation,omitempty"`
}

// Serves names what the endpoint serves: its model or its service.
func (e Endpoint) Serves() string {
	return cmp.Or(e.Model, e.Service)
}

// List is the platform's list of VMs and endpoints. It lags behind the truth.
type List struct {
	// Revision rises with every change the platform makes to the list.
	Revision  uint64     `json:"revision"`
	VMs       []VM       `json:"vms"`
	Endpoints []Endpoint `json:"endpoints"`
}
