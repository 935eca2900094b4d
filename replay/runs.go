package replay

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/ansel1/merry/v2"
)

// pathRuns is where a stand-in of an endpoint tells what it ran.
const pathRuns = "/admin/runs"

// runsBody is the part of a stand-in's answer that is used: runs by idempotency key.
type runsBody struct {
	Runs map[string]int `json:"runs"`
}

// compareRuns checks the stated numbers of runs, each key once.
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
				return []Mismatch{*mismatch(step, "counts of runs", err.Error())}
			}
		}
		want, _ := step.Expect.Runs.Int64()
		got := counts[step.Call.IdempotencyKey]
		if int64(got) != want {
			mismatches = append(mismatches, *mismatch(step, fmt.Sprintf("%d runs of %s", want, step.Call.IdempotencyKey), fmt.Sprintf("%d runs", got)))
		}
	}
	return mismatches
}

// countRuns adds up the runs of all endpoints. One that is not reached is an
// error, since its runs would be missing.
func (r *Replay) countRuns(ctx context.Context) (map[string]int, error) {
	if len(r.options.Endpoints) == 0 {
		return nil, merry.New("no endpoint is given that counts runs")
	}
	counts := map[string]int{}
	for _, endpoint := range r.options.Endpoints {
		body, err := r.runsOf(ctx, endpoint)
		if err != nil {
			return nil, err
		}
		for key, n := range body.Runs {
			counts[key] += n
		}
	}
	return counts, nil
}

func (r *Replay) runsOf(ctx context.Context, endpoint string) (*runsBody, error) {
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
		return nil, merry.Errorf("%s%s answered %s", endpoint, pathRuns, response.Status)
	}
	body := new(runsBody)
	if err := json.NewDecoder(response.Body).Decode(body); err != nil {
		return nil, merry.Prependf(err, "%s%s", endpoint, pathRuns)
	}
	return body, nil
}
