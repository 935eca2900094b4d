// Package metrics exports the Prometheus metrics of one VM. Label values come from
// fixed sets, the regions, and a bounded number of workspaces, so the number of
// series is bounded. No label holds request or payload data.
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
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/platform"
	"github.com/fuchsianotch/fuchsianotch/quarantine"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

const namespace = "fuchsianotch"

// Direction is the direction of traffic between VMs, as seen from this VM.
type Direction string

// Directions of traffic.
const (
	DirectionIn  Direction = "in"
	DirectionOut Direction = "out"
)

// Message is the kind of a control message between VMs.
type Message string

// Kinds of control messages.
const (
	MessageHeartbeat Message = "heartbeat"
	MessageDocuments Message = "documents"
	MessageLease     Message = "lease"
	MessageHandOver  Message = "hand_over"
	MessageEvents    Message = "events"
)

// readOutcomeOK labels a successful platform read.
const readOutcomeOK = "ok"

// Histogram buckets, in seconds: firstTokenBuckets from a short prompt with a warm
// cache to a queued report, answerBuckets from a plain service to a long report.
var (
	firstTokenBuckets = prometheus.ExponentialBuckets(0.005, 2, 14)
	answerBuckets     = prometheus.ExponentialBuckets(0.005, 2, 18)
)

// Metrics holds the metrics of one VM in a registry of its own. It is safe for
// concurrent use.
type Metrics struct {
	registry *prometheus.Registry
	vm       vmMetrics

	callsEnded       *prometheus.CounterVec
	firstTokenTime   *prometheus.HistogramVec
	answerTime       *prometheus.HistogramVec
	tokens           *prometheus.CounterVec
	spend            prometheus.Counter
	crossRegionCalls *prometheus.CounterVec
	forwards         *prometheus.CounterVec
	retries          prometheus.Counter
	endpointAnswers  *prometheus.CounterVec
	endpointRefusals *prometheus.CounterVec
	heldEvents       prometheus.Counter
	retryBudget      *prometheus.CounterVec
	retryBudgetVMs   prometheus.Gauge
	resumedStreams   *prometheus.CounterVec
	streamRecords    prometheus.Gauge
	storeViewAge     prometheus.Gauge
	droppedRecords   prometheus.Gauge

	limitRejections  *prometheus.CounterVec
	limitRequests    *prometheus.CounterVec
	rateLimitedSends *prometheus.CounterVec
	endpointNotices  *prometheus.CounterVec
	sendsAfterNotice *prometheus.CounterVec
	permitRequests   *prometheus.CounterVec
	snapshots        *prometheus.CounterVec
	placementRefused *prometheus.CounterVec
	fairShares       *prometheus.CounterVec
	returnedCalls    *prometheus.CounterVec
	workspaces       workspaceLabels

	rejectedDocuments prometheus.Gauge
	documentsRevision prometheus.Gauge
	reachableVMs      prometheus.Gauge
	queueLength       prometheus.Gauge
	inFlight          prometheus.Gauge

	controlBytes    *prometheus.CounterVec
	controlPayload  *prometheus.CounterVec
	controlMessages *prometheus.CounterVec
	platformReads   *prometheus.CounterVec

	members          *prometheus.GaugeVec
	endpoints        *prometheus.GaugeVec
	engineMemory     *prometheus.GaugeVec
	engineTokenTime  *prometheus.GaugeVec
	quarantinedCalls prometheus.Gauge
	quarantinedParts prometheus.Gauge
	suspectedParts   prometheus.Gauge
	routesVersion    prometheus.Gauge
	publishedAge     prometheus.Gauge
	storeEra         prometheus.Gauge
	linesDropped     prometheus.Counter
	slowStart        *slowStartMetrics
}

// New returns Metrics that include those of the Go runtime and the process.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),

		callsEnded:       newCounterVec("calls_total", "Calls answered to callers.", "code", "class", "kind", "priority"),
		firstTokenTime:   newHistogramVec("first_token_seconds", "Time from a call's arrival to its first token.", firstTokenBuckets),
		answerTime:       newHistogramVec("answer_seconds", "Time from a call's arrival to the end of its whole answer.", answerBuckets),
		tokens:           newCounterVec("tokens_total", "Tokens used by answers.", "kind"),
		spend:            newCounter("spend_millionths_total", "Spend settled, in millionths of the currency."),
		crossRegionCalls: newCounterVec("sent_away_total", "Calls sent to another region.", "to"),
		forwards:         newCounterVec("forwards_total", "Calls forwarded to another VM.", "outcome"),
		retries:          newCounter("retries_total", "Attempts after the first of a call."),
		endpointAnswers:  newCounterVec("endpoint_answers_total", "Answers that endpoints began, by what marks their end and whether they were whole.", "framing", "whole"),
		heldEvents:       newCounter("held_events_total", "Events of streams that waited for the next one, as their ids were doubtful."),
		endpointRefusals: newCounterVec("endpoint_refusals_total", "Answers of endpoints that say that they did not run the request, by what ties them to it.", "proof"),
		retryBudget:      newCounterVec("retry_budget_total", "Requests counted for the retry budget, and retries that it granted, refused or got back unsent.", "event", "service"),
		resumedStreams:   newCounterVec("streams_resumed_total", "Streams that callers asked to resume, by how their origin was found.", "origin"),
		storeViewAge:     newGauge("store_view_age_seconds", "Time since which changes of the store may be unknown to this VM."),
		streamRecords:    newGauge("stream_records", "Origins of streams that this VM holds."),
		droppedRecords:   newGauge("stream_records_dropped", "Origins of streams that this VM had no room for since its start."),
		retryBudgetVMs:   newGauge("retry_budget_vms", "VMs among which this VM divides the slack of the retry budget; zero while it uses none."),

		limitRejections: newCounterVec("limit_refused_total", "Calls that the limits of their workspaces did not admit, by workspace.", "workspace"),
		limitRequests:   newCounterVec("limit_asked_total", "Calls that waited for the word of the VM that keeps their workspace's limit.", "outcome"),

		rateLimitedSends: newCounterVec("throttled_sends_total", "Requests sent to endpoints that have named a limit, by the way on which they came.", "way"),
		endpointNotices:  newCounterVec("endpoint_notices_total", "Times at which endpoints said to this VM that they leave, or rest for some time.", "notice"),
		sendsAfterNotice: newCounterVec("sends_after_notice_total", "Requests sent to endpoints that had said that they leave, or rest, by the way on which they came.", "notice", "way"),
		placementRefused: newCounterVec("placement_refused_total", "Calls that no region was asked to serve.", "reason"),
		snapshots:        newCounterVec("snapshots_total", "Requests of other VMs for all that the store holds.", "outcome"),
		fairShares:       newCounterVec("fair_share_total", "Calls of workspaces that arrived while their service was short of capacity, by whether they were within the fair share, above it, or above it and refused.", "outcome"),
		returnedCalls:    newReturnedCalls(),
		permitRequests:   newCounterVec("permits_asked_total", "Questions to the VMs that keep endpoints' limits for one request each.", "outcome"),

		rejectedDocuments: newGauge("refused_documents", "Documents refused whose key has no accepted higher revision."),
		documentsRevision: newGauge("documents_revision", "Highest revision of a document seen."),
		reachableVMs:      newGauge("vms_reachable", "VMs of the own region that are reached, with this one."),
		queueLength:       newGauge("queue_length", "Calls that wait for an endpoint."),
		inFlight:          newGauge("in_flight", "Calls being served."),

		controlBytes:    newCounterVec("control_bytes_total", "Bytes on the connections between VMs, forwarded calls included.", "direction"),
		controlPayload:  newCounterVec("control_payload_bytes_total", "Bytes of the messages with which this VM asked others and of their answers, without frames.", "kind", "scope", "direction"),
		controlMessages: newCounterVec("control_messages_total", "Control messages sent to other VMs.", "kind"),
		platformReads:   newCounterVec("platform_reads_total", "Reads at the platform.", "outcome"),

		members:          newGaugeVec("members", "VMs known, by state and region.", "state", "region"),
		endpoints:        newGaugeVec("endpoints", "Endpoints of the own region, by state.", "state"),
		engineMemory:     newEngineMemory(),
		engineTokenTime:  newEngineTokenTime(),
		quarantinedCalls: newGauge("calls_held", "Calls that endpoints do not get, as those that ran them crashed."),
		quarantinedParts: newGauge("parts_held", "Parts of prompts whose calls endpoints do not get, as those that ran such calls crashed."),
		suspectedParts:   newGauge("parts_suspected", "Parts of prompts under which endpoints crashed, and to which VMs look for answers."),
		routesVersion:    newGauge("routes_version", "Version of the table of routes in force."),
		storeEra:         newGauge("store_era", "Era of the store's contents that this VM holds; it rises as the store comes back from an older copy."),
		publishedAge:     newGauge("published_age_seconds", "Time since this VM last knew that it holds what the store holds."),
		linesDropped:     newCounter("log_lines_dropped_total", "Log lines dropped as the ring was full."),
	}
	m.vm = newVMMetrics(m.registry)
	m.slowStart = newSlowStartMetrics(m.registry)
	m.registry.MustRegister(
		m.callsEnded, m.firstTokenTime, m.answerTime, m.tokens, m.spend, m.crossRegionCalls, m.forwards, m.retries, m.endpointAnswers, m.endpointRefusals, m.heldEvents,
		m.retryBudget, m.retryBudgetVMs, m.resumedStreams, m.streamRecords, m.droppedRecords, m.storeViewAge,
		m.limitRejections, m.limitRequests, m.rateLimitedSends, m.endpointNotices, m.sendsAfterNotice, m.permitRequests, m.snapshots,
		m.placementRefused, m.fairShares, m.returnedCalls,
		m.rejectedDocuments, m.documentsRevision, m.reachableVMs, m.queueLength, m.inFlight,
		m.controlBytes, m.controlPayload, m.controlMessages, m.platformReads,
		m.members, m.endpoints, m.engineMemory, m.engineTokenTime, m.quarantinedCalls, m.quarantinedParts, m.suspectedParts, m.routesVersion, m.publishedAge, m.storeEra, m.linesDropped,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

// Handler serves the metrics in the format negotiated with the scraper.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{
		Registry: m.registry,
	})
}

// CallEnded records a response to a caller with its latencies and tokens.
func (m *Metrics) CallEnded(c *call.Call, o call.Outcome, arrivedAt, now time.Time) {
	priority := c.Priority.String()
	m.callsEnded.WithLabelValues(strconv.Itoa(int(o.Code)), string(o.Code.Class()), kindName(c.Kind), priority).Inc()
	if !o.FirstChunkAt.IsZero() {
		m.firstTokenTime.WithLabelValues(priority).Observe(o.FirstChunkAt.Sub(arrivedAt).Seconds())
	}
	if o.Code.Class() == result.ClassDone {
		m.answerTime.WithLabelValues(priority).Observe(now.Sub(arrivedAt).Seconds())
	}
	m.addUsage(o.Usage)
}

// addUsage counts tokens. Cached tokens are included in the prompt tokens.
func (m *Metrics) addUsage(u call.Usage) {
	m.tokens.WithLabelValues("prompt").Add(float64(u.PromptTokens))
	m.tokens.WithLabelValues("cached").Add(float64(u.CachedTokens))
	m.tokens.WithLabelValues("generated").Add(float64(u.GeneratedTokens))
}

// AddSpend adds settled spend, in millionths of the currency.
func (m *Metrics) AddSpend(millionths float64) {
	m.spend.Add(millionths)
}

// CountCrossRegionCall counts a call sent to another region.
func (m *Metrics) CountCrossRegionCall(region string) {
	m.crossRegionCalls.WithLabelValues(region).Inc()
}

// Forwarded counts a call forwarded to another VM, by the class of its outcome.
func (m *Metrics) Forwarded(outcome result.Class) {
	m.forwards.WithLabelValues(string(outcome)).Inc()
}

// Retried counts a retry of a call.
func (m *Metrics) Retried() {
	m.retries.Inc()
}

// CountEndpointAnswer counts an answer that an endpoint began.
func (m *Metrics) CountEndpointAnswer(framing endpoint.Framing, whole bool) {
	m.endpointAnswers.WithLabelValues(string(framing), strconv.FormatBool(whole)).Inc()
}

// CountEndpointRefusal counts an answer of an endpoint that says that it did not run the request.
func (m *Metrics) CountEndpointRefusal(proof endpoint.RefusalProof) {
	m.endpointRefusals.WithLabelValues(string(proof)).Inc()
}

// AddHeldEvents counts events of streams that waited for the next one, as their ids were doubtful.
func (m *Metrics) AddHeldEvents(n int) {
	m.heldEvents.Add(float64(n))
}

// RetryBudgetEvent is a use of the retry budget.
type RetryBudgetEvent string

// Uses of the retry budget.
const (
	RetryBudgetRequest RetryBudgetEvent = "request"
	RetryBudgetGranted RetryBudgetEvent = "granted"
	RetryBudgetRefused RetryBudgetEvent = "refused"
	// RetryBudgetReturned is a granted retry that was never sent.
	RetryBudgetReturned RetryBudgetEvent = "returned"
)

// CountRetryBudget counts a use of a service's retry budget.
func (m *Metrics) CountRetryBudget(event RetryBudgetEvent, service string) {
	m.retryBudget.WithLabelValues(string(event), service).Inc()
}

// SetRetryBudgetVMs sets the number of VMs among which this VM divides the budget's slack.
func (m *Metrics) SetRetryBudgetVMs(vms int) {
	m.retryBudgetVMs.Set(float64(vms))
}

// StreamOrigin is how the origin of a stream was found that a caller resumes.
type StreamOrigin string

// Ways to find the origin of a stream.
const (
	// StreamOriginOwn is a record of this VM, StreamOriginAsked one of another VM.
	StreamOriginOwn   StreamOrigin = "own"
	StreamOriginAsked StreamOrigin = "asked"
	// StreamOriginSole is the only version that the service has had of late.
	StreamOriginSole    StreamOrigin = "sole"
	StreamOriginUnknown StreamOrigin = "unknown"
	// StreamOriginDeduced follows from what endpoints have read.
	StreamOriginDeduced StreamOrigin = "deduced"
)

// CountResumedStream counts a stream that a caller asked to resume.
func (m *Metrics) CountResumedStream(found StreamOrigin) {
	m.resumedStreams.WithLabelValues(string(found)).Inc()
}

// SetStreamRecords sets the number of origins of streams that this VM holds, and of those
// that it had no room for.
func (m *Metrics) SetStreamRecords(records, dropped int) {
	m.streamRecords.Set(float64(records))
	m.droppedRecords.Set(float64(dropped))
}

// SetStoreViewAge sets the time since which changes of the store may be unknown to this VM.
func (m *Metrics) SetStoreViewAge(age time.Duration) {
	m.storeViewAge.Set(age.Seconds())
}

// SetDocuments sets the number of rejected documents and the highest revision seen.
func (m *Metrics) SetDocuments(refused int, revision uint64) {
	m.rejectedDocuments.Set(float64(refused))
	m.documentsRevision.Set(float64(revision))
}

// SetReachable sets the number of reachable VMs of this VM's region, itself included.
func (m *Metrics) SetReachable(vms int) {
	m.reachableVMs.Set(float64(vms))
}

// SetQueue sets the number of calls waiting for an endpoint.
func (m *Metrics) SetQueue(calls int) {
	m.queueLength.Set(float64(calls))
}

// AddInFlight changes the number of calls being served, by 1 or -1.
func (m *Metrics) AddInFlight(calls int) {
	m.inFlight.Add(float64(calls))
}

// AddControlBytes counts bytes on the connections between VMs.
func (m *Metrics) AddControlBytes(d Direction, bytes int) {
	m.controlBytes.WithLabelValues(string(d)).Add(float64(bytes))
}

// ControlPayload counts the bytes of messages to another VM and of its responses,
// without framing.
func (m *Metrics) ControlPayload(kind string, crossRegion bool, sent, received int) {
	scope := "region"
	if crossRegion {
		scope = "between_regions"
	}
	m.controlPayload.WithLabelValues(kind, scope, string(DirectionOut)).Add(float64(sent))
	m.controlPayload.WithLabelValues(kind, scope, string(DirectionIn)).Add(float64(received))
}

// ControlMessage counts a control message sent to another VM.
func (m *Metrics) ControlMessage(kind Message) {
	m.controlMessages.WithLabelValues(string(kind)).Inc()
}

// PlatformRead counts a read from the platform, by the kind of its error if any.
func (m *Metrics) PlatformRead(err error) {
	outcome := readOutcomeOK
	if err != nil {
		outcome = string(platform.KindOutage)
	}
	var failed *platform.Error
	if errors.As(err, &failed) {
		outcome = string(failed.Kind)
	}
	m.platformReads.WithLabelValues(outcome).Inc()
}

// SetMembers replaces the numbers of reachable and of suspected VMs by region.
func (m *Metrics) SetMembers(reached, suspected map[string]int) {
	m.members.Reset()
	for region, count := range reached {
		m.members.WithLabelValues("reached", region).Set(float64(count))
	}
	for region, count := range suspected {
		m.members.WithLabelValues("suspected", region).Set(float64(count))
	}
}

// SetEndpoints sets the numbers of warm and of cold endpoints of this VM's region
// that accept calls.
func (m *Metrics) SetEndpoints(warm, cold int) {
	m.endpoints.WithLabelValues("warm").Set(float64(warm))
	m.endpoints.WithLabelValues("cold").Set(float64(cold))
}

// SetQuarantine sets the numbers of quarantined calls and parts of prompts, which crashed
// endpoints before, and of suspected parts.
func (m *Metrics) SetQuarantine(c quarantine.Counts) {
	m.quarantinedCalls.Set(float64(c.Contents))
	m.quarantinedParts.Set(float64(c.Parts))
	m.suspectedParts.Set(float64(c.SuspectedParts))
}

// SetRoutesVersion sets the version of the active routing table.
func (m *Metrics) SetRoutesVersion(version uint64) {
	m.routesVersion.Set(float64(version))
}

// SetPublishedAge sets the time since this VM's copy of the store was last known to
// be current.
func (m *Metrics) SetPublishedAge(age time.Duration) {
	m.publishedAge.Set(age.Seconds())
}

// SetStoreEra sets the era of the store's contents that this VM holds.
func (m *Metrics) SetStoreEra(era uint64) {
	m.storeEra.Set(float64(era))
}

// CountRateLimitedSend counts a request sent to an endpoint that has a rate limit.
func (m *Metrics) CountRateLimitedSend(way throttle.RequestKind) {
	m.rateLimitedSends.WithLabelValues(string(way)).Inc()
}

// Notice is what an endpoint said about itself in a response.
type Notice string

// Notices of endpoints.
const (
	NoticeLeaving Notice = "leaving"
	NoticeRest    Notice = "rest"
)

// CountEndpointNotice counts a new notice of an endpoint to this VM.
func (m *Metrics) CountEndpointNotice(notice Notice) {
	m.endpointNotices.WithLabelValues(string(notice)).Inc()
}

// CountSendAfterNotice counts a request sent to an endpoint that leaves or rests.
func (m *Metrics) CountSendAfterNotice(notice Notice, way throttle.RequestKind) {
	m.sendsAfterNotice.WithLabelValues(string(notice), string(way)).Inc()
}

// CountSnapshot counts a request of another VM for all that the store holds.
func (m *Metrics) CountSnapshot(sent bool) {
	outcome := "refused"
	if sent {
		outcome = "sent"
	}
	m.snapshots.WithLabelValues(outcome).Inc()
}

// CountPermitRequest counts a request for a permit to use an endpoint that has a rate
// limit, by its outcome.
func (m *Metrics) CountPermitRequest(outcome string) {
	m.permitRequests.WithLabelValues(outcome).Inc()
}

// LinesDropped counts dropped log lines.
func (m *Metrics) LinesDropped(lines int64) {
	m.linesDropped.Add(float64(lines))
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

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	})
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	}, labels)
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	})
}

func newGaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	}, labels)
}

func newHistogramVec(name, help string, buckets []float64) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
		Buckets:   buckets,
	}, []string{"priority"})
}
