// Package apikey recognizes callers by the key that they present as a bearer
// token. Keys are compared by their digests and never kept, logged or passed on.
package apikey

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
)

const (
	// Header is the HTTP header that carries a key.
	Header = "Authorization"
	// scheme is the authentication scheme of RFC 6750; its case does not matter.
	scheme = "bearer"
	// maxLength bounds a key, in bytes.
	maxLength = 1024
)

// Digest is the SHA-256 digest of a key. The zero value is the digest of none.
type Digest [sha256.Size]byte

// Sum returns the digest of a key.
func Sum(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// FromBytes reads a digest from another VM; false means that it is none.
func FromBytes(data []byte) (Digest, bool) {
	var d Digest
	if len(data) != len(d) {
		return d, false
	}
	copy(d[:], data)
	return d, true
}

// Equal reports whether two digests are the same, in constant time.
func (d Digest) Equal(other Digest) bool {
	return subtle.ConstantTimeCompare(d[:], other[:]) == 1
}

// EqualHex reports the same for a digest in lower-case hexadecimal.
func (d Digest) EqualHex(other string) bool {
	return subtle.ConstantTimeCompare([]byte(hex.EncodeToString(d[:])), []byte(other)) == 1
}

// IsZero reports whether there is no key.
func (d Digest) IsZero() bool {
	return d == Digest{}
}

// Bearer returns the key of a request. It is false where there is none, more
// than one, or one of another scheme or form.
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

// isToken reports whether a text can be a key: printable ASCII without spaces.
func isToken(text string) bool {
	if text == "" || len(text) > maxLength {
		return false
	}
	return strings.IndexFunc(text, func(r rune) bool { return r <= ' ' || r > '~' || r == ',' }) < 0
}
