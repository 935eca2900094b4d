package console

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/fuchsianotch/fuchsianotch/operator"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// Route is the explanation of a route that can be written as a table.
type Route struct {
	operator.RouteExplanation
}

// Route asks one VM where a request would go now, given the "ip:port" of its metrics. An error
// is a *result.Refusal: that of the VM, or PeerUnreachable.
func (c *Client) Route(ctx context.Context, addr string, q operator.RouteQuery) (*Route, error) {
	u := url.URL{
		Scheme:   "http",
		Host:     addr,
		Path:     operator.PathRoute,
		RawQuery: q.Values().Encode(),
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), http.NoBody)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, result.Refuse(result.PeerUnreachable, "%s was not reached: %v", addr, err).WithCause(err)
	}
	defer func() { _ = response.Body.Close() }()
	body := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes))
	if response.StatusCode != http.StatusOK {
		var refused operator.ErrorResponse
		if err := body.Decode(&refused); err != nil || refused.Error.Code == 0 {
			return nil, result.Refuse(result.PeerUnreachable, "%s does not explain routes: %s", addr, response.Status)
		}
		return nil, result.Refuse(refused.Error.Code, "%s", refused.Error.Message)
	}
	explained := &Route{}
	if err := body.Decode(&explained.RouteExplanation); err != nil {
		return nil, result.Refuse(result.PeerUnreachable, "%s does not explain routes: %v", addr, err).WithCause(err)
	}
	return explained, nil
}

// WriteTable writes the route, the endpoints, the regions and the decision.
func (r *Route) WriteTable(w io.Writer) error {
	t := newTable(w)
	t.row("VM", "REGION", "CONFIGURATION", "ROUTE", "PREFIX", "SERVICE", "RANK", "HOMES", "OBJECTIVE MS", "DEADLINE MS")
	t.row(r.VM, r.Region, formatNumber(r.Version), r.Route.Name, r.Route.Host+r.Route.Prefix, r.formatService(), strconv.Itoa(r.Rank),
		orAll(r.Homes), formatMillis(r.FirstTokenMs), formatMillis(r.DeadlineMs))
	t.row("")
	t.row("ENDPOINT", "EXCLUDED", "QUEUE MS", "FIRST MS", "END MS", "TOKEN US", "AHEAD", "PREFILL", "CACHED", "CALLS", "MEMORY", "REPORT MS", "SCORE", "NOTES")
	for i := range r.Endpoints {
		t.row(endpointCells(&r.Endpoints[i])...)
	}
	t.row("")
	t.row("REGION", "EXCLUDED", "ENDPOINTS", "FIRST MS", "END MS", "ROUND TRIP MS", "REPORT MS")
	for _, region := range r.Regions {
		first, end := millis(region.FirstTokenMs), millis(region.EndMs)
		if region.Excluded != "" {
			first, end = emptyCell, emptyCell
		}
		t.row(region.Region, orEmptyCell(region.Excluded), strconv.Itoa(region.Endpoints), first, end, formatMillis(region.RoundTripMs), formatMillis(region.ReportMs))
	}
	if err := t.flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "\n%s\n", r.decisionText())
	return err
}

func (r *Route) formatService() string {
	if len(r.Route.Services) < 2 {
		return r.Service
	}
	sum, own := 0, 0
	for _, s := range r.Route.Services {
		sum += s.Weight
		if s.Name == r.Service {
			own += s.Weight
		}
	}
	return fmt.Sprintf("%s (%d of %d)", r.Service, own, sum)
}

func endpointCells(e *operator.RouteEndpoint) []string {
	calls := fmt.Sprintf("%d+%d of %.0f", e.Running, e.Waiting, e.Slots)
	report := millis(e.ReportMs)
	if e.ReportMs < 0 {
		calls, report = emptyCell, emptyCell
	}
	if e.Excluded != "" {
		excluded := e.Excluded
		if e.ExcludedMs > 0 {
			excluded += fmt.Sprintf(" for %d ms", e.ExcludedMs)
		}
		return []string{e.ID, excluded, emptyCell, emptyCell, emptyCell, emptyCell, emptyCell, emptyCell, emptyCell, calls, emptyCell, report, emptyCell, emptyCell}
	}
	memory := emptyCell
	if e.Memory > 0 {
		memory = strconv.FormatFloat(e.Memory, 'f', 2, 64)
	}
	return []string{
		e.ID, emptyCell, millis(e.QueueMs), millis(e.FirstTokenMs), millis(e.EndMs), formatMillis(e.TokenUs), strconv.Itoa(e.TokensAhead),
		strconv.Itoa(e.PrefillTokens), strconv.Itoa(e.CachedTokens), calls, memory, report, strconv.FormatFloat(e.Score, 'f', 3, 64), endpointNotes(e),
	}
}

func endpointNotes(e *operator.RouteEndpoint) string {
	var notes []string
	if e.SlowStartCalls > 0 {
		notes = append(notes, fmt.Sprintf("slow start: %.0f calls", e.SlowStartCalls))
	}
	if e.AtSlowStartLimit {
		notes = append(notes, "at its slow-start limit")
	}
	if e.Endangered > 0 {
		notes = append(notes, fmt.Sprintf("%d streams would end late", e.Endangered))
	}
	return orEmptyCell(strings.Join(notes, "; "))
}

func (r *Route) decisionText() string {
	d := r.Decision
	if d.Code != 0 {
		text := fmt.Sprintf("DECISION: refused with %d %s: %s", d.Code, d.Name, d.Reason)
		if len(d.RetryMs) == 2 {
			text += fmt.Sprintf("; retry in %d to %d ms", d.RetryMs[0], d.RetryMs[1])
		}
		return text + refusedText(d.RefusedFraction)
	}
	text := "DECISION: region " + d.Region
	switch {
	case d.Probe:
		text += ", endpoint " + d.Endpoint + ", as the probe after its backoff"
	case d.Endpoint != "":
		text += ", endpoint " + d.Endpoint
	}
	if d.RandomCandidates > 0 {
		text += fmt.Sprintf(" or another one: a call considers a part of the endpoints, at least %d of them drawn at random", d.RandomCandidates)
	}
	if d.Late {
		text += "; behind the calls that can meet their objective"
	}
	if r.Draining {
		text += "; the VM is draining"
	}
	return text + refusedText(d.RefusedFraction)
}

// refusedText states which part of such calls is refused, if it is neither none nor all.
func refusedText(fraction float64) string {
	if fraction == 0 || fraction == 1 {
		return ""
	}
	return fmt.Sprintf("; %.0f%% of such calls are refused", 100*fraction)
}

func millis(ms int64) string {
	return strconv.FormatInt(ms, 10)
}

// formatMillis is millis with an empty cell for none.
func formatMillis(ms int64) string {
	if ms == 0 {
		return emptyCell
	}
	return millis(ms)
}

func orAll(list []string) string {
	if len(list) == 0 {
		return "all"
	}
	return strings.Join(list, ",")
}
