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

// chatChunk holds the text of a streamed chat completion chunk.
type chatChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// chatUnchecked sends a chat to an endpoint directly and reports any response as
// complete. Scripts use it to prove that the stream checks detect mixed-up and
// truncated responses.
func chatUnchecked(ctx context.Context, addr, model, mark string, tokens int) caller.Result {
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
		var chunk chatChunk
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
