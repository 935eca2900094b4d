package configuration

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/contract"
)

// residues is the number of sample workspaces, one for each hash remainder. It is a
// multiple of all numbers of buckets in the tests.
const residues = 48

// workspaces are the samples. The hash of workspaces[i] has remainder i.
var workspaces = sampleWorkspaces()

func sampleWorkspaces() [residues]string {
	var out [residues]string
	for found, i := 0, 0; found < residues; i++ {
		name := "w" + strconv.Itoa(i)
		at := contract.BucketOf(name, residues)
		if out[at] == "" {
			out[at] = name
			found++
		}
	}
	return out
}

// testDocument is a document as specified by test tables and generators.
type testDocument struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Buckets  int    `json:"buckets"`
	// Holds are the hash remainders of the workspaces that the document has contracts
	// for.
	Holds []int  `json:"holds"`
	Fault string `json:"fault"`
}

// document renders the published text. Each contract has the document's revision as its
// request limit, which identifies the deciding document.
func (w testDocument) document() Document {
	text := w.text()
	switch w.Fault {
	case "syntax":
		text = text[:len(text)-1]
	case "unknown_field":
		text = `{"surprise": 1,` + text[1:]
	case "wrong_bucket":
		text = strings.Replace(text, `"bucket": `, `"bucket": 9`, 1)
	}
	return Document{
		Key:      w.Key,
		Revision: w.Revision,
		Value:    []byte(text),
	}
}

func (w testDocument) text() string {
	switch w.Key {
	case contract.KeyModels:
		return fmt.Sprintf(`{"format": 1, "models": [{"model": "m%d", "prompt_price": 1, "generated_price": 2, "max_tokens": 9}], "services": []}`, w.Revision)
	case contract.KeyRegions:
		return `{"format": 1, "regions": [{"region": "a", "data_centres": ["a-1"]}]}`
	}
	var contracts []string
	for _, residue := range w.Holds {
		contracts = append(contracts, contractText(workspaces[residue], w.Revision))
	}
	number := strings.TrimPrefix(w.Key, contract.KeyBucketPrefix)
	return fmt.Sprintf(`{"format": 1, "bucket": %s, "buckets": %d, "contracts": [%s]}`, number, w.Buckets, strings.Join(contracts, ","))
}

func contractText(workspace string, requests uint64) string {
	return fmt.Sprintf(`{"workspace": %q, "keys": [{"sha256": "%064x"}], "home": "a",
		"regions": [{"region": "a", "requests_per_second": %d, "tokens_per_second": 1000, "spend_per_hour": 1e6, "concurrency": 4, "borrow_share": 0.1},
			{"region": "b", "requests_per_second": 1, "tokens_per_second": 1000, "spend_per_hour": 1e6, "concurrency": 4}],
		"models": ["m"], "services": ["s"],
		"answer": {"first_token_within": "580ms", "whole_within": "20s", "report_within": "10m"}}`, workspace, requests, requests)
}

// decidedRevision returns the revision of the sample workspace's contract, 0 if the
// deciding document has none, or -1 if no document decides.
func decidedRevision(s *Snapshot, residue int) int {
	c, ok := s.Contract(workspaces[residue])
	switch {
	case ok:
		return int(c.Regions[0].RequestsPerSecond)
	case s.HasBucketFor(workspaces[residue]):
		return 0
	}
	return -1
}

// orderCase is a row of testdata/orders.json.
type orderCase struct {
	Name      string            `json:"name"`
	Documents []testDocument    `json:"documents"`
	InForce   map[string]uint64 `json:"in_force"`
	Refused   map[string]uint64 `json:"refused"`
	// Reasons are the result codes of the refusals.
	Reasons map[string]string `json:"reasons"`
	// Kept is the number of accepted documents held. Zero means one per key.
	Kept    int         `json:"kept"`
	Decides map[int]int `json:"decides"`
}

// TestOrders offers each row's documents in every order: all to one VM, and split
// between two VMs that then pull from each other.
func TestOrders(t *testing.T) {
	rows := datatest.Read[[]orderCase](t, "testdata/orders.json")
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			var digest Digest
			permute(row.Documents, func(docs []testDocument) {
				for split := range len(docs) + 1 {
					first, second := New(Options{}), New(Options{})
					offer(first, docs[:split])
					offerJudged(second, docs[split:])
					pullAll(first, second)
					pullAll(second, first)
					row.check(t, first)
					assert.Equal(t, first.Digest(), second.Digest())
					assert.Assert(t, digest == Digest{} || digest == first.Digest())
					digest = first.Digest()
				}
			})
		})
	}
}

func (row orderCase) check(t *testing.T, s *Store) {
	t.Helper()
	snapshot := s.Snapshot()
	inForce, refused := map[string]uint64{}, map[string]uint64{}
	for _, d := range snapshot.Documents {
		if d.InForce > 0 {
			inForce[d.Key] = d.InForce
		}
		if d.Refused > 0 {
			refused[d.Key] = d.Refused
			assert.Equal(t, strings.Fields(d.Reason)[0], row.Reasons[d.Key])
		}
	}
	assert.Equal(t, fmt.Sprint(inForce), fmt.Sprint(row.InForce))
	assert.Equal(t, fmt.Sprint(refused), fmt.Sprint(row.Refused))
	for residue, want := range row.Decides {
		assert.Equal(t, decidedRevision(snapshot, residue), want, "remainder %d", residue)
	}
	kept := row.Kept
	if kept == 0 {
		kept = len(row.InForce)
	}
	assert.Equal(t, len(s.accepted), kept)
}

func offer(s *Store, docs []testDocument) {
	for _, d := range docs {
		s.Offer([]Document{d.document()})
	}
}

func offerJudged(s *Store, docs []testDocument) {
	for _, d := range docs {
		s.Offer(Validate([]Document{d.document()}))
	}
}

// pullAll lets one VM pull from another in small pages.
func pullAll(to, from *Store) {
	for {
		before := to.Digest()
		to.Offer(Page(from.Newer(to.Held()), 1))
		if to.Digest() == before {
			return
		}
	}
}

// permute calls f with each order of docs.
func permute(docs []testDocument, f func([]testDocument)) {
	var next func(int)
	next = func(n int) {
		if n == len(docs) {
			f(docs)
			return
		}
		for i := n; i < len(docs); i++ {
			docs[n], docs[i] = docs[i], docs[n]
			next(n + 1)
			docs[n], docs[i] = docs[i], docs[n]
		}
	}
	next(0)
}
