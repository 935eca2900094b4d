// Package settings holds what an operator sets for one gateway process, read
// once at its start from a file of JSON with comments.
//
// The settings that are durations are bounds relative to something that has
// not happened yet, such as a connection's next request. The code that meets
// the event turns them into a deadline and stores only that.
package settings

import (
	"os"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/jsonc"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// MaxBytes bounds a settings file.
const MaxBytes = 1 << 20

// Settings configure one gateway process.
type Settings struct {
	// VM is this VM's id as the platform's list shows it.
	VM         string `json:"vm"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// CallerListen, PeerListen and OperatorListen are "ip:port"; port 0 lets the kernel choose.
	CallerListen   string `json:"caller_listen"`
	PeerListen     string `json:"peer_listen"`
	OperatorListen string `json:"operator_listen"`
	// PlatformURL is the base URL of the platform's configuration service.
	PlatformURL string `json:"platform_url"`
	// PeerKey is a secret that all VMs share; when set, a peer without it is refused.
	PeerKey string `json:"peer_key,omitempty"`
	// PeerRoutes reach VMs under other addresses than the listed ones.
	PeerRoutes []PeerRoute `json:"peer_routes,omitempty"`
	// Seeds are "ip:port" of peer fronts to take documents from while the
	// platform is down and no list is known; may be empty.
	Seeds []string `json:"seeds,omitempty"`
	// LogFormat is "text" or "json"; LogLevel is "debug", "info", "warn" or "error".
	LogFormat string `json:"log_format"`
	LogLevel  string `json:"log_level"`

	Limits   Limits   `json:"limits"`
	Queue    Queue    `json:"queue"`
	Records  Records  `json:"records"`
	Policies Policies `json:"policies"`

	// TimelineEvents is the number of events kept on the time line.
	TimelineEvents int `json:"timeline_events"`
	// TicketGoodFor bounds the time between a ticket's issue and its use, and
	// how long the answer to its call is held.
	TicketGoodFor jsonc.Duration `json:"ticket_good_for"`
	// EntriesGoodFor is how long a caller may use the entry VMs it was told.
	EntriesGoodFor jsonc.Duration `json:"entries_good_for"`
	// StopWithin bounds a planned stop. Calls in flight end before it, unless
	// their own deadlines are later.
	StopWithin jsonc.Duration `json:"stop_within"`
	// HeartbeatEvery and LeaseTerm are those of a small fleet; both grow with it.
	HeartbeatEvery jsonc.Duration `json:"heartbeat_every"`
	LeaseTerm      jsonc.Duration `json:"lease_term"`
	// EndpointReportEvery is the interval at which each endpoint is asked for its load.
	EndpointReportEvery jsonc.Duration `json:"endpoint_report_every"`
}

// PeerRoute is the way to one VM whose listed peer address cannot be reached from here.
type PeerRoute struct {
	VM string `json:"vm"`
	// Addr is "ip:port".
	Addr string `json:"addr"`
}

// Limits bound what one caller connection may cost this process.
type Limits struct {
	MaxBodyBytes             int `json:"max_body_bytes"`
	MaxHeaderBytes           int `json:"max_header_bytes"`
	MaxConnections           int `json:"max_connections"`
	MaxConnectionsPerAddress int `json:"max_connections_per_address"`
	// HeaderWithin and BodyWithin bound the arrival of a request's parts.
	HeaderWithin jsonc.Duration `json:"header_within"`
	BodyWithin   jsonc.Duration `json:"body_within"`
	// IdleWithin bounds the wait for a connection's next request.
	IdleWithin jsonc.Duration `json:"idle_within"`
}

// Queue bounds the calls that wait for one model or service.
type Queue struct {
	Length int `json:"length"`
	// ReportShare is the part of the slots, from 0 to 1, that reports may hold under the policy priority.
	ReportShare float64 `json:"report_share"`
}

// Records bound the answers held for tickets.
type Records struct {
	Count int `json:"count"`
	Bytes int `json:"bytes"`
}

// Policies name the decision or a baseline for each kind of decision. The
// first of each list in policies.go is the decision and the default.
type Policies struct {
	Routing   string `json:"routing"`
	Admission string `json:"admission"`
	Borrowing string `json:"borrowing"`
	Limits    string `json:"limits"`
}

// Default returns the settings with every default. VM, Region, DataCentre and
// PlatformURL have none.
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
		TicketGoodFor:       within(2 * time.Minute),
		EntriesGoodFor:      within(30 * time.Second),
		StopWithin:          within(10 * time.Minute),
		HeartbeatEvery:      within(500 * time.Millisecond),
		LeaseTerm:           within(1500 * time.Millisecond),
		EndpointReportEvery: within(time.Second),
	}
}

func defaultLimits() Limits {
	return Limits{
		MaxBodyBytes:             1 << 20,
		MaxHeaderBytes:           16 << 10,
		MaxConnections:           8_192,
		MaxConnectionsPerAddress: 1_024,
		HeaderWithin:             within(5 * time.Second),
		BodyWithin:               within(30 * time.Second),
		IdleWithin:               within(75 * time.Second),
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

func within(d time.Duration) jsonc.Duration {
	return jsonc.Duration{
		Duration: d,
	}
}

// Load reads and checks a settings file. The codes are 5001 to 5004.
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
		return nil, result.Refuse(result.SettingFile, "%s: want a file that can be read: %v", path, err).Because(err)
	}
	return data, nil
}

// Parse checks settings that are in memory; the name is used in messages.
func Parse(name string, data []byte) (*Settings, *result.Refusal) {
	s := Default()
	if refusal := decode(name, data, &s, (*verifier).settings); refusal != nil {
		return nil, refusal
	}
	return &s, nil
}

// decode reads and checks one kind of settings, which hold the defaults before.
func decode[T any](name string, data []byte, into *T, check func(*verifier, *T)) *result.Refusal {
	if len(data) > MaxBytes {
		return result.Refuse(result.SettingFile, "%s: want at most %d bytes", name, MaxBytes)
	}
	if problem := jsonc.DecodeInto(name, data, into); problem != nil {
		return refuse(problem)
	}
	v := verifier{
		Verifier: jsonc.Verifier{
			File: name,
			Data: data,
		},
	}
	check(&v, into)
	if problem := v.Problem(); problem != nil {
		return refuse(problem)
	}
	return nil
}

func refuse(p *jsonc.Problem) *result.Refusal {
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
