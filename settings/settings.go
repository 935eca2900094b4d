// Package settings loads and validates the settings of a gateway process, which are
// read once at startup from a file of JSON with comments.
//
// Durations are relative to an event, such as a connection's next request. The code
// that handles the event converts them to a deadline.
package settings

import (
	"os"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/jsonc"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// MaxBytes is the maximum size of a settings file.
const MaxBytes = 1 << 20

// Settings configures a gateway process.
type Settings struct {
	// VM is this VM's id in the platform's list of VMs.
	VM         string `json:"vm"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// CallerListen, PeerListen and OperatorListen are "ip:port"; port 0 lets the kernel choose.
	CallerListen   string `json:"caller_listen"`
	PeerListen     string `json:"peer_listen"`
	OperatorListen string `json:"operator_listen"`
	// PlatformURL is the base URL of the platform's configuration service.
	PlatformURL string `json:"platform_url"`
	// PeerKey is a secret shared by all VMs; if set, peers without it are rejected.
	PeerKey string `json:"peer_key,omitempty"`
	// PeerRoutes overrides the listed peer addresses of some VMs.
	PeerRoutes []PeerRoute `json:"peer_routes,omitempty"`
	// Seeds lists peer addresses, as "ip:port", to fetch documents from while the
	// platform is down and no list of VMs is known; may be empty.
	Seeds []string `json:"seeds,omitempty"`
	// LogFormat is "text" or "json"; LogLevel is "debug", "info", "warn" or "error".
	LogFormat string `json:"log_format"`
	LogLevel  string `json:"log_level"`

	Limits   Limits   `json:"limits"`
	Queue    Queue    `json:"queue"`
	Records  Records  `json:"records"`
	Policies Policies `json:"policies"`

	// TimelineEvents is the number of events that the timeline keeps.
	TimelineEvents int `json:"timeline_events"`
	// TicketTTL is how long a ticket is valid after its issue, and how long the
	// answer to its call is kept.
	TicketTTL jsonc.Duration `json:"ticket_good_for"`
	// EntriesTTL is how long a caller may cache its list of entry VMs.
	EntriesTTL jsonc.Duration `json:"entries_good_for"`
	// StopTimeout is the timeout for draining before a planned stop. Calls in flight end
	// by then, unless their own deadlines are later.
	StopTimeout jsonc.Duration `json:"stop_within"`
	// HeartbeatEvery and LeaseTerm apply to a small fleet; both increase with its size.
	HeartbeatEvery jsonc.Duration `json:"heartbeat_every"`
	LeaseTerm      jsonc.Duration `json:"lease_term"`
	// EndpointReportEvery is the interval at which each endpoint is polled for its load.
	EndpointReportEvery jsonc.Duration `json:"endpoint_report_every"`
}

// PeerRoute is the address of a VM whose listed peer address is unreachable from here.
type PeerRoute struct {
	VM string `json:"vm"`
	// Addr is "ip:port".
	Addr string `json:"addr"`
}

// Limits holds the limits on callers' requests and connections.
type Limits struct {
	MaxBodyBytes             int `json:"max_body_bytes"`
	MaxHeaderBytes           int `json:"max_header_bytes"`
	MaxConnections           int `json:"max_connections"`
	MaxConnectionsPerAddress int `json:"max_connections_per_address"`
	// HeaderWithin and BodyWithin are the timeouts for reading a request's header and
	// body.
	HeaderWithin jsonc.Duration `json:"header_within"`
	BodyWithin   jsonc.Duration `json:"body_within"`
	// IdleWithin is the timeout for a connection's next request.
	IdleWithin jsonc.Duration `json:"idle_within"`
}

// Queue configures the queue of calls for one model or service.
type Queue struct {
	Length int `json:"length"`
	// ReportShare is the fraction of the slots, from 0 to 1, that calls of priority
	// "report" may occupy under the admission policy "priority".
	ReportShare float64 `json:"report_share"`
}

// Records limits the number and total size of the answers kept for tickets.
type Records struct {
	Count int `json:"count"`
	Bytes int `json:"bytes"`
}

// Policies selects the algorithm for each kind of decision. The first of each list in
// policies.go is the default; the others are baselines for comparison.
type Policies struct {
	Routing   string `json:"routing"`
	Admission string `json:"admission"`
	Borrowing string `json:"borrowing"`
	Limits    string `json:"limits"`
}

// Default returns the default settings. VM, Region, DataCentre and PlatformURL have no
// default.
func Default() Settings {
	return Settings{
		CallerListen:        "127.0.0.1:7101",
		PeerListen:          "127.0.0.1:7102",
		OperatorListen:      "127.0.0.1:7103",
		LogFormat:           LogFormats[0],
		LogLevel:            "info",
		Limits:              defaultLimits(),
		Queue:               defaultQueue(),
		Records:             defaultRecords(),
		Policies:            defaultPolicies(),
		TimelineEvents:      65_536,
		TicketTTL:           duration(2 * time.Minute),
		EntriesTTL:          duration(30 * time.Second),
		StopTimeout:         duration(10 * time.Minute),
		HeartbeatEvery:      duration(500 * time.Millisecond),
		LeaseTerm:           duration(1500 * time.Millisecond),
		EndpointReportEvery: duration(time.Second),
	}
}

func defaultLimits() Limits {
	return Limits{
		MaxBodyBytes:             1 << 20,
		MaxHeaderBytes:           16 << 10,
		MaxConnections:           8_192,
		MaxConnectionsPerAddress: 1_024,
		HeaderWithin:             duration(5 * time.Second),
		BodyWithin:               duration(30 * time.Second),
		IdleWithin:               duration(75 * time.Second),
	}
}

func defaultQueue() Queue {
	return Queue{
		Length:      256,
		ReportShare: 0.5,
	}
}

func defaultRecords() Records {
	return Records{
		Count: 65_536,
		Bytes: 64 << 20,
	}
}

func defaultPolicies() Policies {
	return Policies{
		Routing:   RoutingPolicies[0],
		Admission: AdmissionPolicies[0],
		Borrowing: BorrowingPolicies[0],
		Limits:    LimitsPolicies[0],
	}
}

func duration(d time.Duration) jsonc.Duration {
	return jsonc.Duration{
		Duration: d,
	}
}

// Load reads and validates a settings file. Refusals have codes 5001 to 5004.
func Load(path string) (*Settings, *result.Refusal) {
	data, refusal := read(path)
	if refusal != nil {
		return nil, refusal
	}
	return Parse(path, data)
}

func read(path string) ([]byte, *result.Refusal) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, result.Refuse(result.SettingFile, "%s: want a file that can be read: %v", path, err).WithCause(err)
	}
	return data, nil
}

// Parse decodes and validates settings; name is used in messages.
func Parse(name string, data []byte) (*Settings, *result.Refusal) {
	s := Default()
	if refusal := decode(name, data, &s, (*verifier).settings); refusal != nil {
		return nil, refusal
	}
	return &s, nil
}

// decode decodes data into settings that hold the defaults, and validates them.
func decode[T any](name string, data []byte, into *T, check func(*verifier, *T)) *result.Refusal {
	if len(data) > MaxBytes {
		return result.Refuse(result.SettingFile, "%s: want at most %d bytes", name, MaxBytes)
	}
	if problem := jsonc.DecodeInto(name, data, into); problem != nil {
		return refusalFrom(problem)
	}
	v := verifier{
		Verifier: jsonc.Verifier{
			File: name,
			Data: data,
		},
	}
	check(&v, into)
	if problem := v.Problem(); problem != nil {
		return refusalFrom(problem)
	}
	return nil
}

func refusalFrom(p *jsonc.Problem) *result.Refusal {
	return result.Refuse(codeOf(p.Kind), "%s", p.Error())
}

func codeOf(kind jsonc.Kind) result.Code {
	switch kind {
	case jsonc.KindSyntax:
		return result.SettingSyntax
	case jsonc.KindUnknown:
		return result.SettingUnknownField
	default:
		return result.SettingValue
	}
}
