package contract

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/jsonc"
)

// Bounds of single values. They are wide; sums of values within them stay exact.
const (
	maxAmount      = 1e15
	maxConcurrency = 1_000_000
	maxTokens      = 1 << 24
	maxDuration    = 24 * time.Hour
	maxPathLength  = 1_024
	hashLength     = 64
	hexDigits      = "0123456789abcdef"
)

var (
	methods    = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}
	priorities = []string{"urgent", "chat", "report"}
)

// verifier checks the content of documents that decoded well.
type verifier struct {
	jsonc.Verifier
}

func (v *verifier) format(format int) {
	v.That(format == FormatVersion, "/format", "format %d", FormatVersion)
}

// list reports a list that is absent. It may be empty, but it must be written.
func (v *verifier) list(given bool, pointer string) {
	v.That(given, pointer, "a list, which may be empty")
}

func (v *verifier) uniqueName(seen jsonc.Names, pointer, name string) {
	v.Name(pointer, name)
	v.Once(seen, pointer, name)
}

func (v *verifier) amount(pointer string, value float64) {
	v.Number(pointer, value, 0, maxAmount)
}

func (v *verifier) positive(pointer string, d Duration) {
	v.Duration(pointer, d, time.Nanosecond, maxDuration)
}

func (v *verifier) bucket(b *Bucket) {
	v.format(b.Format)
	index, _ := bucketIndex(v.File)
	v.That(b.Bucket == index, "/bucket", "%d, as in the document's key", index)
	v.Whole("/buckets", b.Buckets, b.Bucket+1, MaxBuckets)
	v.list(b.Contracts != nil, "/contracts")
	if v.Problem() != nil {
		return
	}
	seen := jsonc.Names{}
	for i := range b.Contracts {
		c := &b.Contracts[i]
		at := item("/contracts", i)
		v.uniqueName(seen, at+"/workspace", c.Workspace)
		place := BucketOf(c.Workspace, b.Buckets)
		v.That(place == b.Bucket, at+"/workspace", "a workspace of this bucket; %q belongs in %s%d of %d", c.Workspace, KeyBucketPrefix, place, b.Buckets)
		v.contract(at, c)
	}
}

func (v *verifier) contract(at string, c *Contract) {
	v.keys(at+"/keys", c.Keys)
	v.Name(at+"/home", c.Home)
	v.terms(at, c)
	v.names(at+"/models", c.Models)
	v.names(at+"/services", c.Services)
	v.answer(at+"/answer", c.Answer)
}

func (v *verifier) keys(at string, keys []Key) {
	v.list(keys != nil, at)
	seen := jsonc.Names{}
	for i, k := range keys {
		pointer := item(at, i) + "/sha256"
		ok := len(k.SHA256) == hashLength && strings.Trim(k.SHA256, hexDigits) == ""
		v.That(ok, pointer, "the SHA-256 of the secret as %d lower-case hex digits", hashLength)
		v.Once(seen, pointer, k.SHA256)
	}
}

func (v *verifier) terms(at string, c *Contract) {
	seen := jsonc.Names{}
	for i, t := range c.Regions {
		pointer := item(at+"/regions", i)
		v.uniqueName(seen, pointer+"/region", t.Region)
		v.That(!c.Bound || t.Region == c.Home, pointer+"/region", "%q only, since the workspace is bound to its home", c.Home)
		v.amount(pointer+"/requests_per_second", t.RequestsPerSecond)
		v.amount(pointer+"/tokens_per_second", t.TokensPerSecond)
		v.amount(pointer+"/spend_per_hour", t.SpendPerHour)
		v.Whole(pointer+"/concurrency", t.Concurrency, 0, maxConcurrency)
		v.Number(pointer+"/borrow_share", t.BorrowShare, 0, 1)
		v.That(!c.Bound || t.BorrowShare == 0, pointer+"/borrow_share", "0, since the workspace is bound to its home")
	}
	v.That(seen[c.Home], at+"/regions", "a list with the terms of the home region %q", c.Home)
}

func (v *verifier) names(at string, names []string) {
	seen := jsonc.Names{}
	for i, name := range names {
		v.uniqueName(seen, item(at, i), name)
	}
}

func (v *verifier) answer(at string, a Answer) {
	v.positive(at+"/first_token_within", a.FirstTokenWithin)
	v.positive(at+"/whole_within", a.WholeWithin)
	v.positive(at+"/report_within", a.ReportWithin)
	v.That(a.FirstTokenWithin.Duration <= a.WholeWithin.Duration, at+"/first_token_within", "at most whole_within, which is %s", a.WholeWithin)
}

func (v *verifier) models(m *Models) {
	v.format(m.Format)
	v.list(m.Models != nil, "/models")
	v.list(m.Services != nil, "/services")
	seen := jsonc.Names{}
	for i, model := range m.Models {
		at := item("/models", i)
		v.uniqueName(seen, at+"/model", model.Model)
		v.amount(at+"/prompt_price", model.PromptPrice)
		v.amount(at+"/generated_price", model.GeneratedPrice)
		v.Whole(at+"/max_tokens", model.MaxTokens, 1, maxTokens)
	}
	seen = jsonc.Names{}
	for i := range m.Services {
		v.service(item("/services", i), &m.Services[i], seen)
	}
}

func (v *verifier) service(at string, s *Service, seen jsonc.Names) {
	v.uniqueName(seen, at+"/service", s.Service)
	v.amount(at+"/call_price", s.CallPrice)
	v.list(s.Calls != nil, at+"/calls")
	calls := jsonc.Names{}
	for i, call := range s.Calls {
		pointer := item(at+"/calls", i)
		v.OneOf(pointer+"/method", call.Method, methods)
		v.pathPrefix(pointer+"/path_prefix", call.PathPrefix)
		v.Once(calls, pointer+"/path_prefix", call.Method+" "+call.PathPrefix)
		if call.Priority != "" {
			v.OneOf(pointer+"/priority", call.Priority, priorities)
		}
	}
}

// pathPrefix accepts only paths that mean the same to every HTTP server.
func (v *verifier) pathPrefix(pointer, path string) {
	ok := strings.HasPrefix(path, "/") && len(path) <= maxPathLength
	ok = ok && !strings.Contains(path, "//") && !slices.ContainsFunc(strings.Split(path, "/"), isDots)
	ok = ok && !strings.ContainsFunc(path, notInPath)
	v.That(ok, pointer, `a path such as "/slots/", of letters, digits and -._~/ only`)
}

func isDots(segment string) bool {
	return segment == "." || segment == ".."
}

func notInPath(r rune) bool {
	const others = "-._~/"
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	}
	return !strings.ContainsRune(others, r)
}

func (v *verifier) regions(r *Regions) {
	v.format(r.Format)
	v.That(len(r.Regions) > 0, "/regions", "a list of at least one region")
	regions := jsonc.Names{}
	centres := jsonc.Names{}
	for i, region := range r.Regions {
		at := item("/regions", i)
		v.uniqueName(regions, at+"/region", region.Region)
		v.That(len(region.DataCentres) > 0, at+"/data_centres", "a list of at least one data centre")
		for j, centre := range region.DataCentres {
			v.uniqueName(centres, item(at+"/data_centres", j), centre)
		}
	}
	for i, region := range r.Regions {
		v.links(item("/regions", i)+"/links", region, regions)
	}
}

func (v *verifier) links(at string, region Region, regions jsonc.Names) {
	seen := jsonc.Names{}
	for i, link := range region.Links {
		pointer := item(at, i)
		v.That(regions[link.To] && link.To != region.Region, pointer+"/to", "another region of this document")
		v.Once(seen, pointer+"/to", link.To)
		v.positive(pointer+"/one_way", link.OneWay)
	}
}

func item(pointer string, i int) string {
	return pointer + "/" + strconv.Itoa(i)
}
