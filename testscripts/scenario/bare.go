package scenario

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/standin/caller"
)

// bareChunk is the part of a stream's chunk that bareChat reads.
type bareChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// bareChat asks an endpoint itself and takes whatever it answers for a whole
// own answer. It is the deliberately broken relay that shows what the checks
// of streams can find.
func bareChat(ctx context.Context, addr, model, mark string, tokens int) caller.Result {
	r := caller.Result{
		Code:  result.Done,
		Class: result.ClassDone,
	}
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"marker=%s hello"}],"max_tokens":%d,"stream":true}`, model, mark, tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return r
	}
	req.Header.Set("X-Request-Id", mark)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		var chunk bareChunk
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok || json.Unmarshal([]byte(data), &chunk) != nil {
			continue
		}
		for _, choice := range chunk.Choices {
			r.Text += choice.Delta.Content
		}
	}
	return r
}
