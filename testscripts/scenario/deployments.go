package scenario

import (
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// deployments holds the deployment of each running script by its name.
type deployments struct {
	options Options
	mu      sync.Mutex
	byName  map[string]*deployment
}

func (all *deployments) of(ts *testscript.TestScript) *deployment {
	all.mu.Lock()
	defer all.mu.Unlock()
	name := ts.Name()
	if w := all.byName[name]; w != nil {
		return w
	}
	w := &deployment{
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
