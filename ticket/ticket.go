// Package ticket gives non-idempotent calls at-most-once execution without a store.
// A ticket names the one incarnation of a VM that may send its call to an endpoint.
// That incarnation's Registry keeps a bounded record of each used ticket in memory. The
// package uses no clock and no network.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// Maximum lengths of a ticket's text and names, in bytes.
const (
	MaxLength    = 512
	MaxVM        = 100
	MaxWorkspace = 200
)

const (
	formatVersion = 1
	macLength     = 16
	keyLength     = 32
)

var textEncoding = base64.RawURLEncoding.Strict()

// IncarnationID identifies one incarnation: one run of a VM's gateway process.
type IncarnationID struct {
	VM          string
	Incarnation uint64
}

// Ticket permits the named incarnation to run one call once.
type Ticket struct {
	VM          string
	Incarnation uint64
	// Sequence is unique within the incarnation.
	Sequence  uint64
	Workspace string
	// ExpiresAt is the expiry time, with a resolution of one millisecond.
	ExpiresAt time.Time
	// MAC is a truncated HMAC-SHA256 of the other fields under the incarnation's key.
	MAC [macLength]byte
}

// Parse decodes a ticket. It does not verify the MAC, so a VM without the key can
// still route the call to its executor. A refusal is TicketInvalid.
func Parse(text string) (Ticket, *result.Refusal) {
	if len(text) > MaxLength {
		return Ticket{}, invalid("the ticket is over %d bytes", MaxLength)
	}
	raw, err := textEncoding.DecodeString(text)
	if err != nil {
		return Ticket{}, invalid("the ticket is not base64url")
	}
	t, ok := decode(raw)
	if !ok {
		return Ticket{}, invalid("the ticket is malformed")
	}
	if t.Text() != text {
		return Ticket{}, invalid("the ticket is not in its canonical form")
	}
	return t, nil
}

// Holder returns the incarnation that issued the ticket.
func (t Ticket) Holder() IncarnationID {
	return IncarnationID{
		VM:          t.VM,
		Incarnation: t.Incarnation,
	}
}

// Text encodes the ticket in the form that Parse decodes.
func (t Ticket) Text() string {
	return textEncoding.EncodeToString(append(t.payload(), t.MAC[:]...))
}

// payload returns the bytes that the MAC covers.
func (t Ticket) payload() []byte {
	b := make([]byte, 0, MaxLength)
	b = append(b, formatVersion)
	b = appendString(b, t.VM)
	b = binary.BigEndian.AppendUint64(b, t.Incarnation)
	b = binary.AppendUvarint(b, t.Sequence)
	b = appendString(b, t.Workspace)
	return binary.AppendVarint(b, t.ExpiresAt.UnixMilli())
}

func (t Ticket) sign(key []byte) [macLength]byte {
	h := hmac.New(sha256.New, key)
	h.Write(t.payload())
	var sum [sha256.Size]byte
	h.Sum(sum[:0])
	return [macLength]byte(sum[:macLength])
}

func (t Ticket) hasValidMAC(key []byte) bool {
	want := t.sign(key)
	return hmac.Equal(want[:], t.MAC[:])
}

func appendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

func decode(raw []byte) (Ticket, bool) {
	r := reader{
		rest: raw,
		ok:   true,
	}
	if r.bytes(1)[0] != formatVersion {
		return Ticket{}, false
	}
	t := Ticket{
		VM:          r.text(MaxVM),
		Incarnation: binary.BigEndian.Uint64(r.bytes(8)),
		Sequence:    r.uvarint(),
		Workspace:   r.text(MaxWorkspace),
		ExpiresAt:   time.UnixMilli(r.varint()),
		MAC:         [macLength]byte(r.bytes(macLength)),
	}
	return t, r.ok && len(r.rest) == 0
}

// reader decodes fields from a byte slice. After an error ok is false and every field
// is zero.
type reader struct {
	rest []byte
	ok   bool
}

func (r *reader) bytes(n int) []byte {
	if !r.ok || len(r.rest) < n {
		r.ok = false
		return make([]byte, n)
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

func (r *reader) text(limit uint64) string {
	n := r.uvarint()
	if n > limit {
		r.ok = false
		return ""
	}
	return string(r.bytes(int(n)))
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	return v * uint64(r.skip(n))
}

func (r *reader) varint() int64 {
	v, n := binary.Varint(r.rest)
	return v * int64(r.skip(n))
}

// skip advances by n bytes. It returns 1 if they held a valid number, else 0.
func (r *reader) skip(n int) int {
	if !r.ok || n <= 0 {
		r.ok = false
		return 0
	}
	r.rest = r.rest[n:]
	return 1
}

func invalid(format string, args ...any) *result.Refusal {
	return result.Refuse(result.TicketInvalid, format, args...)
}
