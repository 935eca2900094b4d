package platform

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"gotest.tools/v3/assert"
)

func TestProtocol(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/protocol.txtar")
	assert.NilError(t, err)
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := script{
					t:          t,
					handler:    New(Switches{}).Handler(),
					background: map[string]chan reply{},
				}
				for line := range strings.Lines(string(file.Data)) {
					s.step(strings.TrimSpace(line))
				}
			})
		})
	}
}

// reply is the response to one request of a script.
type reply struct {
	status int
	answer string
	took   time.Duration
}

// script runs the steps of testdata/protocol.txtar, which describes their syntax.
type script struct {
	t          *testing.T
	handler    http.Handler
	last       reply
	background map[string]chan reply
}

func (s *script) step(line string) {
	t := s.t
	t.Helper()
	word, rest, _ := strings.Cut(line, " ")
	name, isBackground := strings.CutSuffix(word, "=")
	status, err := strconv.Atoi(word)
	switch {
	case isBackground:
		done := make(chan reply, 1)
		s.background[name] = done
		go func() { done <- s.request(rest) }()
		synctest.Wait()
	case s.background[word] != nil:
		got := <-s.background[word]
		fields := strings.SplitN(rest, " ", 3)
		assert.Equal(t, strconv.Itoa(got.status), fields[0], line)
		assert.Equal(t, got.took.String(), fields[1], line)
		assert.Equal(t, got.answer, strings.Join(fields[2:], ""), line)
	case word == "sleep":
		pause, err := time.ParseDuration(rest)
		assert.NilError(t, err)
		time.Sleep(pause)
	case word == "times":
		count, call, _ := strings.Cut(rest, " ")
		times, err := strconv.Atoi(count)
		assert.NilError(t, err)
		for range times {
			s.last = s.request(call)
		}
	case err == nil:
		assert.Equal(t, s.last.status, status, "%s: %s", line, s.last.answer)
		if rest != "" {
			assert.Equal(t, s.last.answer, rest)
		}
	default:
		s.last = s.request(line)
	}
}

var fromNow = regexp.MustCompile(`\+[0-9a-z]+`)

func (s *script) request(line string) reply {
	method, rest, _ := strings.Cut(line, " ")
	path, body, _ := strings.Cut(rest, " ")
	path = fromNow.ReplaceAllStringFunc(path, func(text string) string {
		wait, _ := time.ParseDuration(text[1:])
		return fmt.Sprint(time.Now().Add(wait).UnixMilli())
	})
	var ifRevision string
	if after, ok := strings.CutPrefix(body, headerIfRevision+"="); ok {
		ifRevision, body, _ = strings.Cut(after, " ")
	}
	request := httptest.NewRequestWithContext(s.t.Context(), method, path, strings.NewReader(body))
	request.Header.Set(headerIfRevision, ifRevision)
	recorder := httptest.NewRecorder()
	start := time.Now()
	s.handler.ServeHTTP(recorder, request)
	return reply{
		status: recorder.Code,
		answer: strings.TrimSpace(recorder.Body.String()),
		took:   time.Since(start),
	}
}

// TestRace checks that concurrent compare-and-set writes lose no update and
// reuse no revision.
func TestRace(t *testing.T) {
	const increments = 200
	p := New(Switches{
		ReadsPerSecond: 1 << 30,
	})
	_, err := p.Put("counter", "0", nil)
	assert.NilError(t, err)
	var operators sync.WaitGroup
	for range 2 {
		operators.Go(func() {
			for done := 0; done < increments; {
				held, _ := p.Get("counter")
				n, _ := strconv.Atoi(held.Value)
				if _, err := p.Put("counter", strconv.Itoa(n+1), &held.Revision); err == nil {
					done++
				}
			}
		})
	}
	operators.Wait()
	held, err := p.Get("counter")
	assert.NilError(t, err)
	assert.Equal(t, held.Value, strconv.Itoa(2*increments))
	assert.Equal(t, held.Revision, uint64(2*increments+1))
}

func TestLoad(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, os.Mkdir(filepath.Join(dir, "contracts"), 0o755))
	for name, text := range map[string]string{"contracts/3.json": "{} // three", "models.json": "{}", "README": "x"} {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	p := New(Switches{})
	assert.NilError(t, p.Load(dir))
	changes, err := p.Watch(t.Context(), 0, time.Time{})
	assert.NilError(t, err)
	assert.DeepEqual(t, changes, Changes{
		Revision: 2,
		Values: []Value{
			{
				Key:      "contracts/3",
				Revision: 1,
				Value:    "{} // three",
			},
			{
				Key:      "models",
				Revision: 2,
				Value:    "{}",
			},
		},
	})
}
