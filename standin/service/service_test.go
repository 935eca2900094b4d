package service

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

type answerCase struct {
	Name   string          `json:"name"`
	Faults json.RawMessage `json:"faults"`
	Want   struct {
		Code    string `json:"code"`
		Runs    int    `json:"runs"`
		Leaving bool   `json:"leaving"`
	} `json:"want"`
}

// TestAnswers checks the service against the gateway's client, so that both
// implement the same protocol.
func TestAnswers(t *testing.T) {
	rows := datatest.Read[[]answerCase](t, "testdata/answers.json")
	for _, r := range rows {
		t.Run(r.Name, r.test)
	}
}

func (r answerCase) test(t *testing.T) {
	s := New(Options{ID: "tee-1"})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	faults := "{}"
	if r.Faults != nil {
		faults = string(r.Faults)
	}
	assert.Equal(t, status(t, http.MethodPut, server.URL+"/admin/faults", faults), http.StatusNoContent)
	assert.Equal(t, status(t, http.MethodPut, server.URL+"/admin/faults", `{"unknown":1}`), http.StatusBadRequest)

	var answer Answer
	o := endpoint.New(endpoint.Options{}).Send(t.Context(), endpoint.Attempt{
		ID:       "own",
		Endpoint: fleet.Endpoint{Addr: server.Listener.Addr().String()},
		Call: &call.Call{
			Kind:   call.KindService,
			Method: http.MethodPost,
			Path:   "/tee/7?day=1",
			Header: http.Header{"Idempotency-Key": {"op-1"}},
			Body:   []byte("marker=M7"),
		},
	}, endpoint.Sink{
		Head:  func(int, http.Header) error { return nil },
		Chunk: func(data []byte) error { return json.Unmarshal(data, &answer) },
	})
	assert.Equal(t, o.Code.String(), r.Want.Code, "%v", o.Err)
	report := s.runs.Report()
	assert.Equal(t, report.Runs["op-1"], r.Want.Runs)
	assert.Equal(t, report.Total, r.Want.Runs)
	assert.Equal(t, report.RunsLeaving > 0, r.Want.Leaving)
	assert.Assert(t, s.bodies.Contains("M7"))
	if r.Want.Code != "done" {
		return
	}
	assert.Equal(t, answer, Answer{
		Endpoint:  "tee-1",
		Request:   "own",
		Operation: "op-1",
		Run:       1,
		Method:    http.MethodPost,
		Path:      "/tee/7?day=1",
		Marker:    "M7",
	})
}

func status(t *testing.T, method, url, body string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp.StatusCode
}
