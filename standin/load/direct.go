package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/standin/caller"
)

const maxDirectAnswer = 16 << 20

// direct sends calls straight to endpoints in turn, with no gateway between.
type direct struct {
	targets  *Targets
	client   *http.Client
	models   []string
	services []string
	next     atomic.Uint64
}

func (r *Run) newDirect() *direct {
	d := &direct{
		targets: &r.options.Targets,
		client:  r.options.Client,
	}
	for _, e := range r.options.Targets.Endpoints {
		if e.Service {
			d.services = append(d.services, e.Addr)
			continue
		}
		d.models = append(d.models, e.Addr)
	}
	return d
}

func (d *direct) send(ctx context.Context, a *Arrival, _ time.Time) caller.Result {
	out := caller.Result{
		StartedAt: time.Now(),
		Tries:     1,
		Class:     result.ClassUnknown,
	}
	req, err := d.request(ctx, a)
	if err == nil {
		err = d.do(req, a, &out)
	}
	out.DoneAt = time.Now()
	if err != nil {
		out.Message = err.Error()
		return out
	}
	out.Code = result.Done
	out.Class = result.ClassDone
	return out
}

func (d *direct) request(ctx context.Context, a *Arrival) (*http.Request, error) {
	if a.Kind.Service {
		return d.serviceRequest(ctx, a)
	}
	body, err := json.Marshal(newDirectChat(d.targets.Model, a))
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.url(d.models, "/v1/chat/completions"), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", a.Marker)
	return req, nil
}

func (d *direct) serviceRequest(ctx context.Context, a *Arrival) (*http.Request, error) {
	s := a.service(d.targets, caller.Terms{})
	req, err := http.NewRequestWithContext(ctx, s.Method, d.url(d.services, s.Path), bytes.NewReader(s.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Request-Id", a.Marker)
	return req, nil
}

func (d *direct) url(addrs []string, path string) string {
	return "http://" + addrs[d.next.Add(1)%uint64(len(addrs))] + path
}

func (d *direct) do(req *http.Request, a *Arrival, out *caller.Result) error {
	resp, err := d.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	out.Status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	if !a.Kind.Service {
		return readDirectStream(resp.Body, out)
	}
	out.FirstAt = time.Now()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxDirectAnswer))
	out.Text = string(data)
	return err
}

// directChat is the body of a chat completion request.
type directChat struct {
	Model     string          `json:"model"`
	Messages  []directMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

type directMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func newDirectChat(model string, a *Arrival) directChat {
	return directChat{
		Model:     model,
		MaxTokens: a.MaxTokens,
		Stream:    true,
		Messages: []directMessage{
			{
				Role:    "system",
				Content: a.system(),
			},
			{
				Role:    "user",
				Content: a.message(),
			},
		},
	}
}

// directChunk is the part of a chunk that holds its text.
type directChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func readDirectStream(r io.Reader, out *caller.Result) error {
	var text strings.Builder
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			out.Text = text.String()
			return nil
		}
		var chunk directChunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return err
		}
		if len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
			continue
		}
		if out.FirstAt.IsZero() {
			out.FirstAt = time.Now()
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}
