package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/fuchsianotch/fuchsianotch/settings"
	"github.com/fuchsianotch/fuchsianotch/standin/caller"
	"github.com/fuchsianotch/fuchsianotch/standin/fault"
	"github.com/fuchsianotch/fuchsianotch/standin/load"
	"github.com/fuchsianotch/fuchsianotch/testscripts/rig"
)

const (
	model   = "model"
	service = "service"
	// settleFor lets VMs take load reports and lend their shares before a run.
	settleFor = 2 * time.Second
)

// plan describes one deployment.
type plan struct {
	regions    []rig.Region
	workspaces []workspace
	policies   func(*settings.Policies)
	adjust     func(*settings.Settings)
}

// world is one deployment that runs.
type world struct {
	*rig.Rig
	plan plan
	dir  string
}

// start starts a deployment with documents made for it.
func (b *bench) start(p plan) (*world, error) {
	dir, err := os.MkdirTemp("", "fuchsianotch-measure")
	if err != nil {
		return nil, err
	}
	documents := filepath.Join(dir, "documents")
	if err := writeDocuments(documents, p); err != nil {
		return nil, err
	}
	r, err := rig.Start(rig.Options{
		Bin:       b.bin,
		Dir:       dir,
		Documents: documents,
		Regions:   p.regions,
		AdjustSettings: func(s *settings.Settings) {
			if p.policies != nil {
				p.policies(&s.Policies)
			}
			if p.adjust != nil {
				p.adjust(s)
			}
		},
	})
	if err != nil {
		_ = os.RemoveAll(dir)
		return nil, err
	}
	time.Sleep(settleFor)
	return &world{
		Rig:  r,
		plan: p,
		dir:  dir,
	}, nil
}

func (w *world) close() {
	w.Close()
	_ = os.RemoveAll(w.dir)
}

// targets tells the load tool of the deployment. Calls of a workspace start at
// the VMs of its home.
func (w *world) targets() load.Targets {
	t := load.Targets{
		Model:   model,
		Service: service,
	}
	for _, region := range w.plan.regions {
		r := load.Region{
			Region: region.Name,
		}
		for _, vm := range w.VMsInRegion(region.Name) {
			r.VMs = append(r.VMs, vm.Fleet.CallerAddr)
		}
		for _, ws := range w.plan.workspaces {
			if ws.home == region.Name {
				r.Workspaces = append(r.Workspaces, load.Workspace{
					Workspace: ws.name,
					Key:       ws.key(),
				})
			}
		}
		if len(r.Workspaces) > 0 {
			t.Regions = append(t.Regions, r)
		}
	}
	for _, e := range w.Endpoints {
		t.Endpoints = append(t.Endpoints, load.Endpoint{
			Region:  e.Fleet.Region,
			Addr:    e.Fleet.Addr,
			Service: e.Fleet.Service != "",
		})
	}
	for _, vm := range w.VMs {
		t.Operators = append(t.Operators, vm.Fleet.OperatorAddr)
	}
	return t
}

// send runs one load to its end.
func (w *world) send(ctx context.Context, o load.Options) (*load.Record, error) {
	if len(o.Targets.Regions) == 0 {
		o.Targets = w.targets()
	}
	o.Client = caller.NewClient()
	defer o.Client.CloseIdleConnections()
	run, err := load.New(o)
	if err != nil {
		return nil, err
	}
	return run.Measure(ctx), nil
}

// fault switches faults of one stand-in.
func (w *world) fault(e *rig.Endpoint, f fault.Faults) error {
	body := fmt.Sprintf(`{"slow":%q,"silent":%t,"lie_load":%t,"leaving":%t}`, f.Slow.String(), f.Silent, f.ReportIdle, f.Leaving)
	return w.PutTo(e.Fleet.Addr, "/admin/faults", []byte(body))
}

// oneRegion is a region with model replicas and two services.
func oneRegion(name string, vms, replicas, slots int, args ...string) rig.Region {
	return rig.Region{
		Name:       name,
		DataCentre: name + "-1",
		VMs:        vms,
		Endpoints: []rig.EndpointGroup{
			{
				Model:    model,
				Replicas: replicas,
				Slots:    slots,
				Args:     args,
			},
			{
				Service:  service,
				Replicas: 2,
			},
		},
	}
}

// engine returns the arguments of a stand-in engine.
func engine(step time.Duration, prefillRate, cacheBlocks int) []string {
	return []string{
		"--step", step.String(),
		"--prefill-rate", strconv.Itoa(prefillRate),
		"--cache-blocks", strconv.Itoa(cacheBlocks),
	}
}

// manyWorkspaces makes workspaces of one home with generous limits.
func manyWorkspaces(home string, n int, regions ...string) []workspace {
	var out []workspace
	for i := range n {
		out = append(out, workspace{
			name:    fmt.Sprintf("ws-%s-%d", home, i),
			home:    home,
			regions: append([]string{home}, regions...),
		})
	}
	return out
}
