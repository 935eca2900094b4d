package peer

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/bounded"
	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// stallTimeout is the deadline of rows whose server stalls.
const stallTimeout = 500 * time.Millisecond

// forwardRow is a case of testdata/forwards.json: the steps of the remote VM for a
// forwarded call, and the outcome that the client returns.
type forwardRow struct {
	Name      string   `json:"name"`
	Steps     []string `json:"steps"`
	HugeBody  bool     `json:"huge_body"`
	Refused   bool     `json:"refused"`
	Garbage   bool     `json:"garbage"`
	SinkFails bool     `json:"sink_fails"`

	Code   string       `json:"code"`
	Class  result.Class `json:"class"`
	Text   string       `json:"text"`
	Served *bool        `json:"served"`
}

func TestForward(t *testing.T) {
	rows := datatest.Read[[]forwardRow](t, "testdata/forwards.json")
	for _, row := range rows {
		t.Run(row.Name, row.run)
	}
}

// remoteVM serves forwarded calls.
type remoteVM struct {
	row    forwardRow
	conn   atomic.Pointer[net.Conn]
	served atomic.Pointer[call.Call]
	// stop closes the listener and the last connection.
	stop func()
}

func (row forwardRow) run(t *testing.T) {
	remote := &remoteVM{
		row: row,
	}
	addr := remote.listen(t)
	if row.Garbage {
		conn, err := net.Dial("tcp", addr)
		assert.NilError(t, err)
		_, err = conn.Write([]byte(strings.Repeat("\xffgarbage", 1000)))
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
	}
	client := New(Options{})
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), row.timeout())
	defer cancel()
	var text strings.Builder
	outcome := client.Forward(ctx, fleet.VM{
		ID:       "far",
		PeerAddr: addr,
	}, row.request(), row.sink(&text), func(uint64) {})
	row.check(t, outcome, text.String(), remote.served.Load())
}

func (row forwardRow) timeout() time.Duration {
	if len(row.Steps) > 0 && row.Steps[0] == "stall" {
		return stallTimeout
	}
	return time.Minute
}

func (row forwardRow) request() *peerpb.ForwardRequest {
	m := &peerpb.ForwardRequest{
		Stamp: 1 << 63,
		Call: CallToProto(&call.Call{
			ID:       "id",
			Kind:     call.Kind(99),
			Priority: 77,
			Body:     []byte("body"),
		}, time.Now()),
	}
	if row.HugeBody {
		m.Call.Body = make([]byte, MaxMessageBytes+1)
	}
	return m
}

func (row forwardRow) sink(text *strings.Builder) call.Sink {
	return call.Sink{
		Head: func(int, http.Header) error { return nil },
		Chunk: func(data []byte) error {
			if row.SinkFails {
				return errors.New("gone")
			}
			_, err := text.Write(data)
			return err
		},
	}
}

func (row forwardRow) check(t *testing.T, o call.Outcome, text string, served *call.Call) {
	if row.Code != "" {
		assert.Equal(t, o.Code.String(), row.Code)
	}
	if row.Class != "" {
		assert.Equal(t, o.Code.Class(), row.Class)
	}
	assert.Equal(t, text, row.Text)
	if o.Code.Class() != result.ClassDone {
		assert.Assert(t, o.Refusal != nil)
	}
	want := row.Served == nil || *row.Served
	assert.Equal(t, served != nil, want)
	if served != nil {
		assert.Assert(t, served.Forwarded, "a decoded call must be marked as forwarded")
		assert.Equal(t, served.Priority, call.PriorityReport)
	}
}

// listen starts a server, or returns an address that refuses connections.
func (f *remoteVM) listen(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	if f.row.Refused {
		assert.NilError(t, ln.Close())
		return ln.Addr().String()
	}
	var s *Server
	s, err = NewServer(Handlers{
		Forward:   f.forward,
		BodyShare: bounded.NewBudget(bounded.RoomFor(MaxMessageBytes - bytes.MinRead)).Share,
		Stamp: func() uint64 {
			// A stop may not end the process before the outcome is sent.
			assert.Check(t, s.InFlight() == 1)
			return 1
		},
		Witness: func(uint64) {},
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f.stop = func() {
		_ = ln.Close()
		_ = (*f.conn.Load()).Close()
	}
	go func() {
		_ = s.Serve(ctx, &recordingListener{
			Listener: ln,
			last:     &f.conn,
		})
	}()
	return ln.Addr().String()
}

type recordingListener struct {
	net.Listener
	last *atomic.Pointer[net.Conn]
}

func (l *recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.last.Store(&conn)
	}
	return conn, err
}

// forward runs the row's steps. "end" takes the name or number of a code; without one it
// is done.
func (f *remoteVM) forward(ctx context.Context, _ *peerpb.Identity, c *call.Call, sink call.Sink) call.Outcome {
	f.served.Store(c)
	for _, step := range f.row.Steps {
		name, code, _ := strings.Cut(step, " ")
		switch name {
		case "head":
			_ = sink.Head(http.StatusOK, http.Header{})
		case "chunk":
			_ = sink.Chunk([]byte("part"))
		case "huge":
			_ = sink.Chunk(make([]byte, MaxMessageBytes+1))
		case "cut":
			_ = (*f.conn.Load()).Close()
		case "stall":
			<-ctx.Done()
		case "end":
			return call.Outcome{
				Code: parseCode(code),
			}
		}
	}
	return call.Outcome{
		Code: result.Done,
	}
}

func parseCode(name string) result.Code {
	if name == "" {
		return result.Done
	}
	if n, err := strconv.Atoi(name); err == nil {
		return result.Code(n)
	}
	for _, row := range result.Table {
		if row.Name == name {
			return row.Code
		}
	}
	return 0
}

// FuzzCallFromProto checks that decoding any message does not panic and that the call is
// marked as forwarded and has a valid priority.
func FuzzCallFromProto(f *testing.F) {
	seed, err := proto.Marshal(&peerpb.Call{
		Id: "id",
		Header: []*peerpb.Header{
			{
				Name:  "Accept",
				Value: []byte("x"),
			},
		},
		Priority:      1 << 31,
		WholeByUnixMs: -1,
	})
	assert.NilError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var m peerpb.Call
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		c := callFromProto(&m, time.Now())
		assert.Assert(t, c.Forwarded)
		assert.Assert(t, c.Priority >= 0 && c.Priority < call.Priorities)
		_ = c.Priority.String()
	})
}

// TestForwardsAnyBytes guards against a call that can't be sent to another VM because its path, a
// header or the id of its last event is not UTF-8.
func TestForwardsAnyBytes(t *testing.T) {
	const latin = "/\xe9\xff"
	data, err := proto.Marshal(CallToProto(&call.Call{
		Kind:   call.KindRouted,
		Path:   latin,
		Header: http.Header{"X-Name": {latin}},
		Routed: &call.Routed{ResumeAfter: latin},
	}, time.Now()))
	assert.NilError(t, err)
	var m peerpb.Call
	assert.NilError(t, proto.Unmarshal(data, &m))
	c := callFromProto(&m, time.Now())
	assert.DeepEqual(t, []string{c.Path, c.Header.Get("X-Name"), c.Routed.ResumeAfter}, []string{latin, latin, latin})
}
