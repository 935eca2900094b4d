// Package store is a stand-in for the platform's store of routes and
// endpoints. It speaks the published protocol: ranges by page, watches by
// revision, a bounded history, stale reads, and the ways in which it fails.
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

// pageItems is how many items one page holds; small, so that tests see several.
const pageItems = 50

// Mode is how the store answers.
type Mode string

// The modes.
const (
	ModeServing Mode = ""
	// ModeBusy answers 503, ModeMany 429, ModeSilent nothing, and ModeReset
	// resets the connection.
	ModeBusy   Mode = "busy"
	ModeMany   Mode = "many"
	ModeSilent Mode = "silent"
	ModeReset  Mode = "reset"
)

// Item is one item or, where Removed is set, its removal, as it is sent.
type Item struct {
	Key     string
	Value   string `json:",omitempty"`
	Rev     uint64
	Created uint64
	Lease   uint64
	Removed bool `json:",omitempty"`
}

// Store holds the items. Its methods may be called from any goroutine.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]Item
	history  []Item
	// forgotten is the revision up to which the history was dropped.
	forgotten uint64
	mode      Mode
	delay     time.Duration
	changed   chan struct{}
	reads     int
}

// New makes an empty store.
func New() *Store {
	return &Store{
		items:   make(map[string]Item),
		changed: make(chan struct{}),
	}
}

// Put writes a value and gives its revision.
func (s *Store) Put(key string, value any) (uint64, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	created := s.revision + 1
	if held, ok := s.items[key]; ok {
		created = held.Created
	}
	return s.write(Item{
		Key:     key,
		Value:   base64.StdEncoding.EncodeToString(data),
		Created: created,
	}), nil
}

// Remove removes a key, if it is there.
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

// Forget drops the history, so that older watches get 410.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.forgotten = s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetMode changes how the store answers, and how late.
func (s *Store) SetMode(mode Mode, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	s.delay = delay
}

// Reads counts the calls so far.
func (s *Store) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// Serve answers until ctx ends.
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

// Handler serves the published protocol.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	mux.HandleFunc("GET /kv-key", s.serveKey)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.fails(w, r) {
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// fails answers as the mode says; it is false where the call is served.
func (s *Store) fails(w http.ResponseWriter, r *http.Request) bool {
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
	more := len(items) > pageItems
	answer(w, struct {
		Items     []Item `json:"items"`
		MorePages bool
		AsOf      uint64
	}{
		Items:     items[:min(len(items), pageItems)],
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
	answer(w, struct {
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
	for {
		s.mu.Lock()
		events, revision, lost := s.since(query.Get("PathPrefix"), after)
		changed, mode := s.changed, s.mode
		s.mu.Unlock()
		switch {
		case mode != ModeServing:
			// A watch that waits as the store fails gets nothing more.
			<-r.Context().Done()
			return
		case lost:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || ctx.Err() != nil:
			answer(w, struct {
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

func (s *Store) since(prefix string, after uint64) (events []Item, revision uint64, lost bool) {
	if after < s.forgotten {
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

func answer[T any](w http.ResponseWriter, body T) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the reader has gone.
	_ = json.NewEncoder(w).Encode(body)
}
