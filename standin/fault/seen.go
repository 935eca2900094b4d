package fault

import (
	"bytes"
	"net/http"
	"regexp"
	"sync"
)

// keptBytes bounds the bodies that are kept whole for a search.
const keptBytes = 16 << 20

var markerPattern = regexp.MustCompile(`marker=([\w.-]+)`)

// Marker returns the text after "marker=" in a text; empty if there is none.
func Marker(text []byte) string {
	found := markerPattern.FindSubmatch(text)
	if found == nil {
		return ""
	}
	return string(found[1])
}

// Seen remembers request bodies: every marker for good, and the last bodies
// whole. It is safe for concurrent use.
type Seen struct {
	mu      sync.Mutex
	markers map[string]bool
	bodies  [][]byte
	bytes   int
}

// NewSeen makes an empty memory.
func NewSeen() *Seen {
	return &Seen{
		markers: make(map[string]bool),
	}
}

// Add remembers a body, which must not be changed afterwards.
func (s *Seen) Add(body []byte) {
	found := markerPattern.FindAllSubmatch(body, -1)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, match := range found {
		s.markers[string(match[1])] = true
	}
	s.bodies = append(s.bodies, body)
	s.bytes += len(body)
	for s.bytes > keptBytes {
		s.bytes -= len(s.bodies[0])
		s.bodies[0] = nil
		s.bodies = s.bodies[1:]
	}
}

// Has reports whether a body held the text: any marker, or any text of the last bodies.
func (s *Seen) Has(text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.markers[text] {
		return true
	}
	for _, body := range s.bodies {
		if bytes.Contains(body, []byte(text)) {
			return true
		}
	}
	return false
}

// SeenReport is the answer to GET /admin/seen.
type SeenReport struct {
	Seen bool `json:"seen"`
}

// Get serves GET /admin/seen?marker=TEXT.
func (s *Seen) Get(w http.ResponseWriter, r *http.Request) {
	WriteJSON(w, SeenReport{Seen: s.Has(r.URL.Query().Get("marker"))})
}
