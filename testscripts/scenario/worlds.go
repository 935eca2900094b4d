package scenario

import (
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// worlds holds each running script's world.
type worlds struct {
	options Options
	mu      sync.Mutex
	byName  map[string]*world
}

func (all *worlds) of(ts *testscript.TestScript) *world {
	all.mu.Lock()
	defer all.mu.Unlock()
	name := ts.Name()
	if w := all.byName[name]; w != nil {
		return w
	}
	w := &world{
		options:  all.options,
		loads:    make(map[string]*load),
		monitors: make(map[string]*monitor),
		amended:  make(map[string]publishedBucket),
		marks:    make(map[string]time.Time),
	}
	all.byName[name] = w
	ts.Defer(func() {
		all.mu.Lock()
		defer all.mu.Unlock()
		delete(all.byName, name)
	})
	return w
}
