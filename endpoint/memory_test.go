package endpoint

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// TestFetchMemory guards against taking parts for unread that an engine has evicted, or that
// another endpoint at its address does not know.
func TestFetchMemory(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name     string
		Instance string
		// Pages are the answers by path; a path without an answer gets status 500.
		Pages    map[string]MemoryPage
		From     MemoryCursor
		Fails    bool
		Held     []uint64
		Events   []uint64
		Next     uint64
		Complete bool
	}](t, "testdata/memory.json") {
		t.Run(c.Name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				page, ok := c.Pages[r.URL.Path]
				switch {
				case r.URL.Path == "/health":
					w.Header().Set("Instance", c.Instance)
				case !ok:
					w.WriteHeader(http.StatusInternalServerError)
				default:
					assert.Check(t, json.NewEncoder(w).Encode(page))
				}
			}))
			defer server.Close()
			client := New(Options{
				Dialect: Dialect{
					MemoryListPath:   "/list",
					MemoryEventsPath: func(since uint64) string { return "/events/" + strconv.FormatUint(since, 10) },
					DecodeMemory: func(data []byte) (page MemoryPage, err error) {
						err = json.Unmarshal(data, &page)
						return page, err
					},
					ReadInstance: func(h http.Header) string { return h.Get("Instance") },
				},
			})
			e := fleet.Endpoint{
				ID:   "i",
				Addr: strings.TrimPrefix(server.URL, "http://"),
			}
			m, err := client.FetchMemory(t.Context(), e, "/health", c.From)
			assert.Equal(t, err != nil, c.Fails, "%v", err)
			if c.Fails {
				return
			}
			assert.Assert(t, slices.Equal(m.Held, c.Held), "held %v", m.Held)
			assert.Assert(t, slices.Equal(m.Events, c.Events), "events %v", m.Events)
			assert.Equal(t, m.Cursor.Next, c.Next)
			assert.Equal(t, m.Complete, c.Complete)
		})
	}
}
