package contract

import (
	"strconv"
	"strings"

	"github.com/fuchsianotch/fuchsianotch/common/jsonc"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// Bounds of the documents.
const (
	// MaxBytes is what the configuration service holds in one value.
	MaxBytes = 1 << 20
	// MaxBuckets bounds the number of contract documents.
	MaxBuckets = 1 << 12
)

// Document is one published document. Exactly one of Bucket, Models and
// Regions is set, as the key tells.
type Document struct {
	Key     string
	Bucket  *Bucket
	Models  *Models
	Regions *Regions
}

// KnownKey reports whether documents are published under the key.
func KnownKey(key string) bool {
	if key == KeyModels || key == KeyRegions {
		return true
	}
	_, ok := bucketIndex(key)
	return ok
}

// bucketIndex reads N from "contracts/N". Only the plain decimal form counts,
// so that no two keys name one bucket.
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

// Parse reads and checks one document. The verdict depends on the key and the
// bytes alone. A refusal has a code from 4001 to 4007, and names the first
// problem with its line, its field and what would be right.
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
