package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/jsonc"
)

// Bounds of the settings. They keep a slip of the pen from stopping a VM, and
// are wide enough for any fleet that was measured.
const (
	maxNameLength  = 63
	nameCharacters = "abcdefghijklmnopqrstuvwxyz0123456789-"
	maxBytes       = 1 << 30
	minHeaderBytes = 1 << 10
	maxCount       = 1 << 24
	minInterval    = 10 * time.Millisecond
	maxInterval    = time.Minute
	maxDuration    = 24 * time.Hour
	// leaseHeartbeats is how many heartbeats a lease must outlast, so that one
	// lost heartbeat does not end it.
	leaseHeartbeats = 3
)

// check keeps the first problem found.
type check struct {
	name  string
	data  []byte
	first *jsonc.Problem
}

func (c *check) that(ok bool, pointer, format string, args ...any) {
	if ok || c.first != nil {
		return
	}
	c.first = jsonc.At(c.name, c.data, pointer, jsonc.KindValue, fmt.Sprintf(format, args...))
}

func (c *check) settings(s *Settings) {
	c.place("/vm", s.VM)
	c.place("/region", s.Region)
	c.place("/data_centre", s.DataCentre)
	c.listen("/caller_listen", s.CallerListen)
	c.listen("/peer_listen", s.PeerListen)
	c.listen("/operator_listen", s.OperatorListen)
	c.listenApart(s)
	c.baseURL("/platform_url", s.PlatformURL)
	c.oneOf("/log_format", s.LogFormat, LogFormats)
	c.oneOf("/log_level", s.LogLevel, LogLevels)
	c.limits(&s.Limits)
	c.whole("/queue/length", s.Queue.Length, 1, maxCount)
	c.that(s.Queue.ReportShare >= 0 && s.Queue.ReportShare <= 1, "/queue/report_share", "a number from 0 to 1")
	c.whole("/records/count", s.Records.Count, 1, maxCount)
	c.whole("/records/bytes", s.Records.Bytes, 1, maxBytes)
	c.policies(&s.Policies)
	c.whole("/timeline_events", s.TimelineEvents, 1, maxCount)
	c.duration("/ticket_good_for", s.TicketGoodFor, time.Second, maxDuration)
	c.duration("/entries_good_for", s.EntriesGoodFor, time.Second, maxDuration)
	c.duration("/stop_within", s.StopWithin, time.Second, maxDuration)
	c.duration("/heartbeat_every", s.HeartbeatEvery, minInterval, maxInterval)
	c.lease(s)
	c.duration("/endpoint_report_every", s.EndpointReportEvery, minInterval, maxInterval)
}

func (c *check) limits(l *Limits) {
	c.whole("/limits/max_body_bytes", l.MaxBodyBytes, 1, maxBytes)
	c.whole("/limits/max_header_bytes", l.MaxHeaderBytes, minHeaderBytes, maxBytes)
	c.whole("/limits/max_connections", l.MaxConnections, 1, maxCount)
	c.whole("/limits/max_connections_per_address", l.MaxConnectionsPerAddress, 1, maxCount)
	c.duration("/limits/header_within", l.HeaderWithin, minInterval, maxDuration)
	c.duration("/limits/body_within", l.BodyWithin, minInterval, maxDuration)
	c.duration("/limits/idle_within", l.IdleWithin, minInterval, maxDuration)
}

func (c *check) policies(p *Policies) {
	c.oneOf("/policies/routing", p.Routing, RoutingPolicies)
	c.oneOf("/policies/admission", p.Admission, AdmissionPolicies)
	c.oneOf("/policies/borrowing", p.Borrowing, BorrowingPolicies)
	c.oneOf("/policies/limits", p.Limits, LimitsPolicies)
}

func (c *check) place(pointer, name string) {
	ok := name != "" && len(name) <= maxNameLength && strings.Trim(name, nameCharacters) == ""
	c.that(ok, pointer, "a name of 1 to %d characters from a-z, 0-9 and -", maxNameLength)
}

func (c *check) listen(pointer, addr string) {
	_, err := netip.ParseAddrPort(addr)
	c.that(err == nil, pointer, `an IP number with a port such as "127.0.0.1:7101"`)
}

// listenApart checks that no two fronts ask for the same address, unless the
// kernel chooses the port.
func (c *check) listenApart(s *Settings) {
	const portOfKernel = ":0"
	seen := map[string]bool{}
	fronts := []struct {
		pointer string
		addr    string
	}{
		{pointer: "/caller_listen", addr: s.CallerListen},
		{pointer: "/peer_listen", addr: s.PeerListen},
		{pointer: "/operator_listen", addr: s.OperatorListen},
	}
	for _, f := range fronts {
		c.that(!seen[f.addr], f.pointer, "an address that no other front listens on")
		seen[f.addr] = !strings.HasSuffix(f.addr, portOfKernel)
	}
}

func (c *check) baseURL(pointer, text string) {
	u, err := url.Parse(text)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.RawQuery == "" && u.Fragment == ""
	c.that(ok, pointer, `a base URL such as "http://127.0.0.1:7201"`)
}

func (c *check) oneOf(pointer, value string, values []string) {
	c.that(slices.Contains(values, value), pointer, "one of %s", strings.Join(values, ", "))
}

func (c *check) whole(pointer string, value, low, high int) {
	c.that(value >= low && value <= high, pointer, "a whole number from %d to %d", low, high)
}

func (c *check) duration(pointer string, d jsonc.Duration, low, high time.Duration) {
	c.that(d.Duration >= low && d.Duration <= high, pointer, "a duration from %s to %s", low, high)
}

func (c *check) lease(s *Settings) {
	low := leaseHeartbeats * s.HeartbeatEvery.Duration
	c.duration("/lease_term", s.LeaseTerm, low, maxDuration)
}
