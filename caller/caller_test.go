package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/configuration"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/membership"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/serving"
)

const (
	maxBody   = 4096
	maxHeader = 4096
	// maxHeadRead is the most that net/http reads of a request's head.
	maxHeadRead = maxHeader + 4096
	// bodyTimeout is short, as rows with a stalled body wait for it.
	bodyTimeout = 200 * time.Millisecond
)

// documents configure the server: the workspace "near" may use this region and
// "far" only another one. Both have the secret "s" and the expired secret "old".
var documents = map[string]string{
	"models": `{"format":1,
		"models":[{"model":"m","prompt_price":1,"generated_price":1,"max_tokens":64},{"model":"m2","prompt_price":1,"generated_price":1,"max_tokens":64}],
		"services":[{"service":"s","call_price":1,"calls":[
			{"method":"POST","path_prefix":"/confirm","idempotent":false,"priority":"urgent"},
			{"method":"POST","path_prefix":"/repeat","idempotent":true}]},
			{"service":"s2","call_price":1,"calls":[]}]}`,
	"regions": `{"format":1,"regions":[{"region":"a","data_centres":["a-1"]},{"region":"b","data_centres":["b-1"]}]}`,
	"contracts/0": `{"format":1,"bucket":0,"buckets":1,"contracts":[` +
		contractJSON("near", "a") + "," + contractJSON("far", "b") + `]}`,
}

func contractJSON(workspace, region string) string {
	const (
		secret = "043a718774c572bd8a25adbeb1bfcd5c0256ae11cecf9f9c3f925d0e52beaf89"
		old    = "cba06b5736faf67e54b07b561eae94395e774c517a7d910a54369e1263ccfbd4"
	)
	return fmt.Sprintf(`{"workspace":%q,"keys":[{"sha256":%q},{"sha256":%q,"not_after":"2001-01-01T00:00:00Z"}],"home":%q,"bound":true,
		"regions":[{"region":%q,"requests_per_second":10,"tokens_per_second":1000,"spend_per_hour":1000,"concurrency":10}],
		"models":["m"],"services":["s"],
		"answer":{"first_token_within":"1s","whole_within":"10s","report_within":"10m"}}`, workspace, secret, old, region, region)
}

// requestRow is one row of testdata/requests.json. The default is a chat
// completion for the workspace "near".
type requestRow struct {
	Name    string            `json:"name"`
	Method  string            `json:"method"`
	Path    string            `json:"path"`
	Key     string            `json:"key"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Repeat  int               `json:"repeat"`
	Chunked bool              `json:"chunked"`
	// Stall declares one byte more than it sends, Short also closes the write
	// side of the connection, and NoBodySent omits the body.
	Stall      bool   `json:"stall"`
	Short      bool   `json:"short"`
	NoBodySent bool   `json:"no_body_sent"`
	Unready    bool   `json:"unready"`
	Stopping   bool   `json:"stopping"`
	Outcome    string `json:"outcome"`

	Status   int    `json:"status"`
	Code     string `json:"code"`
	Served   bool   `json:"served"`
	Use      bool   `json:"use"`
	Has      string `json:"has"`
	Lacks    string `json:"lacks"`
	Priority string `json:"priority"`
}

func TestRequests(t *testing.T) {
	rows := datatest.Read[[]requestRow](t, "testdata/requests.json")
	for _, row := range rows {
		t.Run(row.Name, row.run)
	}
}

func (row requestRow) run(t *testing.T) {
	var served *call.Call
	s := newServer(t, row, func(c *call.Call) { served = c })
	resp, text := row.send(t, serveOn(t, s))
	assert.Equal(t, resp.StatusCode, row.Status, text)
	code, _ := strconv.Atoi(resp.Header.Get(HeaderResult))
	if row.Code != "" {
		assert.Equal(t, result.Code(code).String(), row.Code, text)
		assert.Equal(t, resp.Header.Get(HeaderClass), string(result.Code(code).Class()))
		assert.Assert(t, resp.Header.Get(HeaderRequest) != "")
	}
	assert.Equal(t, served != nil, row.Served)
	assert.Equal(t, strings.Contains(text, `"use":[`), row.Use, text)
	assert.Assert(t, strings.Contains(text, row.Has), text)
	assert.Assert(t, row.Lacks == "" || !strings.Contains(text, row.Lacks), text)
	if row.Priority != "" {
		assert.Equal(t, served.Priority.String(), row.Priority)
	}
}

func newServer(t testing.TB, row requestRow, serve func(*call.Call)) *Server {
	store := configuration.New(configuration.Options{})
	revision := uint64(0)
	for key, value := range documents {
		revision++
		verdicts := store.Offer([]configuration.Document{{
			Key:      key,
			Revision: revision,
			Value:    []byte(value),
		}})
		assert.Assert(t, verdicts[0].Refusal == nil, "%v", verdicts[0].Refusal)
	}
	list := newVMList()
	store.OfferList(*list)
	state := membership.New(membership.Options{
		Self:        list.VMs[0],
		Incarnation: 1,
	})
	state.SetList(list, time.Now())
	view := state.View(time.Now())
	return New(Options{
		VM:       "a0",
		Now:      time.Now,
		NewID:    func() string { return "id" },
		Ready:    func() bool { return !row.Unready },
		Snapshot: store.Snapshot,
		View:     func() *membership.View { return view },
		Serve: func(_ context.Context, c *call.Call, _ serving.Placement, sink call.Sink) call.Outcome {
			serve(c)
			return row.respond(c, sink)
		},
		IssueTicket: func(workspace string, _ time.Time) string { return "t-" + workspace },
		Stopping:    func() bool { return row.Stopping },
		Limits: Limits{
			MaxBodyBytes:             maxBody,
			MaxHeaderBytes:           maxHeader,
			MaxConnections:           8,
			MaxConnectionsPerAddress: 8,
			HeaderTimeout:            time.Minute,
			BodyTimeout:              bodyTimeout,
			IdleTimeout:              time.Minute,
			WriteTimeout:             time.Minute,
			TicketTTL:                time.Minute,
			EntriesTTL:               time.Minute,
		},
	})
}

func newVMList() *fleet.List {
	list := &fleet.List{
		Revision: 9,
	}
	for _, region := range []string{"a", "b"} {
		list.VMs = append(list.VMs, fleet.VM{
			ID:         region + "0",
			Region:     region,
			DataCentre: region + "-1",
			State:      fleet.StateLive,
		})
	}
	return list
}

// respond stands in for Options.Serve with a complete or an interrupted response.
func (row requestRow) respond(c *call.Call, sink call.Sink) call.Outcome {
	_ = sink.Head(http.StatusOK, http.Header{})
	_ = sink.Chunk([]byte("data: part\n\n"))
	if row.Outcome != "" {
		return call.Refused(result.Refuse(result.EndpointCut, "cut"))
	}
	if c.Stream {
		_ = sink.Chunk([]byte("data: [DONE]\n\n"))
	}
	return call.Outcome{
		Code: result.Done,
	}
}

func serveOn(t *testing.T, s *Server) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Close() })
	return ln.Addr().String()
}

func (row requestRow) send(t *testing.T, addr string) (*http.Response, string) {
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, row.rawRequest())
	assert.NilError(t, err)
	if row.Short {
		assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{
		Method: row.method(),
	})
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(text)
}

func (row requestRow) method() string {
	if row.Method != "" {
		return row.Method
	}
	return http.MethodPost
}

// rawRequest returns the HTTP/1.1 request as sent on the connection.
func (row requestRow) rawRequest() string {
	path := row.Path
	if path == "" {
		path = PathChat
	}
	body := strings.Repeat(row.Body, max(row.Repeat, 1))
	head := row.method() + " " + path + " HTTP/1.1\r\nHost: gateway\r\n" + row.authorizationLine()
	for name, value := range row.Headers {
		if value == "*" {
			// Exactly what the server reads: unread bytes would reset the
			// connection and lose the response.
			return (head + name + ": " + strings.Repeat("x", maxHeadRead))[:maxHeadRead]
		}
		head += name + ": " + value + "\r\n"
	}
	if row.Chunked {
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	length := len(body)
	if row.Stall || row.Short {
		length++
	}
	if row.NoBodySent {
		body = ""
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", length, body)
}

func (row requestRow) authorizationLine() string {
	switch row.Key {
	case "-":
		return ""
	case "":
		return "Authorization: Bearer near.s\r\n"
	default:
		return "Authorization: Bearer " + row.Key + "\r\n"
	}
}

// FuzzChatBody checks that no body causes a panic and that accepted calls are
// within the model's limits.
func FuzzChatBody(f *testing.F) {
	rows := datatest.Read[[]requestRow](f, "testdata/requests.json")
	for _, row := range rows {
		f.Add([]byte(row.Body))
	}
	f.Add([]byte(`{"model":"m","max_completion_tokens":1e99,"messages":[{"content":[{"type":"text","text":"\ud800"}]}]}`))
	s := newServer(f, requestRow{}, func(*call.Call) {})
	f.Fuzz(func(t *testing.T, body []byte) {
		found, _ := s.options.Snapshot().Contract("near")
		c, refusal := s.newChatCall(&request{
			contract: found,
			r: &http.Request{
				Header: http.Header{},
			},
		}, body)
		if refusal != nil {
			assert.Equal(t, refusal.Code.Class(), result.ClassNotRun)
			return
		}
		assert.Assert(t, c.MaxTokens > 0 && c.MaxTokens <= 64)
		assert.Assert(t, c.PromptTokens >= 0 && c.Model == "m" && c.Idempotent)
	})
}
