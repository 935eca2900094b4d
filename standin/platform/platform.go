// Package platform is a stand-in for the platform's configuration service and
// its lagging list of VMs and endpoints. It holds everything in memory, serves
// the published HTTP protocol, and takes switches for the platform's faults.
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

// Errors of the protocol.
var (
	ErrOutage   = errors.New("the platform is down")
	ErrRate     = errors.New("too many reads this second")
	ErrNotFound = errors.New("no such key")
	ErrConflict = errors.New("the revision differs from If-Revision")
)

// Platform is the state of the stand-in. It is safe for concurrent use.
type Platform struct {
	mu       sync.Mutex
	history  history
	rate     rate
	switches Switches
	// wake is closed and replaced at each change that a waiting watch may await.
	wake chan struct{}
}

// New makes an empty platform with the given switches.
func New(switches Switches) *Platform {
	return &Platform{
		switches: switches,
		wake:     make(chan struct{}),
	}
}

// Serve answers on the listener until ctx ends; waiting watches end with 503.
func (p *Platform) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           p.Handler(),
		ReadHeaderTimeout: maxWait,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	return graceful.Serve(ctx, listener, server)
}

// Load publishes each file DIR/a/b.json under the key a/b, in the order of names.
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

// Put writes a value and gives its revision. With ifRevision it fails with
// ErrConflict, and gives the key's revision, unless that equals *ifRevision;
// a key never written has revision zero.
func (p *Platform) Put(key, value string, ifRevision *uint64) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held, _ := p.history.get(key, p.history.revision)
	if ifRevision != nil && *ifRevision != held.Revision {
		return held.Revision, ErrConflict
	}
	defer p.changed()
	return p.history.put(key, value), nil
}

// PutList publishes the list and gives its revision. The condition is that of Put.
func (p *Platform) PutList(list fleet.List, ifRevision *uint64) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.history.listRevision()
	if ifRevision != nil && *ifRevision != held {
		return held, ErrConflict
	}
	defer p.changed()
	return p.history.putList(list, time.Now()), nil
}

// Get reads one value. It costs one read.
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

// Changes is the answer to a watch. Revision is the one that was served.
type Changes struct {
	Revision uint64  `json:"revision"`
	Values   []Value `json:"values"`
}

// Watch returns all values newer than a revision as soon as there are any, or
// none when the deadline passes first. It costs one read for each second.
func (p *Platform) Watch(ctx context.Context, after uint64, until time.Time) (Changes, error) {
	return poll(ctx, p, until, func(time.Time) look[Changes] {
		values := p.history.newer(after, p.asOf())
		return look[Changes]{
			answer: Changes{
				Revision: p.asOf(),
				Values:   values,
			},
			found: len(values) > 0,
		}
	})
}

// WatchList returns the list as soon as it is newer than a revision, or nil when
// the deadline passes first. It costs one read for each second.
func (p *Platform) WatchList(ctx context.Context, after uint64, until time.Time) (*fleet.List, error) {
	return poll(ctx, p, until, func(now time.Time) look[*fleet.List] {
		lag := p.switches.ListLag.Duration
		shownBy := now.Add(-lag)
		list, ok := p.history.listAt(p.asOf(), shownBy)
		if ok && list.Revision > after {
			return look[*fleet.List]{
				answer: &list,
				found:  true,
			}
		}
		next, pending := p.history.nextList(shownBy)
		if !pending {
			return look[*fleet.List]{}
		}
		return look[*fleet.List]{
			again: next.Add(lag),
		}
	})
}

// Switches returns the switches in force.
func (p *Platform) Switches() Switches {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.switches
}

// SetSwitches replaces the switches; waiting watches look again.
func (p *Platform) SetSwitches(switches Switches) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.switches = switches
	p.changed()
}

// Counters returns the counters as of now.
func (p *Platform) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate.advance(time.Now())
	return p.rate.counters
}

// admit counts one read and fails when the platform would not answer it.
func (p *Platform) admit(now time.Time) error {
	if !p.rate.take(p.switches.limit(), now) {
		return ErrRate
	}
	if p.switches.Outage {
		return ErrOutage
	}
	return nil
}

// asOf returns the revision that readers see.
func (p *Platform) asOf() uint64 {
	return p.switches.asOf(p.history.revision)
}

// changed wakes the waiting watches.
func (p *Platform) changed() {
	close(p.wake)
	p.wake = make(chan struct{})
}
