package configuration

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// slot identifies a place for one accepted document. A contract bucket has a slot for
// each number of buckets that it was published under. For other documents buckets is
// zero.
type slot struct {
	key     string
	buckets int
}

// record is a validated document. It is immutable, so Snapshots share it.
type record struct {
	slot

	revision uint64
	value    []byte
	at       time.Time

	// Exactly one of these is set.
	refusal *result.Refusal
	bucket  *bucket
	models  *models
	regions *contract.Regions
}

// bucket is a contract bucket with its contracts by workspace.
type bucket struct {
	number    int
	contracts map[string]*contract.Contract
}

// models is the models document, indexed by name.
type models struct {
	models   map[string]*contract.Model
	services map[string]*contract.Service
}

func newRecord(d Document, doc *contract.Document, at time.Time) *record {
	r := &record{
		slot: slot{
			key: d.Key,
		},
		revision: d.Revision,
		value:    d.Value,
		at:       at,
		regions:  doc.Regions,
	}
	if doc.Bucket != nil {
		r.buckets = doc.Bucket.Buckets
		r.bucket = newBucket(doc.Bucket)
	}
	if doc.Models != nil {
		r.models = newModels(doc.Models)
	}
	return r
}

// newRefused returns the record of a refused document. For an unknown key it keeps no
// value, since the verdict doesn't depend on it.
func newRefused(d Document, refusal *result.Refusal, at time.Time) *record {
	r := &record{
		slot: slot{
			key: d.Key,
		},
		revision: d.Revision,
		at:       at,
		refusal:  refusal,
	}
	if refusal.Code != result.DocumentKey {
		r.value = d.Value
	}
	return r
}

func newBucket(b *contract.Bucket) *bucket {
	contracts := make(map[string]*contract.Contract, len(b.Contracts))
	for i := range b.Contracts {
		c := &b.Contracts[i]
		contracts[c.Workspace] = c
	}
	return &bucket{
		number:    b.Bucket,
		contracts: contracts,
	}
}

func newModels(m *contract.Models) *models {
	out := &models{
		models:   make(map[string]*contract.Model, len(m.Models)),
		services: make(map[string]*contract.Service, len(m.Services)),
	}
	for i := range m.Models {
		out.models[m.Models[i].Model] = &m.Models[i]
	}
	for i := range m.Services {
		out.services[m.Services[i].Service] = &m.Services[i]
	}
	return out
}

// document converts the record for exchange with other VMs.
func (r *record) document() Document {
	return Document{
		Key:      r.key,
		Revision: r.revision,
		Value:    r.value,
		Refused:  r.refusal != nil,
	}
}
