// Package contract defines and validates the documents that operators publish:
// contracts grouped in buckets, models with services, and regions. Validation
// depends only on a document's key and bytes, so every VM accepts or rejects the
// same documents.
package contract

import "time"

// FormatVersion is the only document format that this build accepts.
const FormatVersion = 1

// Contract holds the API keys, limits and latency targets of one workspace.
type Contract struct {
	Workspace string `json:"workspace"`
	// Keys holds hashes only; a caller presents "<workspace>.<secret>".
	Keys []Key `json:"keys"`
	// Home is the workspace's home region. It must be listed in Regions.
	Home string `json:"home"`
	// HomeOnly restricts the workspace's data to its home region.
	HomeOnly bool `json:"bound,omitempty"`
	// Regions lists the regions that may serve the workspace, with the limits of each.
	Regions []RegionLimits `json:"regions"`
	// Models and Services list what the workspace may call.
	Models   []string       `json:"models,omitempty"`
	Services []string       `json:"services,omitempty"`
	Latency  LatencyTargets `json:"answer"`
}

// Key is an API key of a workspace, published only as a hash of its secret.
type Key struct {
	// SHA256 is the lower-case hex digest of the secret part of the key.
	SHA256 string `json:"sha256"`
	// NotAfter is the key's expiry time; the zero time means that it never expires.
	NotAfter time.Time `json:"not_after,omitzero"`
}

// RegionLimits holds a contract's limits in one region. A limit of zero admits
// nothing.
type RegionLimits struct {
	Region            string  `json:"region"`
	RequestsPerSecond float64 `json:"requests_per_second"`
	// TokensPerSecond counts prompt and generated tokens together.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// SpendPerHour is in millionths of the contract's currency.
	SpendPerHour float64 `json:"spend_per_hour"`
	// Concurrency is the maximum number of calls in flight.
	Concurrency int `json:"concurrency"`
	// BorrowShare is the fraction of this region's token rate, from 0 to 1, that
	// other regions of the contract may serve. Zero disables borrowing.
	BorrowShare float64 `json:"borrow_share,omitempty"`
}

// LatencyTargets holds a workspace's latency targets. They are relative to a call's
// arrival, when they are converted to absolute deadlines.
type LatencyTargets struct {
	FirstTokenWithin Duration `json:"first_token_within"`
	WholeWithin      Duration `json:"whole_within"`
	// ReportWithin applies to calls of priority "report", which tolerate delay.
	ReportWithin Duration `json:"report_within"`
}

// Bucket is a document with the contracts of the workspaces that BucketOf
// assigns to it. A bucket with any other workspace is rejected.
type Bucket struct {
	Format    int        `json:"format"`
	Bucket    int        `json:"bucket"`
	Buckets   int        `json:"buckets"`
	Contracts []Contract `json:"contracts"`
}

// Models is the document that lists models and plain services.
type Models struct {
	Format   int       `json:"format"`
	Models   []Model   `json:"models"`
	Services []Service `json:"services"`
}

// Model describes a model that endpoints serve. Prices are in millionths of the
// currency per thousand tokens.
type Model struct {
	Model          string  `json:"model"`
	PromptPrice    float64 `json:"prompt_price"`
	GeneratedPrice float64 `json:"generated_price"`
	// MaxTokens is the maximum number of generated tokens per call, and the
	// estimate for calls that set no maximum.
	MaxTokens int `json:"max_tokens"`
}

// Service describes a plain HTTP service behind the gateway.
type Service struct {
	Service string `json:"service"`
	// CallPrice is the price per call, in millionths of the currency.
	CallPrice float64       `json:"call_price"`
	Calls     []ServiceCall `json:"calls"`
}

// ServiceCall sets the idempotency and priority of calls by method and path
// prefix. A call that matches none is non-idempotent unless its method is GET or
// HEAD.
type ServiceCall struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
	// Idempotent allows the gateway to retry the call.
	Idempotent bool `json:"idempotent"`
	// Priority is "urgent", "chat" or "report"; empty means "chat".
	Priority string `json:"priority,omitempty"`
}

// Regions is the document that lists regions and the links between them.
type Regions struct {
	Format  int      `json:"format"`
	Regions []Region `json:"regions"`
}

// Region describes a region, its data centres and its links.
type Region struct {
	Region      string   `json:"region"`
	DataCentres []string `json:"data_centres"`
	// Links holds estimates of the one-way latency to other regions.
	Links []Link `json:"links,omitempty"`
}

// Link is the network path from one region to another.
type Link struct {
	To     string   `json:"to"`
	OneWay Duration `json:"one_way"`
}
