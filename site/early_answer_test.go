package site

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// uploadBytes is more than the kernel takes of a request that nobody reads.
const uploadBytes = 3 << 20

// TestEarlyAnswerIsNotWhole guards against a part of an answer that passes for whole, as its endpoint
// reset the connection while the request was being sent, and against an answer that is passed on
// though its status is none.
func TestEarlyAnswerIsNotWhole(t *testing.T) {
	for _, row := range datatest.Read[[]struct {
		Name string
		// Paths are the routes that are called.
		Paths []string
		// VMs take the call: a, which forwards it, or b, which serves it.
		VMs []string
		// Fail is how the runs of the call fail, in turn.
		Fail string
		// Resumes is set if the caller resumes the stream behind its first event.
		Resumes bool
		// Want holds what callers may get.
		Want []string
	}](t, "testdata/early_answers.json") {
		for _, path := range row.Paths {
			for _, vm := range row.VMs {
				t.Run(row.Name+path+vm, func(t *testing.T) {
					t.Parallel()
					f := startForwardingVMs(t)
					f.introduce("c")
					f.awaitVMs(t, 2)
					f.awaitRetries(t, false)
					got := f.upload(vm, path, row.Fail, "")
					if row.Resumes {
						assert.Equal(t, got, "broken")
						got = f.upload(vm, path, row.Fail, "1")
					}
					assert.Assert(t, slices.Contains(row.Want, got), "the caller got %s", got)
				})
			}
		}
	}
}

// upload sends a call with a long body to a VM and describes what its caller gets. The call resumes
// an earlier one behind an event, if there is one.
func (f *forwardingVMs) upload(vm, path, fail, after string) string {
	req, err := f.newRequest(vm, path, fail, make([]byte, uploadBytes))
	if err != nil {
		return err.Error()
	}
	if after != "" {
		req.Header.Set("X-Fuchsianotch-Attempt-Id", "b")
		req.Header.Set("Last-Event-Id", after)
		req.Header.Set("Resumes", "a")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "none"
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "broken"
	}
	return fmt.Sprintf("%d with %d runs", resp.StatusCode, f.runs.Load())
}
