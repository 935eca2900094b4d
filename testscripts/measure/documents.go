package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/fuchsianotch/fuchsianotch/contract"
)

const (
	secret = "measured"
	// contractsPerBucket keeps a bucket well under the platform's largest value.
	contractsPerBucket = 500
	// Limits of a workspace for which a measurement names none.
	plentyRequests    = 100_000
	plentyTokens      = 100_000_000
	plentySpend       = 1e15
	plentyConcurrency = 100_000
	oneWay            = 30 * time.Millisecond
)

// workspace is one contract.
type workspace struct {
	name    string
	home    string
	regions []string
	// requestsPerSecond of zero is plenty.
	requestsPerSecond float64
	borrowShare       float64
	answer            contract.LatencyTargets
}

func (w workspace) key() string {
	return w.name + "." + secret
}

func (w workspace) contract() contract.Contract {
	sum := sha256.Sum256([]byte(secret))
	c := contract.Contract{
		Workspace: w.name,
		Keys: []contract.Key{
			{
				SHA256: hex.EncodeToString(sum[:]),
			},
		},
		Home:     w.home,
		HomeOnly: len(w.regions) == 1,
		Models:   []string{model},
		Services: []string{service},
		Latency:  w.answer,
	}
	if c.Latency.WholeWithin.Duration == 0 {
		c.Latency = answerWithin(2*time.Second, 20*time.Second, time.Minute)
	}
	for _, region := range w.regions {
		c.Regions = append(c.Regions, w.terms(region))
	}
	return c
}

func (w workspace) terms(region string) contract.RegionLimits {
	requests := w.requestsPerSecond
	if requests == 0 {
		requests = plentyRequests
	}
	return contract.RegionLimits{
		Region:            region,
		RequestsPerSecond: requests,
		TokensPerSecond:   plentyTokens,
		SpendPerHour:      plentySpend,
		Concurrency:       plentyConcurrency,
		BorrowShare:       w.borrowShare,
	}
}

func answerWithin(first, whole, report time.Duration) contract.LatencyTargets {
	return contract.LatencyTargets{
		FirstTokenWithin: contract.Duration{
			Duration: first,
		},
		WholeWithin: contract.Duration{
			Duration: whole,
		},
		ReportWithin: contract.Duration{
			Duration: report,
		},
	}
}

// writeDocuments writes all documents of a plan under their keys.
func writeDocuments(dir string, p plan) error {
	if err := os.MkdirAll(filepath.Join(dir, "contracts"), 0o700); err != nil {
		return err
	}
	if err := writeJSON(filepath.Join(dir, "models.json"), models()); err != nil {
		return err
	}
	if err := writeJSON(filepath.Join(dir, "regions.json"), regionsOf(p)); err != nil {
		return err
	}
	for _, b := range buckets(p.workspaces) {
		if err := writeJSON(filepath.Join(dir, "contracts", strconv.Itoa(b.Bucket)+".json"), b); err != nil {
			return err
		}
	}
	return nil
}

func buckets(workspaces []workspace) []contract.Bucket {
	n := 1 + len(workspaces)/contractsPerBucket
	out := make([]contract.Bucket, n)
	for i := range out {
		out[i] = contract.Bucket{
			Format:    contract.FormatVersion,
			Bucket:    i,
			Buckets:   n,
			Contracts: []contract.Contract{},
		}
	}
	for _, w := range workspaces {
		b := &out[contract.BucketOf(w.name, n)]
		b.Contracts = append(b.Contracts, w.contract())
	}
	return out
}

func models() contract.Models {
	return contract.Models{
		Format: contract.FormatVersion,
		Models: []contract.Model{
			{
				Model:          model,
				PromptPrice:    150,
				GeneratedPrice: 600,
				MaxTokens:      1024,
			},
		},
		Services: []contract.Service{
			{
				Service:   service,
				CallPrice: 50,
				Calls: []contract.ServiceCall{
					urgentCall("/confirm"),
					urgentCall("/release"),
					urgentCall("/acknowledge"),
				},
			},
		},
	}
}

func urgentCall(prefix string) contract.ServiceCall {
	return contract.ServiceCall{
		Method:     "POST",
		PathPrefix: prefix,
		Priority:   "urgent",
	}
}

func regionsOf(p plan) contract.Regions {
	out := contract.Regions{
		Format: contract.FormatVersion,
	}
	seen := make(map[string]int)
	for _, r := range p.regions {
		if at, ok := seen[r.Name]; ok {
			out.Regions[at].DataCentres = append(out.Regions[at].DataCentres, r.DataCentre)
			continue
		}
		seen[r.Name] = len(out.Regions)
		out.Regions = append(out.Regions, contract.Region{
			Region:      r.Name,
			DataCentres: []string{r.DataCentre},
		})
	}
	for i := range out.Regions {
		for _, other := range out.Regions {
			if other.Region != out.Regions[i].Region {
				out.Regions[i].Links = append(out.Regions[i].Links, contract.Link{
					To: other.Region,
					OneWay: contract.Duration{
						Duration: oneWay,
					},
				})
			}
		}
	}
	return out
}

func writeJSON[T any](path string, value T) error {
	data, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}
