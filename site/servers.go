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
	"github.com/fuchsianotch/fuchsianotch/operator"
	"github.com/fuchsianotch/fuchsianotch/peer"
	"github.com/fuchsianotch/fuchsianotch/platform"
)

// httpServer is an HTTP server and its listen address.
type httpServer struct {
	addr   string
	server *http.Server
}

// metricsServer returns the server for metrics and for explanations of routes; gauges are
// updated per scrape.
func (n *Node) metricsServer(port int) httpServer {
	mux := http.NewServeMux()
	handler := n.metrics.Handler()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		n.updateGauges()
		handler.ServeHTTP(w, r)
	})
	mux.Handle(operator.PathRoute, operator.NewRouteHandler(n.handleRoute))
	return httpServer{
		addr: net.JoinHostPort(n.deployment.IP, strconv.Itoa(port)),
		server: &http.Server{
			Handler:           mux,
			ReadHeaderTimeout: readHeaderTimeout,
		},
	}
}

func (n *Node) addServers(group *run.Group) error {
	server, err := peer.NewServer(n.peerHandlers())
	if err != nil {
		return err
	}
	n.peerServer = server
	peers, err := tcp.Listen(context.Background(), n.deployment.PeerAddr)
	if err != nil {
		return err
	}
	worker.Add(group, func(ctx context.Context) error {
		return server.Serve(ctx, peers)
	})
	directory := &http.Server{
		Handler: platform.NewDirectoryHandler(platform.DirectoryOptions{
			Resolve: n.entryAddrs,
			TTL:     n.entriesTTL(),
		}),
		ReadHeaderTimeout: readHeaderTimeout,
	}
	checks := &http.Server{
		Handler:           platform.NewReadinessHandler(n.ready),
		ReadHeaderTimeout: readHeaderTimeout,
	}
	servers := []httpServer{
		{addr: n.deployment.CallerAddr, server: n.callerServer},
		{addr: n.deployment.DirectoryAddr, server: directory},
		{addr: n.deployment.ReadyAddr, server: checks},
	}
	if port := n.settings.MetricsPort; port > 0 {
		servers = append(servers, n.metricsServer(port))
	}
	for _, srv := range servers {
		inner, err := net.Listen("tcp", srv.addr)
		if err != nil {
			return err
		}
		ln := listen.NewStoppableListener(inner)
		if srv.server == n.callerServer {
			n.callerListener.Store(ln)
			srv.server.ConnState = ln.OnState
		}
		worker.AddHTTP(group, n.stopped, func() error { return srv.server.Serve(ln) }, srv.server.Close)
	}
	return nil
}
