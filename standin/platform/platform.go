// Package platform is an in-memory fake of the platform's configuration service
// and of its lagging list of VMs and endpoints. It serves the same HTTP API, and
// its faults can be switched on.
package platform

import (
	"context"
	"errors"
	"io/fs"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/standin/graceful"
)

// Errors of the API.
var (
	ErrOutage      = errors.New("the platform is down")
	ErrRateLimited = errors.New("too many reads this second")
	ErrNotFound    = errors.New("no such key")
	ErrConflict    = errors.New("the revision differs from If-Revision")
)

// Platform is a fake platform. It is safe for concurrent use.
type Platform struct {
	mu       sync.Mutex
	history  history
	limiter  readLimiter
	switches Switches
	// wake is closed and replaced at each change, to wake waiting watches.
	wake chan struct{}
}

// New returns an empty platform with the given switches.
func New(switches Switches) *Platform {
	return &Platform{
		switches: switches,
		wake:     make(chan struct{}),
	}
}

// Serve serves on the listener until ctx ends; waiting watches then fail with 503.
func (p *Platform) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           p.Handler(),
		ReadHeaderTimeout: maxWait,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	return graceful.Serve(ctx, listener, server)
}

// Load publishes each file DIR/a/b.json under the key a/b, in lexical order.
func (p *Platform) Load(dir string) error {
	return filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".json" {
			return err
		}
		value, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		name, err := filepath.Rel(dir, path)
		if err != nil {
			return err
		}
		_, err = p.Put(strings.TrimSuffix(filepath.ToSlash(name), ".json"), string(value), nil)
		return err
	})
}

// Put writes a value and returns its revision. If ifRevision is set and differs
// from the key's revision, Put returns that revision and ErrConflict. A key that
// was never written has revision zero.
func (p *Platform) Put(key, value string, ifRevision *uint64) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held, _ := p.history.get(key, p.history.revision)
	if ifRevision != nil && *ifRevision != held.Revision {
		return held.Revision, ErrConflict
	}
	defer p.notifyWatchers()
	return p.history.put(key, value), nil
}

// PutList publishes the list and returns its revision. It treats ifRevision like
// Put.
func (p *Platform) PutList(list fleet.List, ifRevision *uint64) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.history.listRevision()
	if ifRevision != nil && *ifRevision != held {
		return held, ErrConflict
	}
	defer p.notifyWatchers()
	return p.history.putList(list, time.Now()), nil
}

// Get returns a value. It counts as one read.
func (p *Platform) Get(key string) (Value, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.admit(time.Now()); err != nil {
		return Value{}, err
	}
	value, ok := p.history.get(key, p.asOf())
	if !ok {
		return Value{}, ErrNotFound
	}
	return value, nil
}

// Changes is the response to a watch. Values are as of Revision.
type Changes struct {
	Revision uint64  `json:"revision"`
	Values   []Value `json:"values"`
}

// Watch returns all values newer than a revision as soon as there are any, or
// none if the deadline passes first. Each second counts as one read.
func (p *Platform) Watch(ctx context.Context, after uint64, until time.Time) (Changes, error) {
	return poll(ctx, p, until, func(time.Time) pollResult[Changes] {
		values := p.history.changedSince(after, p.asOf())
		return pollResult[Changes]{
			answer: Changes{
				Revision: p.asOf(),
				Values:   values,
			},
			found: len(values) > 0,
		}
	})
}

// WatchList returns the list as soon as it is newer than a revision, or nil if
// the deadline passes first. Each second counts as one read.
func (p *Platform) WatchList(ctx context.Context, after uint64, until time.Time) (*fleet.List, error) {
	return poll(ctx, p, until, func(now time.Time) pollResult[*fleet.List] {
		lag := p.switches.ListLag.Duration
		shownBy := now.Add(-lag)
		list, ok := p.history.listAt(p.asOf(), shownBy)
		if ok && list.Revision > after {
			return pollResult[*fleet.List]{
				answer: &list,
				found:  true,
			}
		}
		next, pending := p.history.nextList(shownBy)
		if !pending {
			return pollResult[*fleet.List]{}
		}
		return pollResult[*fleet.List]{
			nextCheck: next.Add(lag),
		}
	})
}

// Switches returns the current switches.
func (p *Platform) Switches() Switches {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.switches
}

// SetSwitches replaces the switches and wakes waiting watches.
func (p *Platform) SetSwitches(switches Switches) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.switches = switches
	p.notifyWatchers()
}

// Counters returns the current counters.
func (p *Platform) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter.advance(time.Now())
	return p.limiter.counters
}

// admit counts one read. It fails over the read limit and during an outage.
func (p *Platform) admit(now time.Time) error {
	if !p.limiter.allow(p.switches.limit(), now) {
		return ErrRateLimited
	}
	if p.switches.Outage {
		return ErrOutage
	}
	return nil
}

// asOf returns the revision visible to readers.
func (p *Platform) asOf() uint64 {
	return p.switches.asOf(p.history.revision)
}

// notifyWatchers wakes the waiting watches.
func (p *Platform) notifyWatchers() {
	close(p.wake)
	p.wake = make(chan struct{})
}
