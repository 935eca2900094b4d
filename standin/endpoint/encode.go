package endpoint

import "strconv"

// The functions below write JSON without escaping. IDs, markers and model names
// need none: they come from headers, a word pattern and a flag.

func appendEnvelopeStart(b []byte, id, object, model string) []byte {
	b = append(b, `{"id":"chatcmpl-`...)
	b = append(b, id...)
	b = append(b, `","object":"`...)
	b = append(b, object...)
	b = append(b, `","model":"`...)
	b = append(b, model...)
	return append(b, `",`...)
}

func appendTokenText(b []byte, marker string, i int) []byte {
	if marker == "" {
		marker = "token"
	}
	b = append(b, marker...)
	b = append(b, '-')
	b = strconv.AppendInt(b, int64(i), 10)
	return append(b, ' ')
}

func appendRoleDelta(b []byte) []byte {
	return append(b, `"choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]`...)
}

func appendTokenDelta(b []byte, marker string, i int) []byte {
	b = append(b, `"choices":[{"index":0,"delta":{"content":"`...)
	b = appendTokenText(b, marker, i)
	return append(b, `"},"finish_reason":null}]`...)
}

func appendFinishReason(b []byte) []byte {
	return append(b, `"choices":[{"index":0,"delta":{},"finish_reason":"length"}]`...)
}

func appendUsageChunk(b []byte, j *job) []byte {
	b = append(b, `"choices":[],`...)
	return appendUsageField(b, j)
}

func appendUsageField(b []byte, j *job) []byte {
	b = append(b, `"usage":{"prompt_tokens":`...)
	b = strconv.AppendInt(b, int64(j.promptTokens), 10)
	b = append(b, `,"completion_tokens":`...)
	b = strconv.AppendInt(b, int64(j.total), 10)
	b = append(b, `,"total_tokens":`...)
	b = strconv.AppendInt(b, int64(j.promptTokens+j.total), 10)
	b = append(b, `,"prompt_tokens_details":{"cached_tokens":`...)
	b = strconv.AppendInt(b, int64(j.cachedTokens), 10)
	return append(b, `}}`...)
}

func appendMessage(b []byte, marker string, j *job) []byte {
	b = append(b, `"choices":[{"index":0,"message":{"role":"assistant","content":"`...)
	for i := range j.total {
		b = appendTokenText(b, marker, i)
	}
	b = append(b, `"},"finish_reason":"length"}],`...)
	return appendUsageField(b, j)
}
