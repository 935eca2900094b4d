package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/result"
)

type decideCase struct {
	Name       string
	Code       result.Code
	Sent       bool
	Idempotent bool
	Delivered  bool
	Resumable  bool
	Attempts   int
	Left       string
	Needed     string
	Want       Verdict
}

func TestDecide(t *testing.T) {
	cases := datatest.Read[[]decideCase](t, "testdata/decide.json")
	now := time.Date(2026, time.March, 1, 6, 0, 0, 0, time.UTC)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			a := Attempt{
				Code:       c.Code,
				Sent:       c.Sent,
				Idempotent: c.Idempotent,
				Delivered:  c.Delivered,
				Resumable:  c.Resumable,
				Attempts:   c.Attempts,
			}
			if c.Left != "" {
				left, err := time.ParseDuration(c.Left)
				assert.NilError(t, err)
				a.WholeBy = now.Add(left)
			}
			if c.Needed != "" {
				needed, err := time.ParseDuration(c.Needed)
				assert.NilError(t, err)
				a.Needed = needed
			}
			assert.Equal(t, Decide(a, now), c.Want)
		})
	}
}

// TestDecideNeverRepeatsUnsafeCall checks that a call that may have run is retried only
// if it is idempotent, and no call after its deadline.
func TestDecideNeverRepeatsUnsafeCall(t *testing.T) {
	now := time.Date(2026, time.March, 1, 6, 0, 0, 0, time.UTC)
	codes := make([]result.Code, 0, len(result.Table))
	for _, row := range result.Table {
		codes = append(codes, row.Code)
	}
	rapid.Check(t, func(t *rapid.T) {
		a := Attempt{
			Code:       rapid.SampledFrom(codes).Draw(t, "code"),
			Sent:       rapid.Bool().Draw(t, "sent"),
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Delivered:  rapid.Bool().Draw(t, "delivered"),
			Resumable:  rapid.Bool().Draw(t, "resumable"),
			Attempts:   rapid.IntRange(1, 5).Draw(t, "attempts"),
			WholeBy:    now.Add(time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "left")) * time.Millisecond),
		}
		v := Decide(a, now)
		if v != VerdictRetry && v != VerdictResume {
			return
		}
		mayHaveRun := a.Sent && a.Code.Class() != result.ClassNotRun
		assert.Assert(t, a.Idempotent || !mayHaveRun)
		assert.Assert(t, !a.WholeBy.Before(now))
		assert.Assert(t, a.Code.Class() != result.ClassDone)
	})
}

func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		b := NewBudget(share)
		requests, retries := 0, 0
		for _, request := range rapid.SliceOfN(rapid.Bool(), 1, 400).Draw(t, "steps") {
			if request {
				b.OnRequest()
				requests++
			} else if b.Allow() {
				retries++
			}
		}
		assert.Assert(t, float64(retries) <= initialRetries+share*float64(requests)+1e-6)
	})
}
