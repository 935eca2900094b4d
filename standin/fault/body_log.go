package fault

import (
	"bytes"
	"net/http"
	"regexp"
	"sync"
)

// maxBodyBytes bounds the total size of the bodies retained for searches.
const maxBodyBytes = 16 << 20

var markerPattern = regexp.MustCompile(`marker=([\w.-]+)`)

// Marker returns the word after the first "marker=" in a text, or an empty string.
func Marker(text []byte) string {
	found := markerPattern.FindSubmatch(text)
	if found == nil {
		return ""
	}
	return string(found[1])
}

// BodyLog records request bodies: the markers of all, and the full text of recent
// ones. It is safe for concurrent use.
type BodyLog struct {
	mu      sync.Mutex
	markers map[string]bool
	bodies  [][]byte
	bytes   int
}

// NewBodyLog returns an empty record.
func NewBodyLog() *BodyLog {
	return &BodyLog{
		markers: make(map[string]bool),
	}
}

// Add records a body, which the caller must not modify afterwards.
func (s *BodyLog) Add(body []byte) {
	found := markerPattern.FindAllSubmatch(body, -1)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, match := range found {
		s.markers[string(match[1])] = true
	}
	s.bodies = append(s.bodies, body)
	s.bytes += len(body)
	for s.bytes > maxBodyBytes {
		s.bytes -= len(s.bodies[0])
		s.bodies[0] = nil
		s.bodies = s.bodies[1:]
	}
}

// Contains reports whether text was a marker in any body or occurs in a recent one.
func (s *BodyLog) Contains(text string) bool {
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

// ContainsReport is the response to GET /admin/seen.
type ContainsReport struct {
	Seen bool `json:"seen"`
}

// ServeContains serves GET /admin/seen?marker=TEXT.
func (s *BodyLog) ServeContains(w http.ResponseWriter, r *http.Request) {
	WriteJSON(w, ContainsReport{Seen: s.Contains(r.URL.Query().Get("marker"))})
}
