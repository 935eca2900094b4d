package borrow_test

import (
	"cmp"
	"encoding/json"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fuchsianotch/fuchsianotch/borrow"
)

var start = time.Date(2026, time.March, 1, 6, 0, 0, 0, time.UTC)

type decideCase struct {
	Name        string
	At          string
	Policy      string
	Target      string
	Regions     []string
	Forbidden   bool
	Unavailable bool
	Wait        string
	Service     string
	Prompt      int
	Way         string
	Offers      map[string]float64
	Want        string
}

// TestDecide uses deadlines of 1.5 s for the first token and 10 s for the answer.
func TestDecide(t *testing.T) {
	data, err := os.ReadFile("testdata/decide.json")
	assert.NilError(t, err)
	var cases []decideCase
	assert.NilError(t, json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			if c.Regions == nil {
				c.Regions = []string{"far"}
			}
			if c.Offers == nil {
				c.Offers = map[string]float64{"far": 1000}
			}
			var offers []borrow.Offer
			for region, rate := range c.Offers {
				offers = append(offers, borrow.Offer{
					Region:          region,
					VM:              region,
					Target:          target,
					TokensPerSecond: rate,
					ExpiresAt:       start.Add(4 * time.Second),
					NetworkDelay:    duration(t, c.Way),
				})
			}
			now := start.Add(duration(t, c.At))
			got, ok := borrow.Decide(borrow.Request{
				Policy:             c.Policy,
				Target:             cmp.Or(c.Target, target),
				Regions:            c.Regions,
				Allowed:            !c.Forbidden,
				LocalWait:          duration(t, c.Wait),
				UntilFirstToken:    100 * time.Millisecond,
				Service:            duration(t, cmp.Or(c.Service, "2s")),
				Unavailable:        c.Unavailable,
				FirstTokenDeadline: now.Add(firstTokenTimeout),
				Deadline:           now.Add(answerTimeout),
				PromptTokens:       c.Prompt,
				RateLimiter:        borrow.NewRateLimiter(1),
			}, offers, now)
			assert.Equal(t, got.Region, c.Want)
			assert.Equal(t, ok, c.Want != "")
		})
	}
}

func duration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(cmp.Or(text, "0s"))
	assert.NilError(t, err)
	return d
}

// TestRateLimiterLimitsSentTokens checks that the tokens sent exceed the offer by at most one
// call, and that refusals keep them within an even share of it.
func TestRateLimiterLimitsSentTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, size = 1000.0, 300.0
		asking := rapid.IntRange(1, 8).Draw(t, "asking")
		d := borrow.NewRateLimiter(asking)
		o := borrow.Offer{
			VM:              "v",
			Target:          target,
			TokensPerSecond: rate,
		}
		now := start
		sent, refused := 0.0, rapid.Bool().Draw(t, "refused")
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if !d.Allow(o, size, now) {
				continue
			}
			sent += size
			if refused {
				d.Refused(o, now)
			} else {
				d.Served(o, now)
			}
		}
		share := rate
		if refused {
			share = rate / float64(asking)
		}
		assert.Assert(t, sent <= share*(now.Sub(start).Seconds()+1)+size)
	})
}

// TestGatePrioritizesLocalCalls checks that calls of other regions use at most the
// surplus, are refused while local calls are queued, and never take the last free slot.
func TestGatePrioritizesLocalCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g borrow.Gate
		now := start
		taken := 0.0
		const size = 100.0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			s := borrow.RegionCapacity{
				Slots:           32,
				Free:            rapid.Float64Range(0, 32).Draw(t, "free"),
				TokensPerSecond: 50,
				Demand:          rapid.Float64Range(0, 40).Draw(t, "demand"),
				Waiting:         rapid.IntRange(0, 1).Draw(t, "waiting"),
				VMs:             2,
				Until:           now.Add(time.Second),
			}
			ok := g.Admit(s, size, now)
			assert.Assert(t, !ok || (s.Waiting == 0 && s.Free >= 2))
			if ok {
				taken += size
			}
		}
		assert.Assert(t, taken <= 32*50*(now.Sub(start).Seconds()+1)+size)
	})
}
