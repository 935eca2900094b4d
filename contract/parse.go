package contract

import (
	"strconv"
	"strings"

	"github.com/fuchsianotch/fuchsianotch/common/jsonc"
	"github.com/fuchsianotch/fuchsianotch/result"
)

const (
	// MaxBytes is the maximum size of a document, which is the configuration
	// service's limit for one value.
	MaxBytes = 1 << 20
	// MaxBuckets is the maximum number of contract buckets.
	MaxBuckets = 1 << 12
)

// Document is a parsed document. The key determines which one of Bucket, Models
// and Regions is set.
type Document struct {
	Key     string
	Bucket  *Bucket
	Models  *Models
	Regions *Regions
}

// KnownKey reports whether key names a document of this package.
func KnownKey(key string) bool {
	if key == KeyModels || key == KeyRegions {
		return true
	}
	_, ok := bucketIndex(key)
	return ok
}

// bucketIndex parses N from "contracts/N". It accepts only the canonical decimal
// form, so that each bucket has exactly one key.
func bucketIndex(key string) (int, bool) {
	text, found := strings.CutPrefix(key, KeyBucketPrefix)
	if !found {
		return 0, false
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n >= MaxBuckets || strconv.Itoa(n) != text {
		return 0, false
	}
	return n, true
}

// Parse decodes and validates a document. The outcome depends only on key and
// value. A refusal has a code from 4001 to 4007 and reports the first problem with
// its line, its field and what is expected.
func Parse(key string, value []byte) (*Document, *result.Refusal) {
	if !KnownKey(key) {
		return nil, result.Refuse(result.DocumentKey, "%q: want %q, %q or %q with a number below %d",
			key, KeyModels, KeyRegions, KeyBucketPrefix, MaxBuckets)
	}
	if len(value) > MaxBytes {
		return nil, result.Refuse(result.DocumentTooLarge, "%s: want at most %d bytes, not %d", key, MaxBytes, len(value))
	}
	if format, ok := jsonc.Peek[int](value, "/format"); ok && format != FormatVersion {
		problem := jsonc.At(key, value, "/format", jsonc.KindValue, "format "+strconv.Itoa(FormatVersion))
		return nil, result.Refuse(result.DocumentFormat, "%s", problem.Error())
	}
	d := &Document{
		Key: key,
	}
	if problem := d.read(value); problem != nil {
		return nil, result.Refuse(codeOf(problem.Kind), "%s", problem.Error())
	}
	return d, nil
}

func (d *Document) read(value []byte) (problem *jsonc.Problem) {
	switch d.Key {
	case KeyModels:
		d.Models, problem = readAs(d.Key, value, (*verifier).models)
	case KeyRegions:
		d.Regions, problem = readAs(d.Key, value, (*verifier).regions)
	default:
		d.Bucket, problem = readAs(d.Key, value, (*verifier).bucket)
	}
	return problem
}

func readAs[T any](key string, value []byte, check func(*verifier, *T)) (*T, *jsonc.Problem) {
	read, problem := jsonc.Decode[T](key, value)
	if problem != nil {
		return nil, problem
	}
	v := &verifier{
		Verifier: jsonc.Verifier{
			File: key,
			Data: value,
		},
	}
	check(v, read)
	return read, v.Problem()
}

func codeOf(kind jsonc.Kind) result.Code {
	switch kind {
	case jsonc.KindSyntax:
		return result.DocumentSyntax
	case jsonc.KindUnknown:
		return result.DocumentUnknown
	case jsonc.KindDuplicate:
		return result.DocumentDuplicate
	default:
		return result.DocumentField
	}
}
