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

const maxDirectResponseBytes = 16 << 20

// directSender sends calls to the endpoints in round robin, without a gateway.
type directSender struct {
	targets      *Targets
	client       *http.Client
	modelAddrs   []string
	serviceAddrs []string
	requestCount atomic.Uint64
}

func (r *Run) newDirectSender() *directSender {
	d := &directSender{
		targets: &r.options.Targets,
		client:  r.options.Client,
	}
	for _, e := range r.options.Targets.Endpoints {
		if e.Service {
			d.serviceAddrs = append(d.serviceAddrs, e.Addr)
			continue
		}
		d.modelAddrs = append(d.modelAddrs, e.Addr)
	}
	return d
}

func (d *directSender) send(ctx context.Context, a *Arrival, _ time.Time) caller.Result {
	out := caller.Result{
		StartedAt: time.Now(),
		Attempts:  1,
		Class:     result.ClassUnknown,
	}
	req, err := d.newRequest(ctx, a)
	if err == nil {
		err = d.roundTrip(req, a, &out)
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

func (d *directSender) newRequest(ctx context.Context, a *Arrival) (*http.Request, error) {
	if a.Kind.Service {
		return d.newServiceRequest(ctx, a)
	}
	body, err := json.Marshal(newChatRequest(d.targets.Model, a))
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.nextURL(d.modelAddrs, "/v1/chat/completions"), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", a.Marker)
	return req, nil
}

func (d *directSender) newServiceRequest(ctx context.Context, a *Arrival) (*http.Request, error) {
	s := a.newService(d.targets, caller.CallOptions{})
	req, err := http.NewRequestWithContext(ctx, s.Method, d.nextURL(d.serviceAddrs, s.Path), bytes.NewReader(s.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Request-Id", a.Marker)
	return req, nil
}

func (d *directSender) nextURL(addrs []string, path string) string {
	return "http://" + addrs[d.requestCount.Add(1)%uint64(len(addrs))] + path
}

func (d *directSender) roundTrip(req *http.Request, a *Arrival, out *caller.Result) error {
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
		return readChatStream(resp.Body, out)
	}
	out.FirstAt = time.Now()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxDirectResponseBytes))
	out.Text = string(data)
	return err
}

// chatRequest is the body of a chat completion request.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func newChatRequest(model string, a *Arrival) chatRequest {
	return chatRequest{
		Model:     model,
		MaxTokens: a.MaxTokens,
		Stream:    true,
		Messages: []chatMessage{
			{
				Role:    "system",
				Content: a.systemPrompt(),
			},
			{
				Role:    "user",
				Content: a.userMessage(),
			},
		},
	}
}

// chatChunk decodes the text of a streamed chunk.
type chatChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func readChatStream(r io.Reader, out *caller.Result) error {
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
		var chunk chatChunk
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
