package endpoint

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
)

// FuzzSpoiledEventIDs checks what a caller gets of a stream with any bytes, and that it goes on
// behind its last event where another endpoint resumes it.
func FuzzSpoiledEventIDs(f *testing.F) {
	for _, seed := range []string{
		"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
		"id: 1\ndata: a\n\n\x96\x9b\xc5 2\ndata: b\n\nid: 3\ndata: c\n\n",
		"id: 1\ndata: a\n\ndata: b\n\n",
		"id: 1\ndata: a\n\n: keep-alive\n\nid: 1\ndata: a\n\n",
		"id: 7\ndata: a\n\nid: 6\ndata: b\n\n",
		"id:\ndata: a\n\nid\n\nid: 18446744073709551616\n\nid: 18446744073709551615\n\n",
		"id: 3\ndata: a\n\x00id: 4\ndata: b\n\nid: 4\nid: 5\n\n",
		"\ufeffid: 1\r\ndata: a\r\n\r\nretry: 3\r\n\r\nid: 00002\n\n",
	} {
		f.Add([]byte(seed), "", true)
		f.Add([]byte(seed), "1", true)
		f.Add([]byte(seed), "", false)
	}
	f.Fuzz(func(t *testing.T, input []byte, resumeAfter string, resumable bool) {
		c := &call.Call{
			Stream: true,
			Routed: &call.Routed{Resumable: resumable},
		}
		got := relayedEvents(c, resumeAfter, input)
		assert.Assert(t, resumeAfter != "" || bytes.HasPrefix(input, []byte(strings.Join(got.data, ""))))
		last, known := parseEventID(resumeAfter)
		for _, id := range got.ids {
			next, ok := parseEventID(id)
			if !ok {
				assert.Assert(t, !resumable, "%q passed in a stream that can be resumed", id)
				continue
			}
			assert.Assert(t, !known || next > last, "event %d passed after %d", next, last)
			last, known = next, true
		}
		if !resumable || !known || last > 1<<32 {
			return
		}
		var sound strings.Builder
		for id := max(last, 2) - 2; id < last+3; id++ {
			fmt.Fprintf(&sound, "id: %d\ndata: x\n\n", id)
		}
		rest := relayedEvents(c, fmt.Sprint(last), []byte(sound.String()))
		assert.DeepEqual(t, rest.ids, []string{fmt.Sprint(last + 1), fmt.Sprint(last + 2)})
	})
}

// relayed is what a caller gets of a stream.
type relayed struct {
	data []string
	ids  []string
}

func relayedEvents(c *call.Call, resumeAfter string, input []byte) relayed {
	got := relayed{}
	reader, _ := rawEventReaders.Get().(*rawEventReader)
	reader.reader.Reset(bytes.NewReader(input))
	defer reader.release()
	filter := newBlockFilter(c, resumeAfter)
	client := New(Options{})
	room := client.buffers.Share()
	defer room.Release()
	for {
		event, err := reader.next(client.maxResponseBytes, len(filter.held.data), &room)
		if err != nil {
			if errors.Is(err, io.EOF) {
				got.add(filter.takeHeld())
			}
			return got
		}
		ready, refusal := filter.add(event)
		if refusal != nil {
			return got
		}
		for _, blocks := range ready {
			got.add(blocks)
		}
	}
}

func (r *relayed) add(ready relayedBlocks) {
	if len(ready.data) == 0 {
		return
	}
	r.data = append(r.data, string(ready.data))
	ScanEvents(ready.data, func(id string) { r.ids = append(r.ids, id) })
}
