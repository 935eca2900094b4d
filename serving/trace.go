package serving

import (
	"errors"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsianotch/fuchsianotch/admission"
	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/origin"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/retry"
)

// This file writes the log lines of one call; docs/logs.md documents them.

func milliseconds(name string, d time.Duration) slog.Attr {
	return slog.Int64(name, d.Milliseconds())
}

func traceArrival(c *call.Call, now time.Time) {
	if c.Routed == nil {
		return
	}
	c.Log.Add("call_arrived",
		slog.String("service", c.Target()),
		slog.String("route", c.Routed.Route),
		slog.Uint64("version", c.Routed.Version),
		slog.Int("rank", c.Routed.Rank),
		slog.Bool("forwarded", c.Forwarded),
		slog.Bool("idempotent", c.Idempotent),
		milliseconds("first_in_ms", c.FirstTokenDeadline.Sub(now)),
		milliseconds("whole_in_ms", c.Deadline.Sub(now)),
		milliseconds("waited_ms", c.Routed.CallerWait.Time),
		milliseconds("gap_ms", c.Routed.MaxEventGap),
		slog.String("after_event", c.Routed.ResumeAfter),
		slog.String("resumes", c.Routed.Resumes),
		slog.Int("prompt_tokens", c.PromptTokens),
		slog.Int("max_tokens", c.MaxTokens),
		contentAttr(c),
		partsAttr(c),
	)
}

// partsAttr returns the prompt's parts that other calls may share.
func partsAttr(c *call.Call) slog.Attr {
	shared := promptParts{
		workspace: c.Workspace,
	}
	switch {
	case c.Routed != nil:
		shared.parts = c.Routed.SharedParts()
	case c.Kind == call.KindChat && c.PrefixHash != 0:
		shared.parts = []call.PromptPart{{ID: c.PrefixHash}}
	}
	return slog.Any("parts", shared)
}

// promptParts formats parts as "id=subject" when a line is written.
type promptParts struct {
	workspace string
	parts     []call.PromptPart
}

// LogValue implements slog.LogValuer.
func (p promptParts) LogValue() slog.Value {
	texts := make([]string, len(p.parts))
	for i, part := range p.parts {
		texts[i] = strconv.FormatUint(part.ID, partIDBase) + "=" + call.PartSubject(p.workspace, part.ID).String()
	}
	return slog.StringValue(strings.Join(texts, ","))
}

// contentAttr returns the content hash, which is shared by retries under several ids.
func contentAttr(c *call.Call) slog.Attr {
	return slog.String("content", contentOf(c).String())
}

func contentOf(c *call.Call) call.Subject {
	if len(c.Subjects) == 0 {
		return 0
	}
	return c.Subjects[0]
}

// partIDBase is the numeric base of the ids of parts in log lines.
const partIDBase = 16

func traceChoice(c *call.Call, slot admission.Slot, p *progress) {
	choice := slot.Choice
	c.Log.Add("endpoint_chosen",
		slog.String("endpoint", choice.Endpoint.ID),
		slog.String("software_version", choice.Endpoint.SoftwareVersion),
		slog.Int("attempt", p.history.Attempts+1),
		milliseconds("expected_first_ms", choice.TTFT),
		milliseconds("expected_wait_ms", choice.QueueTime),
		milliseconds("report_age_ms", choice.ReportAge),
		slog.Int("cached_tokens", choice.CachedTokens),
		slog.Float64("expected_memory", choice.MemoryRatio),
		slog.Int64("engine_token_us", choice.EngineTokenTime.Microseconds()),
		slog.String("fetch_from", choice.FetchFrom),
		slog.Bool("probe", choice.Probe),
	)
}

func traceAttempt(c *call.Call, p *progress) {
	c.Log.Fail("attempt_failed",
		slog.String("endpoint", p.outcome.Endpoint),
		slog.Int("attempt", p.history.Attempts),
		slog.Int("code", int(p.lastAttempt.Code)),
		slog.Bool("sent", p.lastAttempt.Sent),
		slog.Int("events", p.lastAttempt.Delivered),
		slog.Bool("caller_gone", p.lastAttempt.CallerDisconnected && p.lastAttempt.Code != result.VMStopped),
		slog.String("framing", string(p.lastAttempt.Framing)),
		contentAttr(c),
		partsAttr(c),
		slog.String("reason", errorText(p.lastAttempt.Err)),
		slog.String("cause", causeOf(p.lastAttempt.Err)),
	)
}

// traceForward logs that a call failed at the VM to which it was forwarded.
func traceForward(c *call.Call, o call.Outcome) {
	if o.Refusal == nil {
		return
	}
	attrs := []slog.Attr{
		slog.String("peer", o.VM),
		slog.String("endpoint", o.Endpoint),
		slog.Int("code", int(o.Code)),
		slog.Bool("sent", o.Sent),
		slog.Int("ran", o.EndpointsRun),
		slog.String("reason", o.Refusal.Message),
		slog.String("cause", causeOf(o.Refusal)),
	}
	if o.Code.Class() == result.ClassNotRun {
		c.Log.Add("attempt_failed", attrs...)
		return
	}
	c.Log.Fail("attempt_failed", attrs...)
}

// causeOf returns the text of the error that a refusal wraps, such as a connection error.
func causeOf(err error) string {
	return errorText(errors.Unwrap(err))
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func traceVerdict(c *call.Call, a retry.Attempt, verdict retry.Verdict) {
	c.Log.Add("repeat_decided",
		slog.String("verdict", string(verdict)),
		slog.Bool("idempotent", a.Idempotent),
		slog.Int("attempts", a.Attempts),
		slog.Int("most", a.MaxAttempts),
	)
}

func traceOrigin(c *call.Call, o origin.Origin, known bool) {
	c.Log.Add("stream_resumed",
		slog.String("resumes", c.Routed.Resumes),
		slog.Bool("known", known),
		slog.String("service", o.Service),
		slog.String("software_version", o.Version),
	)
}

func traceOverflow(c *call.Call, vm fleet.VM) {
	c.Log.Add("call_sent_away",
		slog.String("peer", vm.ID),
		slog.String("region", vm.Region),
		slog.String("after_event", c.Routed.ResumeAfter),
		slog.String("software_version", c.Routed.Pin.Version),
	)
}

func traceEnd(c *call.Call, o call.Outcome, arrivedAt, now time.Time) {
	if c.Routed == nil {
		return
	}
	attrs := []slog.Attr{
		slog.Int("code", int(o.Code)),
		slog.String("endpoint", o.Endpoint),
	}
	if o.VM != "" {
		attrs = append(attrs, slog.String("peer", o.VM))
	}
	attrs = append(attrs, milliseconds("took_ms", now.Sub(arrivedAt)))
	if !o.FirstChunkAt.IsZero() {
		attrs = append(attrs, milliseconds("first_ms", o.FirstChunkAt.Sub(arrivedAt)))
	}
	if o.LongestGap > 0 {
		attrs = append(attrs, milliseconds("pause_ms", o.LongestGap))
	}
	if o.Code == result.Done {
		c.Log.Add("call_ended", attrs...)
		return
	}
	if o.Refusal != nil {
		attrs = append(attrs, slog.String("reason", o.Refusal.Message))
		if !o.Refusal.RetryAt.IsZero() {
			attrs = append(attrs, milliseconds("come_back_in_ms", o.Refusal.RetryAt.Sub(now)))
		}
	}
	if o.Code.Class() == result.ClassNotRun {
		c.Log.Refuse("call_ended", attrs...)
		return
	}
	c.Log.Fail("call_ended", attrs...)
}

func traceEndpointClosed(c *call.Call, e fleet.Endpoint, left time.Duration) {
	c.Log.Add("endpoint_closed",
		slog.String("endpoint", e.ID),
		milliseconds("opens_in_ms", left),
	)
}
