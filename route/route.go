// Package route implements the routing table that operators publish. It maps a
// request's host and path to a service, timeouts, an attempt limit, a priority and
// the regions that may serve it.
package route

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/fuchsianotch/fuchsianotch/apikey"
)

// Kind says whether requests may be retried and whether responses are streamed.
type Kind string

// Kinds of routes.
const (
	KindIdempotent    Kind = "idempotent"
	KindNonIdempotent Kind = "non_idempotent"
	KindStream        Kind = "stream"
)

// Route configures the requests to one host under one path prefix. Its durations
// are relative to a request's arrival, when they are converted to deadlines.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout limits the total duration of a request. Objective is the target time
	// to first byte. Gap is the longest acceptable pause between events of a
	// stream. Zero means none.
	Timeout   time.Duration
	Objective time.Duration
	Gap       time.Duration
	// Rank is the priority; 0 is the highest.
	Rank int
	// Shares splits the requests between services by weight.
	Shares []Share
	// MaxAttempts is the maximum number of endpoints that may run one request.
	MaxAttempts int
	// HasPromptParts says that requests identify the parts of their prompts.
	HasPromptParts bool
	// Resumable says that another endpoint may resume an interrupted stream.
	Resumable bool
	// Homes lists the regions that may serve the requests; empty means all.
	Homes []string
	// Public says that requests need no API key.
	Public bool
}

// Share is the weight of one service in a route's traffic split.
type Share struct {
	Service string
	Weight  int
}

// Service configures the endpoints of one service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections limits the connections of all callers to one endpoint.
	MaxConnections int
	// ColdFor is the warm-up time after an endpoint's start, during which
	// ColdPerSecond limits its request rate.
	ColdFor       time.Duration
	ColdPerSecond float64
	// IsEngine says that the endpoints are model engines, which report their load.
	IsEngine bool
	// CacheCapacityTokens is the capacity of an engine's KV cache, in tokens.
	CacheCapacityTokens int
	// TokensPerEvent is the number of generated tokens per event of a stream.
	TokensPerEvent int
}

// Limits holds the limits on a caller's connection; zero means unlimited.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderWithin   time.Duration
	IdleWithin     time.Duration
}

// Options configures a Table.
type Options struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// RequireKey says that requests on routes that are not public need an API key of one
	// of Workspaces.
	RequireKey bool
	Workspaces []Workspace
}

// Table is one version of the routing table. It is immutable.
type Table struct {
	Version    uint64
	Limits     Limits
	byHost     map[string][]Route
	services   map[string]Service
	keyed      bool
	lastRank   int
	workspaces []Workspace
	byName     map[string]*Workspace
	// streamTimeout is the longest timeout of a route with streams.
	streamTimeout time.Duration
	byKey         map[apikey.Digest]keyEntry
}

// New builds a table and its indexes.
func New(o Options) *Table {
	t := &Table{
		Version:    o.Version,
		Limits:     o.Limits,
		byHost:     make(map[string][]Route),
		services:   make(map[string]Service, len(o.Services)),
		keyed:      o.RequireKey,
		workspaces: o.Workspaces,
	}
	t.indexWorkspaces()
	for _, r := range o.Routes {
		if r.Kind == KindStream {
			t.streamTimeout = max(t.streamTimeout, r.Timeout)
		}
		host := normalizeHost(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	t.lastRank = t.maxRank()
	for _, s := range o.Services {
		t.services[s.Name] = s
	}
	return t
}

// Match returns the host's route with the longest prefix of the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	list := t.byHost[normalizeHost(host)]
	for i := range list {
		if strings.HasPrefix(path, list[i].Prefix) {
			return &list[i], true
		}
	}
	return nil, false
}

// MatchTarget returns the host's route of a request target, which may have a query.
func (t *Table) MatchTarget(host, target string) (*Route, bool) {
	path, _, _ := strings.Cut(target, "?")
	return t.Match(host, path)
}

// StreamRoutes returns the routes with streams, in no particular order.
func (t *Table) StreamRoutes() []Route {
	var out []Route
	for _, list := range t.byHost {
		for _, r := range list {
			if r.Kind == KindStream {
				out = append(out, r)
			}
		}
	}
	return out
}

// StreamTimeout returns the longest timeout of the routes with streams; zero if there is none.
func (t *Table) StreamTimeout() time.Duration {
	return t.streamTimeout
}

// MayRepeat reports whether a request may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Serves reports whether a part of the route's requests goes to a service.
func (r *Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// RegionRestrictions returns the allowed regions of each route of a host that restricts them.
func (t *Table) RegionRestrictions(host string) [][]string {
	var bound [][]string
	for _, r := range t.byHost[normalizeHost(host)] {
		if len(r.Homes) > 0 {
			bound = append(bound, r.Homes)
		}
	}
	return bound
}

// normalizeHost strips the port and converts the host to lower case.
func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Service returns the configuration of a service.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// PickService maps a random number to a service in proportion to the weights. It returns ""
// if all weights are zero.
func (r *Route) PickService(draw uint64) string {
	sum := 0
	for _, s := range r.Shares {
		sum += max(s.Weight, 0)
	}
	if sum == 0 {
		return ""
	}
	offset := int(draw % uint64(sum))
	for _, s := range r.Shares {
		offset -= max(s.Weight, 0)
		if offset < 0 {
			return s.Service
		}
	}
	return ""
}
