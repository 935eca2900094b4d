package site

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"github.com/oklog/run"

	"github.com/fuchsianotch/fuchsianotch/common/listen"
	"github.com/fuchsianotch/fuchsianotch/common/tcp"
	"github.com/fuchsianotch/fuchsianotch/common/worker"
	"github.com/fuchsianotch/fuchsianotch/peer"
	"github.com/fuchsianotch/fuchsianotch/platform"
)

// front is one HTTP server with its address.
type front struct {
	addr   string
	server *http.Server
}

// metricsFront serves the metrics, with what is measured only when asked.
func (n *Node) metricsFront(port int) front {
	mux := http.NewServeMux()
	handler := n.metrics.Handler()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		n.measure()
		handler.ServeHTTP(w, r)
	})
	return front{
		addr: net.JoinHostPort(n.deployment.IP, strconv.Itoa(port)),
		server: &http.Server{
			Handler:           mux,
			ReadHeaderTimeout: headerWithin,
		},
	}
}

func (n *Node) addFronts(group *run.Group) error {
	server, err := peer.NewServer(n.handlers())
	if err != nil {
		return err
	}
	peers, err := tcp.Listen(context.Background(), n.deployment.PeerAddr)
	if err != nil {
		return err
	}
	worker.Add(group, func(ctx context.Context) error {
		return server.Serve(ctx, peers)
	})
	directory := &http.Server{
		Handler: platform.NewDirectory(platform.DirectoryOptions{
			Entries: n.entries,
			GoodFor: n.entriesGoodFor(),
		}),
		ReadHeaderTimeout: headerWithin,
	}
	checks := &http.Server{
		Handler:           platform.NewReady(n.ready),
		ReadHeaderTimeout: headerWithin,
	}
	fronts := []front{
		{addr: n.deployment.CallerAddr, server: n.callers},
		{addr: n.deployment.EntryAddr, server: directory},
		{addr: n.deployment.ReadyAddr, server: checks},
	}
	if port := n.settings.MetricsPort; port > 0 {
		fronts = append(fronts, n.metricsFront(port))
	}
	for _, front := range fronts {
		inner, err := net.Listen("tcp", front.addr)
		if err != nil {
			return err
		}
		ln := listen.NewStopping(inner)
		if front.server == n.callers {
			n.callersListener.Store(ln)
		}
		worker.AddHTTP(group, n.gone, func() error { return front.server.Serve(ln) }, front.server.Close)
	}
	return nil
}
