package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

func TestRequests(t *testing.T) {
	type row struct {
		Name     string      `json:"name"`
		Target   string      `json:"target"`
		Method   string      `json:"method"`
		NotReady bool        `json:"not_ready"`
		Status   int         `json:"status"`
		Body     string      `json:"body"`
		Code     result.Code `json:"code"`
	}
	rows := datatest.Read[[]row](t, "testdata/requests.json")
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			handler := New(Options{
				Ready:  func() bool { return !row.NotReady },
				Status: status,
				Events: func(q timeline.Query) []timeline.Event { return events("own", q) },
				MergedEvents: func(_ context.Context, q timeline.Query) ([]timeline.Event, []string) {
					return events("merged", q), []string{"a2"}
				},
				Metrics: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "metrics") }),
			})
			got := httptest.NewRecorder()
			handler.ServeHTTP(got, httptest.NewRequest(cmp.Or(row.Method, http.MethodGet), row.Target, nil))
			assert.Equal(t, got.Code, row.Status)
			body := strings.TrimSpace(got.Body.String())
			if row.Body != "" {
				assert.Equal(t, body, row.Body)
			}
			if row.Code != 0 {
				var f ErrorResponse
				assert.NilError(t, json.Unmarshal([]byte(body), &f))
				assert.Equal(t, f.Error.Code, row.Code)
				assert.Equal(t, f.Error.Class, result.ClassNotRun)
				assert.Assert(t, f.Error.Message != "")
			}
		})
	}
}

// events returns one event whose fields echo the query.
func events(kind string, q timeline.Query) []timeline.Event {
	if q.Request == "none" {
		return nil
	}
	e := timeline.Event{
		Stamp:     1,
		VM:        "a1",
		Kind:      kind,
		Request:   q.Request,
		Workspace: q.Workspace,
	}
	if !q.To.IsZero() {
		e.Detail = q.To.Sub(q.From).String()
	}
	return []timeline.Event{e}
}

func status() Status {
	return Status{
		VM:          "a1",
		Region:      "a",
		DataCentre:  "a-1",
		Incarnation: 7,
		Ready:       true,
		Documents: []Document{
			{
				Key:    "models",
				Active: 3,
			},
			{
				Key:      "contracts/0",
				Active:   4,
				Rejected: 6,
				Reason:   "4002 document_unknown: x",
			},
		},
		ListRevision: 5,
		View: View{
			Revision: 9,
			Region: []Member{
				{
					VM:        "a1",
					Reachable: true,
				},
			},
			LenderCount: 3,
			ShareCount:  4,
		},
		Load: Load{
			InFlight: 2,
			Queued:   1,
		},
	}
}
