package replay

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/ansel1/merry/v2"
)

// pathRuns is the path at which a test endpoint reports its runs.
const pathRuns = "/admin/runs"

// runsResponse holds a test endpoint's runs by idempotency key.
type runsResponse struct {
	Runs map[string]int `json:"runs"`
}

// compareRuns compares the expected numbers of runs with those that endpoints counted.
func (r *Replay) compareRuns(ctx context.Context, steps []Step) []Mismatch {
	var mismatches []Mismatch
	var counts map[string]int
	for _, step := range steps {
		if step.Expect.Runs == "" {
			continue
		}
		if counts == nil {
			var err error
			if counts, err = r.countRuns(ctx); err != nil {
				return []Mismatch{*newMismatch(step, "run counts", err.Error())}
			}
		}
		want, _ := step.Expect.Runs.Int64()
		got := counts[step.Call.IdempotencyKey]
		if int64(got) != want {
			mismatches = append(mismatches, *newMismatch(step, fmt.Sprintf("%d runs of %s", want, step.Call.IdempotencyKey), fmt.Sprintf("%d runs", got)))
		}
	}
	return mismatches
}

// countRuns adds up the runs of all endpoints. It fails if one is unreachable, as
// its runs would be missing.
func (r *Replay) countRuns(ctx context.Context) (map[string]int, error) {
	if len(r.options.Endpoints) == 0 {
		return nil, merry.New("no endpoint is configured to count runs")
	}
	counts := map[string]int{}
	for _, endpoint := range r.options.Endpoints {
		body, err := r.fetchRuns(ctx, endpoint)
		if err != nil {
			return nil, err
		}
		for key, n := range body.Runs {
			counts[key] += n
		}
	}
	return counts, nil
}

func (r *Replay) fetchRuns(ctx context.Context, endpoint string) (*runsResponse, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint+pathRuns, http.NoBody)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	response, err := r.options.HTTP.Do(request)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, merry.Errorf("%s%s: unexpected status %s", endpoint, pathRuns, response.Status)
	}
	body := new(runsResponse)
	if err := json.NewDecoder(response.Body).Decode(body); err != nil {
		return nil, merry.Prependf(err, "%s%s", endpoint, pathRuns)
	}
	return body, nil
}
