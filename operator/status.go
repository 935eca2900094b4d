package operator

import (
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// Status is the response of /v1/status.
type Status struct {
	VM           string     `json:"vm"`
	Region       string     `json:"region"`
	DataCentre   string     `json:"data_centre"`
	Incarnation  uint64     `json:"incarnation"`
	Ready        bool       `json:"ready"`
	Leaving      bool       `json:"leaving"`
	Documents    []Document `json:"documents"`
	ListRevision uint64     `json:"list_revision"`
	View         View       `json:"view"`
	Load         Load       `json:"load"`
}

// Document is the state of one published document.
type Document struct {
	Key string `json:"key"`
	// Active is the active revision and Rejected the rejected one; zero means none.
	Active   uint64 `json:"in_force"`
	Rejected uint64 `json:"refused,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// View is the VM's membership view of its region.
type View struct {
	Revision uint64   `json:"revision"`
	Region   []Member `json:"region"`
	// LenderCount counts the VMs that lease their share of the limits to this VM,
	// itself included. Of is the number of shares that a limit is divided into.
	LenderCount int `json:"lenders"`
	ShareCount  int `json:"of"`
}

// Member is one VM of the region.
type Member struct {
	VM        string `json:"vm"`
	Reachable bool   `json:"reachable"`
	Leaving   bool   `json:"leaving"`
}

// Load is the VM's current load, in calls.
type Load struct {
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
}

// Timeline is the response of /v1/timeline.
type Timeline struct {
	Events []timeline.Event `json:"events"`
	// Unreachable are the VMs whose events are missing.
	Unreachable []string `json:"unreached,omitempty"`
}

// Health is the response of /healthz and /readyz.
type Health struct {
	OK bool `json:"ok"`
}

// ErrorResponse is the body of a rejected request.
type ErrorResponse struct {
	Error Error `json:"error"`
}

// Error describes why a request was rejected.
type Error struct {
	Code    result.Code  `json:"code"`
	Name    string       `json:"name"`
	Class   result.Class `json:"class"`
	Message string       `json:"message"`
}
