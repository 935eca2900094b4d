package settings

import (
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/jsonc"
)

// Bounds of single settings; they only catch mistakes such as a wrong unit.
const (
	maxBytes       = 1 << 30
	minHeaderBytes = 1 << 10
	maxCount       = 1 << 24
	minInterval    = 10 * time.Millisecond
	maxInterval    = time.Minute
	maxDuration    = 24 * time.Hour
	// leaseHeartbeats is the minimum number of heartbeats in a lease term, so that a
	// lost heartbeat does not end the lease.
	leaseHeartbeats = 3
)

// verifier validates the values of decoded settings.
type verifier struct {
	jsonc.Verifier
}

func (v *verifier) settings(s *Settings) {
	v.Name("/vm", s.VM)
	v.Name("/region", s.Region)
	v.Name("/data_centre", s.DataCentre)
	v.listeners(s)
	v.peers(s)
	v.baseURL("/platform_url", s.PlatformURL)
	v.OneOf("/log_format", s.LogFormat, LogFormats)
	v.OneOf("/log_level", s.LogLevel, LogLevels)
	v.limits(&s.Limits)
	v.IntRange("/queue/length", s.Queue.Length, 1, maxCount)
	v.Number("/queue/report_share", s.Queue.ReportShare, 0, 1)
	v.IntRange("/records/count", s.Records.Count, 1, maxCount)
	v.IntRange("/records/bytes", s.Records.Bytes, 1, maxBytes)
	v.policies(&s.Policies)
	v.IntRange("/timeline_events", s.TimelineEvents, 1, maxCount)
	v.Duration("/ticket_good_for", s.TicketTTL, minInterval, maxDuration)
	v.Duration("/entries_good_for", s.EntriesTTL, minInterval, maxDuration)
	v.Duration("/stop_within", s.StopTimeout, minInterval, maxDuration)
	v.Duration("/heartbeat_every", s.HeartbeatEvery, minInterval, maxInterval)
	v.Duration("/lease_term", s.LeaseTerm, leaseHeartbeats*s.HeartbeatEvery.Duration, maxDuration)
	v.Duration("/endpoint_report_every", s.EndpointReportEvery, minInterval, maxInterval)
}

func (v *verifier) platform(s *Platform) {
	v.OneOf("/log_level", s.LogLevel, LogLevels)
	v.IntRange("/log_sample_every", s.LogSampleEvery, 0, maxCount)
	v.IntRange("/log_lines", s.LogLines, 1, maxLogLines)
	v.IntRange("/metrics_port", s.MetricsPort, 0, maxPort)
	for i, name := range s.Disabled {
		v.OneOf("/without/"+strconv.Itoa(i), name, Mechanisms)
	}
}

func (v *verifier) limits(l *Limits) {
	v.IntRange("/limits/max_body_bytes", l.MaxBodyBytes, 1, maxBytes)
	v.IntRange("/limits/max_header_bytes", l.MaxHeaderBytes, minHeaderBytes, maxBytes)
	v.IntRange("/limits/max_connections", l.MaxConnections, 1, maxCount)
	v.IntRange("/limits/max_connections_per_address", l.MaxConnectionsPerAddress, 1, maxCount)
	v.Duration("/limits/header_within", l.HeaderWithin, minInterval, maxDuration)
	v.Duration("/limits/body_within", l.BodyWithin, minInterval, maxDuration)
	v.Duration("/limits/idle_within", l.IdleWithin, minInterval, maxDuration)
}

func (v *verifier) policies(p *Policies) {
	v.OneOf("/policies/routing", p.Routing, RoutingPolicies)
	v.OneOf("/policies/admission", p.Admission, AdmissionPolicies)
	v.OneOf("/policies/borrowing", p.Borrowing, BorrowingPolicies)
	v.OneOf("/policies/limits", p.Limits, LimitsPolicies)
}

// listener is an address that the process listens on.
type listener struct {
	pointer string
	addr    string
}

// listeners checks that listen addresses are valid and distinct; port 0 may repeat.
func (v *verifier) listeners(s *Settings) {
	listeners := []listener{
		{
			pointer: "/caller_listen",
			addr:    s.CallerListen,
		},
		{
			pointer: "/peer_listen",
			addr:    s.PeerListen,
		},
		{
			pointer: "/operator_listen",
			addr:    s.OperatorListen,
		},
	}
	seen := jsonc.NameSet{}
	for _, f := range listeners {
		if addr := v.addr(f.pointer, f.addr); addr.Port() != 0 {
			v.Unique(seen, f.pointer, f.addr)
		}
	}
}

func (v *verifier) peers(s *Settings) {
	vms := jsonc.NameSet{}
	for i, route := range s.PeerRoutes {
		at := elementPointer("/peer_routes", i)
		v.Name(at+"/vm", route.VM)
		v.Unique(vms, at+"/vm", route.VM)
		v.addr(at+"/addr", route.Addr)
	}
	seeds := jsonc.NameSet{}
	for i, seed := range s.Seeds {
		at := elementPointer("/seeds", i)
		v.addr(at, seed)
		v.Unique(seeds, at, seed)
	}
}

func (v *verifier) addr(pointer, text string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(text)
	v.Require(err == nil, pointer, `an IP address with a port such as "127.0.0.1:7101"`)
	return addr
}

func elementPointer(pointer string, i int) string {
	return pointer + "/" + strconv.Itoa(i)
}

func (v *verifier) baseURL(pointer, text string) {
	u, err := url.Parse(text)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.RawQuery == "" && u.Fragment == ""
	v.Require(ok, pointer, `a base URL such as "http://127.0.0.1:7201"`)
}
