// Package route holds the table of routes that operators publish: which
// service a request goes to, within which time, how often, and in which
// regions. It is pure data with lookups.
package route

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/fuchsianotch/fuchsianotch/apikey"
)

// Kind says what may be repeated.
type Kind string

// The kinds of routes.
const (
	KindIdempotent    Kind = "idempotent"
	KindNonIdempotent Kind = "non_idempotent"
	KindStream        Kind = "stream"
)

// Route is the terms of the requests of one host under one path prefix. Its
// times are relative to a request's arrival; whoever takes the request turns
// them into deadlines.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds a request's whole time, Objective is the time by which the
	// first byte earns full credit, Gap the longest pause between events that is
	// still on time. Zero means none.
	Timeout   time.Duration
	Objective time.Duration
	Gap       time.Duration
	// Rank is the priority, 0 first.
	Rank int
	// Shares split the requests between services by weight.
	Shares []Share
	// MaxAttempts bounds the endpoints that may run one request.
	MaxAttempts int
	// HasPrompts says that requests name the parts of their prompts.
	HasPrompts bool
	// Resumable says that a broken stream may go on at another endpoint.
	Resumable bool
	// Homes are the regions that may serve the requests; none means all.
	Homes []string
	// Public requests need no key.
	Public bool
}

// Share is one service's part of a route.
type Share struct {
	Service string
	Weight  int
}

// Service is what the operators say of the endpoints of one service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections of all callers to one endpoint.
	MaxConnections int
	// ColdFor is how long an endpoint is cold after its start, and
	// ColdPerSecond how many requests a second it then bears.
	ColdFor       time.Duration
	ColdPerSecond float64
	// IsEngine says that the endpoints are model engines, which report their load.
	IsEngine bool
	// CacheTokens is an engine's memory, in tokens.
	CacheTokens int
	// EventTokens is how many generated tokens one event of a stream holds.
	EventTokens int
}

// Limits bound what a caller's connection may cost; zero means no bound.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderWithin   time.Duration
	IdleWithin     time.Duration
}

// Options make up a Table.
type Options struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Keyed says that requests need a key, Workspaces are those that hold keys.
	Keyed      bool
	Workspaces []Workspace
}

// Table is all routes of one version. It never changes once it is made.
type Table struct {
	Version    uint64
	Limits     Limits
	byHost     map[string][]Route
	services   map[string]Service
	keyed      bool
	lastRank   int
	workspaces []Workspace
	byName     map[string]*Workspace
	byKey      map[apikey.Digest]keyEntry
}

// New makes a table.
func New(o Options) *Table {
	t := &Table{
		Version:    o.Version,
		Limits:     o.Limits,
		byHost:     make(map[string][]Route),
		services:   make(map[string]Service, len(o.Services)),
		keyed:      o.Keyed,
		workspaces: o.Workspaces,
	}
	t.indexWorkspaces()
	for _, r := range o.Routes {
		host := normalHost(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	t.lastRank = t.findLastRank()
	for _, s := range o.Services {
		t.services[s.Name] = s
	}
	return t
}

// Match finds the route of a host with the longest prefix that begins the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	list := t.byHost[normalHost(host)]
	for i := range list {
		if strings.HasPrefix(path, list[i].Prefix) {
			return &list[i], true
		}
	}
	return nil, false
}

// Bound returns the homes of each route of a host that is bound to some.
func (t *Table) Bound(host string) [][]string {
	var bound [][]string
	for _, r := range t.byHost[normalHost(host)] {
		if len(r.Homes) > 0 {
			bound = append(bound, r.Homes)
		}
	}
	return bound
}

// normalHost returns a host without its port, in lower case.
func normalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Service returns what is known of a service.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Pick draws a service by the weights; it is empty where no share has weight.
func (r *Route) Pick(draw uint64) string {
	sum := 0
	for _, s := range r.Shares {
		sum += max(s.Weight, 0)
	}
	if sum == 0 {
		return ""
	}
	left := int(draw % uint64(sum))
	for _, s := range r.Shares {
		left -= max(s.Weight, 0)
		if left < 0 {
			return s.Service
		}
	}
	return ""
}
