package main

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

// maxItems is the number of items on one page of a range.
const maxItems = 500

// item is a stored value, or its removal.
type item struct {
	Key     string
	Value   string `json:",omitempty"`
	Rev     uint64
	Created uint64
	Lease   uint64
	Removed bool `json:",omitempty"`
}

// gate is the store's address for one machine.
type gate struct {
	ln net.Listener

	mu sync.Mutex
	// refusing is closed while the store turns the machine away, with 503.
	refusing chan struct{}
}

func (g *gate) addr() string { return g.ln.Addr().String() }

// refuse turns the machine away from now on, also the watches that wait.
func (g *gate) refuse() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.refusing)
}

// allow ends refuse.
func (g *gate) allow() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refusing = make(chan struct{})
}

// turnedAway returns a channel that is closed while the machine is turned away.
func (g *gate) turnedAway() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refusing
}

func (g *gate) isRefusing() bool {
	select {
	case <-g.turnedAway():
		return true
	default:
		return false
	}
}

// store is a stand-in for the platform's metadata store, with ranges and watches.
type store struct {
	gates []*gate

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

func newStore() *store {
	return &store{
		revision: 1,
		items:    make(map[string]item),
		changed:  make(chan struct{}),
	}
}

// open serves the store at an address of its own for one machine.
func (s *store) open(addr string) (*gate, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	g := &gate{
		ln:       ln,
		refusing: make(chan struct{}),
	}
	s.gates = append(s.gates, g)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", func(w http.ResponseWriter, r *http.Request) { s.serveWatch(g, w, r) })
	mux.HandleFunc("GET /kv-key", s.serveKey)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.isRefusing() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
	go func() {
		// It ends with its listener.
		_ = http.Serve(ln, handler) //nolint:gosec // a stand-in on loopback
	}()
	return g, nil
}

// put writes a value; its return is the acknowledgement.
func (s *store) put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.write(item{
		Key:   key,
		Value: base64.StdEncoding.EncodeToString(data),
	})
	return nil
}

func (s *store) write(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Rev = s.revision
	i.Created = s.revision
	if held, ok := s.items[i.Key]; ok {
		i.Created = held.Created
	}
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("PathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, map[string]any{
		"items":     list[:min(len(list), maxItems)],
		"MorePages": len(list) > maxItems,
		"AsOf":      s.revision,
	})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("Key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, i)
}

func (s *store) serveWatch(g *gate, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, errAfter := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(query.Get("WaitMs"))
	if errAfter != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, query.Get("PathPrefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ctx.Err() != nil {
			writeJSON(w, map[string]any{
				"events": events,
				"AsOf":   revision,
			})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		case <-g.turnedAway():
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the caller has left.
	_ = json.NewEncoder(w).Encode(body)
}
