package metrics

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/bounded"
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/platform"
	"github.com/fuchsianotch/fuchsianotch/quarantine"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

const callData = "tee-time-club"

// populatedMetrics returns metrics on which every method was called.
func populatedMetrics() *Metrics {
	m := New()
	start := time.Now()
	m.CallEnded(&call.Call{
		ID:        callData,
		Workspace: callData,
		Kind:      call.KindService,
		Service:   callData,
		Path:      callData,
		Body:      []byte(callData),
	}, call.Outcome{
		Code:         result.Done,
		FirstChunkAt: start.Add(time.Second),
		Endpoint:     callData,
		Usage: call.Usage{
			PromptTokens:    5,
			CachedTokens:    3,
			GeneratedTokens: 2,
		},
	}, start, start.Add(2*time.Second))
	m.AddSpend(40)
	m.CountCrossRegionCall("b")
	m.Forwarded(result.ClassUnknown)
	m.Retried()
	m.CountRetryBudget(RetryBudgetGranted, "chat")
	m.SetRetryBudgetVMs(6)
	m.CountResumedStream(StreamOriginAsked)
	m.SetStreamRecords(7, 1)
	m.SetStoreViewAge(1500 * time.Millisecond)
	m.SetDocuments(1, 9)
	m.SetReachable(4)
	m.SetQueue(3)
	m.AddInFlight(2)
	m.AddInFlight(-1)
	m.AddControlBytes(DirectionOut, 100)
	m.ControlMessage(MessageHeartbeat)
	m.ControlPayload("gossip", true, 30, 20)
	m.SetMembers(map[string]int{"a": 2}, map[string]int{"a": 1})
	m.SetEndpoints(3, 1)
	m.SetEngineMemory(0.5, 0.9)
	m.SetEngineTokenTime(20*time.Millisecond, 80*time.Millisecond)
	m.SetPaced(2, routing.PacedCalls{Within: 5, Over: 1, PassedOver: 4})
	m.SetPaced(1, routing.PacedCalls{Within: 8, Over: 1, PassedOver: 6})
	m.SetRoutesVersion(7)
	m.SetQuarantine(quarantine.Counts{Contents: 4, Parts: 2, SuspectedParts: 3})
	m.CountEndpointAnswer(endpoint.FramingConnection, true)
	m.CountEndpointRefusal(endpoint.RefusalProofID)
	m.AddHeldEvents(2)
	m.CountLimitRejection("hule930")
	m.CountLimitRequest(true)
	m.CountFairShare("above")
	m.CountReturnedCall(ReturnedLate)
	m.CountRateLimitedSend(throttle.KindRepeat)
	m.CountEndpointNotice(NoticeLeaving)
	m.CountSendAfterNotice(NoticeRest, throttle.KindForwarded)
	m.CountPermitRequest("granted")
	m.CountSnapshot(true)
	m.CountPlacementRefusal("deadline")
	m.CountSnapshot(false)
	m.CountLimitRequest(false)
	m.SetVMDelay(time.Second, 2*time.Second)
	m.CountVMRefusal(2)
	m.SetBodyMemory(bounded.Stats{Used: 5, Total: 6, Allocated: 8})
	m.AddBodyMemoryRefusals(7)
	m.SetPublishedAge(time.Second)
	m.SetStoreEra(3)
	m.LinesDropped(2)
	m.PlatformRead(nil)
	m.PlatformRead(errors.New("lost"))
	m.PlatformRead(fmt.Errorf("watch: %w", &platform.Error{
		Kind:  platform.KindStale,
		Cause: errors.New("stale"),
	}))
	return m
}

// series returns the value of each of the gateway's own series, the sum for
// histograms.
func series(t *testing.T, m *Metrics) map[string]float64 {
	families, err := m.registry.Gather()
	assert.NilError(t, err)
	out := make(map[string]float64)
	for _, f := range families {
		if !strings.HasPrefix(f.GetName(), namespace) {
			continue
		}
		for _, v := range f.GetMetric() {
			var labels []string
			for _, l := range v.GetLabel() {
				labels = append(labels, l.GetValue())
			}
			value := v.GetCounter().GetValue() + v.GetGauge().GetValue() + v.GetHistogram().GetSampleSum()
			out[f.GetName()+" "+strings.Join(labels, " ")] = value
		}
	}
	return out
}

func TestSeries(t *testing.T) {
	assert.DeepEqual(t, series(t, populatedMetrics()), map[string]float64{
		"fuchsianotch_calls_total done 1000 service urgent":    1,
		"fuchsianotch_first_token_seconds urgent":              1,
		"fuchsianotch_answer_seconds urgent":                   2,
		"fuchsianotch_tokens_total prompt":                     5,
		"fuchsianotch_permits_asked_total granted":             1,
		"fuchsianotch_endpoint_notices_total leaving":          1,
		"fuchsianotch_sends_after_notice_total rest forwarded": 1,
		"fuchsianotch_placement_refused_total deadline":        1,
		"fuchsianotch_snapshots_total sent":                    1,
		"fuchsianotch_snapshots_total refused":                 1,
		"fuchsianotch_throttled_sends_total repeat":            1,
		"fuchsianotch_tokens_total cached":                     3,
		"fuchsianotch_tokens_total generated":                  2,
		"fuchsianotch_spend_millionths_total ":                 40,
		"fuchsianotch_sent_away_total b":                       1,
		"fuchsianotch_forwards_total unknown":                  1,
		"fuchsianotch_retries_total ":                          1,
		"fuchsianotch_returned_calls_total late":               1,
		"fuchsianotch_retry_budget_total granted chat":         1,
		"fuchsianotch_vm_delay_seconds mean":                   1,
		"fuchsianotch_vm_delay_seconds max":                    2,
		"fuchsianotch_vm_refused_total 2":                      1,
		"fuchsianotch_body_memory_bytes held":                  5,
		"fuchsianotch_body_memory_bytes limit":                 6,
		"fuchsianotch_body_memory_bytes allocated":             8,
		"fuchsianotch_body_memory_refused_total ":              7,
		"fuchsianotch_retry_budget_vms ":                       6,
		"fuchsianotch_streams_resumed_total asked":             1,
		"fuchsianotch_stream_records ":                         7,
		"fuchsianotch_store_view_age_seconds ":                 1.5,
		"fuchsianotch_stream_records_dropped ":                 1,
		"fuchsianotch_refused_documents ":                      1,
		"fuchsianotch_documents_revision ":                     9,
		"fuchsianotch_vms_reachable ":                          4,
		"fuchsianotch_queue_length ":                           3,
		"fuchsianotch_in_flight ":                              1,
		"fuchsianotch_control_bytes_total out":                 100,

		"fuchsianotch_control_payload_bytes_total out gossip between_regions": 30,
		"fuchsianotch_control_payload_bytes_total in gossip between_regions":  20,

		"fuchsianotch_control_messages_total heartbeat": 1,
		"fuchsianotch_platform_reads_total ok":          1,
		"fuchsianotch_platform_reads_total outage":      1,
		"fuchsianotch_platform_reads_total stale":       1,
		"fuchsianotch_endpoints cold":                   1,
		"fuchsianotch_engines_paced ":                   1,
		"fuchsianotch_paced_calls_total within":         8,
		"fuchsianotch_paced_calls_total over":           1,
		"fuchsianotch_paced_calls_total passed_over":    6,
		"fuchsianotch_endpoints warm":                   3,
		"fuchsianotch_engine_memory_ratio mean":         0.5,
		"fuchsianotch_engine_memory_ratio highest":      0.9,
		"fuchsianotch_engine_token_seconds mean":        0.02,
		"fuchsianotch_engine_token_seconds highest":     0.08,
		"fuchsianotch_log_lines_dropped_total ":         2,
		"fuchsianotch_members a reached":                2,
		"fuchsianotch_members a suspected":              1,
		"fuchsianotch_published_age_seconds ":           1,
		"fuchsianotch_store_era ":                       3,
		"fuchsianotch_routes_version ":                  7,
		"fuchsianotch_calls_held ":                      4,
		"fuchsianotch_parts_held ":                      2,
		"fuchsianotch_parts_suspected ":                 3,

		"fuchsianotch_endpoint_answers_total connection true": 1,
		"fuchsianotch_endpoint_refusals_total id":             1,
		"fuchsianotch_held_events_total ":                     2,

		"fuchsianotch_limit_refused_total hule930":  1,
		"fuchsianotch_limit_asked_total answered":   1,
		"fuchsianotch_fair_share_total above":       1,
		"fuchsianotch_limit_asked_total unanswered": 1,
	})
}

// TestNoCallDataInSeries checks that ending a call puts neither its workspace nor
// its ID, target or payload into a label.
func TestNoCallDataInSeries(t *testing.T) {
	for name := range series(t, populatedMetrics()) {
		assert.Assert(t, !strings.Contains(name, callData), name)
	}
}

// TestDocs checks that docs/metrics.md lists exactly the exported metrics.
func TestDocs(t *testing.T) {
	page, err := os.ReadFile("../docs/metrics.md")
	assert.NilError(t, err)
	documented := regexp.MustCompile(`fuchsianotch_[a-z_]+`).FindAllString(string(page), -1)
	var names []string
	for name := range series(t, populatedMetrics()) {
		names = append(names, strings.Fields(name)[0])
	}
	for _, list := range []*[]string{&documented, &names} {
		slices.Sort(*list)
		*list = slices.Compact(*list)
	}
	assert.DeepEqual(t, documented, names)
}
