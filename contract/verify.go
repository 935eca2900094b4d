package contract

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/jsonc"
)

// Bounds of single values.
const (
	maxAmount      = 1e15 // below 2^53, so that whole amounts are exact in a float64
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

// verifier validates the values of a decoded document.
type verifier struct {
	jsonc.Verifier
}

func (v *verifier) format(format int) {
	v.Require(format == FormatVersion, "/format", "format %d", FormatVersion)
}

// requireList rejects a missing list; an empty one is valid.
func (v *verifier) requireList(present bool, pointer string) {
	v.Require(present, pointer, "a list, which may be empty")
}

func (v *verifier) uniqueName(seen jsonc.NameSet, pointer, name string) {
	v.Name(pointer, name)
	v.Unique(seen, pointer, name)
}

func (v *verifier) amount(pointer string, value float64) {
	v.Number(pointer, value, 0, maxAmount)
}

func (v *verifier) positiveDuration(pointer string, d Duration) {
	v.Duration(pointer, d, time.Nanosecond, maxDuration)
}

func (v *verifier) bucket(b *Bucket) {
	v.format(b.Format)
	index, _ := bucketIndex(v.File)
	v.Require(b.Bucket == index, "/bucket", "%d, as in the document's key", index)
	v.IntRange("/buckets", b.Buckets, b.Bucket+1, MaxBuckets)
	v.requireList(b.Contracts != nil, "/contracts")
	if v.Problem() != nil {
		return
	}
	seen := jsonc.NameSet{}
	for i := range b.Contracts {
		c := &b.Contracts[i]
		at := elementPointer("/contracts", i)
		v.uniqueName(seen, at+"/workspace", c.Workspace)
		owner := BucketOf(c.Workspace, b.Buckets)
		v.Require(owner == b.Bucket, at+"/workspace", "a workspace of this bucket; %q belongs in %s%d of %d", c.Workspace, KeyBucketPrefix, owner, b.Buckets)
		v.contract(at, c)
	}
}

func (v *verifier) contract(at string, c *Contract) {
	v.keys(at+"/keys", c.Keys)
	v.Name(at+"/home", c.Home)
	v.terms(at, c)
	v.names(at+"/models", c.Models)
	v.names(at+"/services", c.Services)
	v.answer(at+"/answer", c.Latency)
}

func (v *verifier) keys(at string, keys []Key) {
	v.requireList(keys != nil, at)
	seen := jsonc.NameSet{}
	for i, k := range keys {
		pointer := elementPointer(at, i) + "/sha256"
		ok := len(k.SHA256) == hashLength && strings.Trim(k.SHA256, hexDigits) == ""
		v.Require(ok, pointer, "the SHA-256 of the secret as %d lower-case hex digits", hashLength)
		v.Unique(seen, pointer, k.SHA256)
	}
}

func (v *verifier) terms(at string, c *Contract) {
	seen := jsonc.NameSet{}
	for i, t := range c.Regions {
		pointer := elementPointer(at+"/regions", i)
		v.uniqueName(seen, pointer+"/region", t.Region)
		v.Require(!c.HomeOnly || t.Region == c.Home, pointer+"/region", "%q, the only region of a workspace bound to its home", c.Home)
		v.amount(pointer+"/requests_per_second", t.RequestsPerSecond)
		v.amount(pointer+"/tokens_per_second", t.TokensPerSecond)
		v.amount(pointer+"/spend_per_hour", t.SpendPerHour)
		v.IntRange(pointer+"/concurrency", t.Concurrency, 0, maxConcurrency)
		v.Number(pointer+"/borrow_share", t.BorrowShare, 0, 1)
		v.Require(!c.HomeOnly || t.BorrowShare == 0, pointer+"/borrow_share", "0, because a workspace bound to its home cannot borrow")
	}
	v.Require(seen[c.Home], at+"/regions", "a list that includes the home region %q", c.Home)
}

func (v *verifier) names(at string, names []string) {
	seen := jsonc.NameSet{}
	for i, name := range names {
		v.uniqueName(seen, elementPointer(at, i), name)
	}
}

func (v *verifier) answer(at string, a LatencyTargets) {
	v.positiveDuration(at+"/first_token_within", a.FirstTokenWithin)
	v.positiveDuration(at+"/whole_within", a.WholeWithin)
	v.positiveDuration(at+"/report_within", a.ReportWithin)
	v.Require(a.FirstTokenWithin.Duration <= a.WholeWithin.Duration, at+"/first_token_within", "at most whole_within, which is %s", a.WholeWithin)
}

func (v *verifier) models(m *Models) {
	v.format(m.Format)
	v.requireList(m.Models != nil, "/models")
	v.requireList(m.Services != nil, "/services")
	seen := jsonc.NameSet{}
	for i, model := range m.Models {
		at := elementPointer("/models", i)
		v.uniqueName(seen, at+"/model", model.Model)
		v.amount(at+"/prompt_price", model.PromptPrice)
		v.amount(at+"/generated_price", model.GeneratedPrice)
		v.IntRange(at+"/max_tokens", model.MaxTokens, 1, maxTokens)
	}
	seen = jsonc.NameSet{}
	for i := range m.Services {
		v.service(elementPointer("/services", i), &m.Services[i], seen)
	}
}

func (v *verifier) service(at string, s *Service, seen jsonc.NameSet) {
	v.uniqueName(seen, at+"/service", s.Service)
	v.amount(at+"/call_price", s.CallPrice)
	v.requireList(s.Calls != nil, at+"/calls")
	calls := jsonc.NameSet{}
	for i, call := range s.Calls {
		pointer := elementPointer(at+"/calls", i)
		v.OneOf(pointer+"/method", call.Method, methods)
		v.pathPrefix(pointer+"/path_prefix", call.PathPrefix)
		v.Unique(calls, pointer+"/path_prefix", call.Method+" "+call.PathPrefix)
		if call.Priority != "" {
			v.OneOf(pointer+"/priority", call.Priority, priorities)
		}
	}
}

// pathPrefix accepts only paths that need no normalization or escaping, which HTTP
// servers handle differently.
func (v *verifier) pathPrefix(pointer, path string) {
	ok := strings.HasPrefix(path, "/") && len(path) <= maxPathLength
	ok = ok && !strings.Contains(path, "//") && !slices.ContainsFunc(strings.Split(path, "/"), isDotSegment)
	ok = ok && !strings.ContainsFunc(path, isInvalidPathRune)
	v.Require(ok, pointer, `a path such as "/slots/", of letters, digits and -._~/ only`)
}

func isDotSegment(segment string) bool {
	return segment == "." || segment == ".."
}

func isInvalidPathRune(r rune) bool {
	const punctuation = "-._~/"
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	}
	return !strings.ContainsRune(punctuation, r)
}

func (v *verifier) regions(r *Regions) {
	v.format(r.Format)
	v.Require(len(r.Regions) > 0, "/regions", "a list of at least one region")
	regions := jsonc.NameSet{}
	centres := jsonc.NameSet{}
	for i, region := range r.Regions {
		at := elementPointer("/regions", i)
		v.uniqueName(regions, at+"/region", region.Region)
		v.Require(len(region.DataCentres) > 0, at+"/data_centres", "a list of at least one data centre")
		for j, centre := range region.DataCentres {
			v.uniqueName(centres, elementPointer(at+"/data_centres", j), centre)
		}
	}
	for i, region := range r.Regions {
		v.links(elementPointer("/regions", i)+"/links", region, regions)
	}
}

func (v *verifier) links(at string, region Region, regions jsonc.NameSet) {
	seen := jsonc.NameSet{}
	for i, link := range region.Links {
		pointer := elementPointer(at, i)
		v.Require(regions[link.To] && link.To != region.Region, pointer+"/to", "another region of this document")
		v.Unique(seen, pointer+"/to", link.To)
		v.positiveDuration(pointer+"/one_way", link.OneWay)
	}
}

func elementPointer(pointer string, i int) string {
	return pointer + "/" + strconv.Itoa(i)
}
