// Package store is an in-memory fake of the platform's key-value store of routes
// and endpoints. It serves paginated ranges and watches by revision over the
// store's HTTP API, supports compaction, comes back from older copies of itself, and fails
// on demand.
package store

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of items per page, small enough that tests need several.
const pageSize = 50

// Mode selects how the store responds to requests.
type Mode string

// Modes of a store. ModeBusy responds with 503, ModeMany with 429, ModeSilent
// never responds, and ModeReset closes the connection.
const (
	ModeServing Mode = ""
	ModeBusy    Mode = "busy"
	ModeMany    Mode = "many"
	ModeSilent  Mode = "silent"
	ModeReset   Mode = "reset"
)

// Item is a stored value as it is sent, or its deletion if Removed is set.
type Item struct {
	Key     string
	Value   string `json:",omitempty"`
	Rev     uint64
	Created uint64
	Lease   uint64
	Removed bool `json:",omitempty"`
}

// Store is a fake key-value store. It is safe for concurrent use.
type Store struct {
	mu sync.Mutex
	// era counts the restores; revisions are given out again after each.
	era      uint64
	revision uint64
	items    map[string]Item
	history  []Item
	// compactedRevision is the revision up to which the history was discarded.
	compactedRevision uint64
	mode              Mode
	delay             time.Duration
	changed           chan struct{}
	reads             int
}

// New returns an empty store.
func New() *Store {
	return &Store{
		items:   make(map[string]Item),
		changed: make(chan struct{}),
	}
}

// Put writes a value as JSON and returns its revision.
func (s *Store) Put(key string, value any) (uint64, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	return s.PutBytes(key, data), nil
}

// PutBytes writes a value of any bytes and returns its revision.
func (s *Store) PutBytes(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	created := s.revision + 1
	if held, ok := s.items[key]; ok {
		created = held.Created
	}
	return s.write(Item{
		Key:     key,
		Value:   base64.StdEncoding.EncodeToString(value),
		Created: created,
	})
}

// Remove deletes a key if it exists, and returns the store's revision.
func (s *Store) Remove(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return s.revision
	}
	return s.write(Item{
		Key:     key,
		Removed: true,
	})
}

func (s *Store) write(item Item) uint64 {
	s.revision++
	item.Rev = s.revision
	s.history = append(s.history, item)
	if item.Removed {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// Compact compacts the history, so that watches from an older revision get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compactedRevision = s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetMode sets the response mode and a delay before each response.
func (s *Store) SetMode(mode Mode, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	s.delay = delay
}

// Reads returns the number of requests so far.
func (s *Store) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// Serve serves on the listener until ctx ends, then closes all connections.
func (s *Store) Serve(ctx context.Context, ln net.Listener) error {
	server := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: 10 * time.Second,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(ln)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Handler serves the store's HTTP API.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	mux.HandleFunc("GET /kv-key", s.serveKey)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerEra, strconv.FormatUint(s.currentEra(), 10))
		if s.applyMode(w, r) {
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// applyMode delays and fails a request according to the mode. It returns false if
// the request is to be served.
func (s *Store) applyMode(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	s.reads++
	mode, delay := s.mode, s.delay
	s.mu.Unlock()
	if delay > 0 {
		sleep(r.Context(), delay)
	}
	switch mode {
	case ModeBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case ModeMany:
		w.WriteHeader(http.StatusTooManyRequests)
	case ModeSilent:
		<-r.Context().Done()
	case ModeReset:
		panic(http.ErrAbortHandler)
	default:
		return false
	}
	return true
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("PathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageSize
	writeJSON(w, struct {
		Items     []Item `json:"items"`
		MorePages bool
		AsOf      uint64
	}{
		Items:     items[:min(len(items), pageSize)],
		MorePages: more,
		AsOf:      s.revision,
	})
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[r.URL.Query().Get("Key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		Item
		AsOf uint64
	}{
		Item: item,
		AsOf: s.revision,
	})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, errAfter := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, errWait := strconv.ParseInt(query.Get("WaitMs"), 10, 64)
	if errAfter != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	era := s.currentEra()
	for {
		s.mu.Lock()
		events, revision, compacted := s.eventsSince(query.Get("PathPrefix"), after)
		changed, mode, restored := s.changed, s.mode, s.era != era
		s.mu.Unlock()
		switch {
		case mode != ModeServing || restored:
			// A failing store never completes the watches that are waiting, nor does one that
			// has come back.
			<-r.Context().Done()
			return
		case compacted:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || ctx.Err() != nil:
			writeJSON(w, struct {
				Events []Item `json:"events"`
				AsOf   uint64
			}{
				Events: events,
				AsOf:   revision,
			})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *Store) eventsSince(prefix string, after uint64) (events []Item, revision uint64, compacted bool) {
	if after < s.compactedRevision || after > s.revision {
		return nil, 0, true
	}
	events = []Item{}
	for _, item := range s.history {
		if item.Rev > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events, s.revision, false
}

func writeJSON[T any](w http.ResponseWriter, body T) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
