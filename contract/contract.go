// Package contract holds the documents that operators publish: contracts in
// buckets, models with services, and regions. One pure validator judges each
// document by its own bytes, so that every VM reaches the same verdict.
package contract

import "time"

// FormatVersion is the document format this build reads; others are refused.
const FormatVersion = 1

// Contract is everything agreed with one workspace. Every limit follows from it.
type Contract struct {
	Workspace string `json:"workspace"`
	// Keys hold hashes only; a caller's key is "<workspace>.<secret>".
	Keys []Key `json:"keys"`
	// Home is the region the workspace belongs to. It must be among Regions.
	Home string `json:"home"`
	// Bound forbids any region but Home to hold or see the workspace's data.
	Bound bool `json:"bound,omitempty"`
	// Regions may serve the workspace, each with its own part of the limits.
	Regions []RegionTerms `json:"regions"`
	// Models and Services are those that the workspace may call.
	Models   []string `json:"models,omitempty"`
	Services []string `json:"services,omitempty"`
	Answer   Answer   `json:"answer"`
}

// Key admits a caller. Only the hash of its secret is published.
type Key struct {
	// SHA256 is the lower-case hex digest of the secret part of the key.
	SHA256 string `json:"sha256"`
	// NotAfter ends the key; the zero time means no end.
	NotAfter time.Time `json:"not_after,omitzero"`
}

// RegionTerms is one region's part of a contract's limits.
// A limit of zero means that nothing of that kind is admitted.
type RegionTerms struct {
	Region            string  `json:"region"`
	RequestsPerSecond float64 `json:"requests_per_second"`
	// TokensPerSecond counts prompt and generated tokens together.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// SpendPerHour is in millionths of the contract's currency.
	SpendPerHour float64 `json:"spend_per_hour"`
	// Concurrency is the number of calls in flight at once.
	Concurrency int `json:"concurrency"`
	// BorrowShare is the part of this region's tokens, from 0 to 1, that may
	// be served by other regions of the contract. Zero forbids borrowing.
	BorrowShare float64 `json:"borrow_share,omitempty"`
}

// Answer is how fast the workspace must be answered. The bounds are relative to
// a call's arrival, so they are the one place where durations are stored; each
// call turns them into absolute deadlines when it arrives.
type Answer struct {
	FirstTokenWithin Duration `json:"first_token_within"`
	WholeWithin      Duration `json:"whole_within"`
	// ReportWithin bounds calls of priority report, which tolerate delay.
	ReportWithin Duration `json:"report_within"`
}

// Bucket is one published document with some of the contracts. A workspace
// belongs to the bucket BucketOf gives; a bucket holding another is refused.
type Bucket struct {
	Format    int        `json:"format"`
	Bucket    int        `json:"bucket"`
	Buckets   int        `json:"buckets"`
	Contracts []Contract `json:"contracts"`
}

// Models is the published document of models and plain services.
type Models struct {
	Format   int       `json:"format"`
	Models   []Model   `json:"models"`
	Services []Service `json:"services"`
}

// Model is one model that endpoints serve. Prices are in millionths of the
// currency for a thousand tokens.
type Model struct {
	Model          string  `json:"model"`
	PromptPrice    float64 `json:"prompt_price"`
	GeneratedPrice float64 `json:"generated_price"`
	// MaxTokens bounds the generated tokens of one call, and is the estimate
	// for a call that names no bound.
	MaxTokens int `json:"max_tokens"`
}

// Service is a plain HTTP service behind the system.
type Service struct {
	Service string `json:"service"`
	// CallPrice is charged for each call, in millionths of the currency.
	CallPrice float64       `json:"call_price"`
	Calls     []ServiceCall `json:"calls"`
}

// ServiceCall says how calls with one method and path prefix may be treated.
// A call that matches none is non-idempotent unless its method is GET or HEAD.
type ServiceCall struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
	// Idempotent calls may be repeated by the system.
	Idempotent bool `json:"idempotent"`
	// Priority is "urgent", "chat" or "report"; empty means chat.
	Priority string `json:"priority,omitempty"`
}

// Regions is the published document of regions and what lies between them.
type Regions struct {
	Format  int      `json:"format"`
	Regions []Region `json:"regions"`
}

// Region is one region with its data centres.
type Region struct {
	Region      string   `json:"region"`
	DataCentres []string `json:"data_centres"`
	// Links give the one-way delay to other regions, for estimates.
	Links []Link `json:"links,omitempty"`
}

// Link is the way from one region to another.
type Link struct {
	To     string   `json:"to"`
	OneWay Duration `json:"one_way"`
}
