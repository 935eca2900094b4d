package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxHistory is the number of changes that the store keeps.
const maxHistory = 4096

// storeItem is an item of the store, or its removal.
type storeItem struct {
	Key     string
	Value   string `json:",omitempty"`
	Rev     uint64
	Created uint64 `json:",omitempty"`
	Removed bool   `json:",omitempty"`
}

// store stands for the platform's metadata store.
type store struct {
	addr string

	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
}

func newStore() *store {
	return &store{
		items:   make(map[string]storeItem),
		changed: make(chan struct{}),
	}
}

// put writes a value as JSON.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := storeItem{Key: key, Value: base64.StdEncoding.EncodeToString(data), Rev: s.revision, Created: s.revision}
	if held, ok := s.items[key]; ok {
		item.Created = held.Created
	}
	s.items[key] = item
	s.history = append(s.history, item)
	if len(s.history) > maxHistory {
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers range and watch calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch r.URL.Path {
	case "/kv-range":
		s.serveRange(w, query.Get("PathPrefix"))
	case "/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("WaitMs"))
		s.serveWatch(w, r, query.Get("PathPrefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix string) {
	s.mu.Lock()
	items := []storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	writeJSON(w, map[string]any{"items": items, "MorePages": false, "AsOf": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events := []storeItem{}
		lost := len(s.history) > 0 && s.history[0].Rev > after+1
		for _, item := range s.history {
			if item.Rev > after && strings.HasPrefix(item.Key, prefix) {
				events = append(events, item)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if lost {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || expired {
			writeJSON(w, map[string]any{"events": events, "AsOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
