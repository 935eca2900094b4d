package operator

import (
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// Status is the reply of /v1/status.
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

// Document is the state of one published key.
type Document struct {
	Key string `json:"key"`
	// InForce and Refused are revisions; zero means none.
	InForce uint64 `json:"in_force"`
	Refused uint64 `json:"refused,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// View is how the VM sees its region.
type View struct {
	Revision uint64   `json:"revision"`
	Region   []Member `json:"region"`
	// Lenders are the VMs whose shares of the limits this VM holds now, of so
	// many by which a limit is divided.
	Lenders int `json:"lenders"`
	Of      int `json:"of"`
}

// Member is one VM of the region.
type Member struct {
	VM        string `json:"vm"`
	Reachable bool   `json:"reachable"`
	Leaving   bool   `json:"leaving"`
}

// Load is what the VM does now, in calls.
type Load struct {
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
}

// Timeline is the reply of /v1/timeline.
type Timeline struct {
	Events []timeline.Event `json:"events"`
	// Unreached are the VMs whose events are missing.
	Unreached []string `json:"unreached,omitempty"`
}

// Health is the reply of /healthz and /readyz.
type Health struct {
	OK bool `json:"ok"`
}

// Failure is the body of a refused request.
type Failure struct {
	Error FailureBody `json:"error"`
}

// FailureBody says why.
type FailureBody struct {
	Code    result.Code  `json:"code"`
	Name    string       `json:"name"`
	Class   result.Class `json:"class"`
	Message string       `json:"message"`
}
