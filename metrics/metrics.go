// Package metrics counts what one VM does, for the operators' monitoring. No
// label holds a workspace, a request or anything of a payload; label values come
// from fixed sets and the platform's regions, so the number of series is bounded.
package metrics

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/platform"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

const namespace = "fuchsianotch"

// Direction is the way that control bytes go, as seen from this VM.
type Direction string

// The directions.
const (
	DirectionIn  Direction = "in"
	DirectionOut Direction = "out"
)

// Message is a kind of control message between VMs.
type Message string

// The control messages.
const (
	MessageHeartbeat Message = "heartbeat"
	MessageDocuments Message = "documents"
	MessageLease     Message = "lease"
	MessageHandOver  Message = "hand_over"
	MessageEvents    Message = "events"
)

// readOK is the outcome of a platform read without an error.
const readOK = "ok"

// firstTokenBuckets reach from a warm short prompt to a queue of reports, in
// seconds; answerBuckets from a plain service to a long report.
var (
	firstTokenBuckets = prometheus.ExponentialBuckets(0.005, 2, 14)
	answerBuckets     = prometheus.ExponentialBuckets(0.005, 2, 18)
)

// Metrics are the counters of one VM in their own registry. Its methods may be
// called from any goroutine.
type Metrics struct {
	registry *prometheus.Registry

	calls      *prometheus.CounterVec
	firstToken *prometheus.HistogramVec
	answer     *prometheus.HistogramVec
	tokens     *prometheus.CounterVec
	spend      prometheus.Counter
	sentAway   *prometheus.CounterVec
	forwards   *prometheus.CounterVec
	retries    prometheus.Counter

	limitRefused *prometheus.CounterVec
	limitAsked   *prometheus.CounterVec
	throttled    *prometheus.CounterVec
	permits      *prometheus.CounterVec
	workspaces   workspaceNames

	refused   prometheus.Gauge
	revision  prometheus.Gauge
	reachable prometheus.Gauge
	queue     prometheus.Gauge
	inFlight  prometheus.Gauge

	controlBytes    *prometheus.CounterVec
	controlPayload  *prometheus.CounterVec
	controlMessages *prometheus.CounterVec
	platformReads   *prometheus.CounterVec

	members   *prometheus.GaugeVec
	endpoints *prometheus.GaugeVec
	held      prometheus.Gauge
	version   prometheus.Gauge
	age       prometheus.Gauge
	linesLost prometheus.Counter
}

// New makes metrics that start at zero, with those of the Go runtime and the process.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),

		calls:      counters("calls_total", "Calls answered to callers.", "code", "class", "kind", "priority"),
		firstToken: histograms("first_token_seconds", "Time from a call's arrival to its first token.", firstTokenBuckets),
		answer:     histograms("answer_seconds", "Time from a call's arrival to the end of its whole answer.", answerBuckets),
		tokens:     counters("tokens_total", "Tokens used by answers.", "kind"),
		spend:      counter("spend_millionths_total", "Spend settled, in millionths of the currency."),
		sentAway:   counters("sent_away_total", "Calls sent to another region.", "to"),
		forwards:   counters("forwards_total", "Calls forwarded to another VM.", "outcome"),
		retries:    counter("retries_total", "Attempts after the first of a call."),

		limitRefused: counters("limit_refused_total", "Calls that the limits of their workspaces did not admit, by workspace.", "workspace"),
		limitAsked:   counters("limit_asked_total", "Calls that waited for the word of the VM that keeps their workspace's limit.", "outcome"),

		throttled: counters("throttled_sends_total", "Requests sent to endpoints that have named a limit, by the way on which they came.", "way"),
		permits:   counters("permits_asked_total", "Questions to the VMs that keep endpoints' limits for one request each.", "outcome"),

		refused:   gauge("refused_documents", "Documents refused whose key has no accepted higher revision."),
		revision:  gauge("documents_revision", "Highest revision of a document seen."),
		reachable: gauge("vms_reachable", "VMs of the own region that are reached, with this one."),
		queue:     gauge("queue_length", "Calls that wait for an endpoint."),
		inFlight:  gauge("in_flight", "Calls being served."),

		controlBytes:    counters("control_bytes_total", "Bytes on the connections between VMs, forwarded calls included.", "direction"),
		controlPayload:  counters("control_payload_bytes_total", "Bytes of the messages with which this VM asked others and of their answers, without frames.", "kind", "scope", "direction"),
		controlMessages: counters("control_messages_total", "Control messages sent to other VMs.", "kind"),
		platformReads:   counters("platform_reads_total", "Reads at the platform.", "outcome"),

		members:   gauges("members", "VMs known, by state and region.", "state", "region"),
		endpoints: gauges("endpoints", "Endpoints of the own region, by state.", "state"),
		held:      gauge("calls_held", "Calls that endpoints do not get, as those that ran them crashed."),
		version:   gauge("routes_version", "Version of the table of routes in force."),
		age:       gauge("published_age_seconds", "Time since this VM last knew that it holds what the store holds."),
		linesLost: counter("log_lines_dropped_total", "Log lines dropped as the ring was full."),
	}
	m.registry.MustRegister(
		m.calls, m.firstToken, m.answer, m.tokens, m.spend, m.sentAway, m.forwards, m.retries,
		m.limitRefused, m.limitAsked, m.throttled, m.permits,
		m.refused, m.revision, m.reachable, m.queue, m.inFlight,
		m.controlBytes, m.controlPayload, m.controlMessages, m.platformReads,
		m.members, m.endpoints, m.held, m.version, m.age, m.linesLost,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

// Handler serves the metrics in the format that the scraper asks for.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{
		Registry: m.registry,
	})
}

// CallEnded counts one answer to a caller with its times and tokens.
func (m *Metrics) CallEnded(c *call.Call, o call.Outcome, arrivedAt, now time.Time) {
	priority := c.Priority.String()
	m.calls.WithLabelValues(strconv.Itoa(int(o.Code)), string(o.Code.Class()), kindName(c.Kind), priority).Inc()
	if !o.FirstAt.IsZero() {
		m.firstToken.WithLabelValues(priority).Observe(o.FirstAt.Sub(arrivedAt).Seconds())
	}
	if o.Code.Class() == result.ClassDone {
		m.answer.WithLabelValues(priority).Observe(now.Sub(arrivedAt).Seconds())
	}
	m.used(o.Usage)
}

// used counts tokens. Cached ones are prompt tokens too.
func (m *Metrics) used(u call.Usage) {
	m.tokens.WithLabelValues("prompt").Add(float64(u.PromptTokens))
	m.tokens.WithLabelValues("cached").Add(float64(u.CachedTokens))
	m.tokens.WithLabelValues("generated").Add(float64(u.GeneratedTokens))
}

// Spent counts settled spend in millionths of the currency.
func (m *Metrics) Spent(millionths float64) {
	m.spend.Add(millionths)
}

// SentAway counts a call sent to another region.
func (m *Metrics) SentAway(region string) {
	m.sentAway.WithLabelValues(region).Inc()
}

// Forwarded counts a call forwarded to another VM, by the class of its outcome.
func (m *Metrics) Forwarded(outcome result.Class) {
	m.forwards.WithLabelValues(string(outcome)).Inc()
}

// Retried counts an attempt after the first of a call.
func (m *Metrics) Retried() {
	m.retries.Inc()
}

// SetDocuments sets the number of refused documents and the highest revision seen.
func (m *Metrics) SetDocuments(refused int, revision uint64) {
	m.refused.Set(float64(refused))
	m.revision.Set(float64(revision))
}

// SetReachable sets the number of VMs of the own region that are reached.
func (m *Metrics) SetReachable(vms int) {
	m.reachable.Set(float64(vms))
}

// SetQueue sets the number of calls that wait for an endpoint.
func (m *Metrics) SetQueue(calls int) {
	m.queue.Set(float64(calls))
}

// AddInFlight changes the number of calls being served, by 1 or -1.
func (m *Metrics) AddInFlight(calls int) {
	m.inFlight.Add(float64(calls))
}

// Control counts bytes of control messages.
func (m *Metrics) Control(d Direction, bytes int) {
	m.controlBytes.WithLabelValues(string(d)).Add(float64(bytes))
}

// ControlPayload counts the bytes of messages to another VM, and of its answers.
func (m *Metrics) ControlPayload(kind string, far bool, sent, received int) {
	scope := "region"
	if far {
		scope = "between_regions"
	}
	m.controlPayload.WithLabelValues(kind, scope, string(DirectionOut)).Add(float64(sent))
	m.controlPayload.WithLabelValues(kind, scope, string(DirectionIn)).Add(float64(received))
}

// ControlMessage counts a control message sent to another VM.
func (m *Metrics) ControlMessage(kind Message) {
	m.controlMessages.WithLabelValues(string(kind)).Inc()
}

// PlatformRead counts a read at the platform by its error, which may be nil.
func (m *Metrics) PlatformRead(err error) {
	outcome := readOK
	if err != nil {
		outcome = string(platform.KindOutage)
	}
	var failed *platform.Error
	if errors.As(err, &failed) {
		outcome = string(failed.Kind)
	}
	m.platformReads.WithLabelValues(outcome).Inc()
}

// SetMembers replaces the numbers of VMs by region, those reached and those suspected.
func (m *Metrics) SetMembers(reached, suspected map[string]int) {
	m.members.Reset()
	for region, count := range reached {
		m.members.WithLabelValues("reached", region).Set(float64(count))
	}
	for region, count := range suspected {
		m.members.WithLabelValues("suspected", region).Set(float64(count))
	}
}

// SetEndpoints sets the numbers of the own region's endpoints that take work,
// warm and cold.
func (m *Metrics) SetEndpoints(warm, cold int) {
	m.endpoints.WithLabelValues("warm").Set(float64(warm))
	m.endpoints.WithLabelValues("cold").Set(float64(cold))
}

// SetHeld sets how many calls are held as endpoints crashed under them.
func (m *Metrics) SetHeld(calls int) {
	m.held.Set(float64(calls))
}

// SetRoutes sets the version of the table in force.
func (m *Metrics) SetRoutes(version uint64) {
	m.version.Set(float64(version))
}

// SetPublishedAge sets how long ago this VM knew that it holds what the store holds.
func (m *Metrics) SetPublishedAge(age time.Duration) {
	m.age.Set(age.Seconds())
}

// ThrottledSend counts a request to an endpoint that has named a limit.
func (m *Metrics) ThrottledSend(way throttle.Way) {
	m.throttled.WithLabelValues(string(way)).Inc()
}

// PermitAsked counts a question for a request to an endpoint with a limit.
func (m *Metrics) PermitAsked(outcome string) {
	m.permits.WithLabelValues(outcome).Inc()
}

// LinesDropped counts log lines that were dropped.
func (m *Metrics) LinesDropped(lines int64) {
	m.linesLost.Add(float64(lines))
}

func kindName(k call.Kind) string {
	switch k {
	case call.KindService:
		return "service"
	case call.KindRouted:
		return "routed"
	default:
		return "chat"
	}
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	})
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	})
}

func gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	}, labels)
}

func histograms(name, help string, buckets []float64) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
		Buckets:   buckets,
	}, []string{"priority"})
}
