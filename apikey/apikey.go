// Package apikey reads API keys from bearer tokens and compares their SHA-256 digests.
// Only digests are stored, so that keys are never logged or forwarded.
package apikey

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
)

const (
	// Header is the HTTP header that carries the API key.
	Header = "Authorization"
	// scheme is the authentication scheme of RFC 6750, which is case-insensitive.
	scheme = "bearer"
	// maxLength is the maximum length of a key, in bytes.
	maxLength = 1024
)

// Digest is the SHA-256 digest of a key. The zero value means no key.
type Digest [sha256.Size]byte

// Sum returns the digest of a key.
func Sum(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// FromBytes converts the bytes of a digest; ok is false if their length is wrong.
func FromBytes(data []byte) (digest Digest, ok bool) {
	var d Digest
	if len(data) != len(d) {
		return d, false
	}
	copy(d[:], data)
	return d, true
}

// Equal compares two digests in constant time.
func (d Digest) Equal(other Digest) bool {
	return subtle.ConstantTimeCompare(d[:], other[:]) == 1
}

// EqualHex compares the digest with one in lower-case hexadecimal in constant time.
func (d Digest) EqualHex(other string) bool {
	return subtle.ConstantTimeCompare([]byte(hex.EncodeToString(d[:])), []byte(other)) == 1
}

// IsZero reports whether the digest is the zero value, which means no key.
func (d Digest) IsZero() bool {
	return d == Digest{}
}

// Bearer returns the bearer token of a request. ok is false if the header is missing,
// repeated or malformed, or has another scheme.
func Bearer(h http.Header) (key string, ok bool) {
	values := h[Header]
	if len(values) != 1 {
		return "", false
	}
	name, key, found := strings.Cut(values[0], " ")
	if !found || !strings.EqualFold(name, scheme) || !isToken(key) {
		return "", false
	}
	return key, true
}

// isToken reports whether text is a valid key: printable ASCII without spaces and commas.
func isToken(text string) bool {
	if text == "" || len(text) > maxLength {
		return false
	}
	return strings.IndexFunc(text, func(r rune) bool { return r <= ' ' || r > '~' || r == ',' }) < 0
}
