package caller

import (
	"net/http"
	"strings"
	"time"

	"github.com/fuchsianotch/fuchsianotch/apikey"
	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// request is one HTTP request of an authenticated caller.
type request struct {
	id       string
	contract *contract.Contract
	// bodyAllowed is set once placement allows this VM to read the body.
	bodyAllowed bool
	// bodyRead is set once the body was read to its end.
	bodyRead bool
	// dispatched is set once the call was passed to Options.Serve.
	dispatched bool
	w          http.ResponseWriter
	r          *http.Request
}

// authenticated wraps a handler, rejecting requests without a valid API key.
func (s *Server) authenticated(handle func(*request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		q := &request{
			id: s.options.NewID(),
			w:  w,
			r:  r,
		}
		s.setIdentity(q)
		found, refusal := s.authenticate(r)
		if refusal != nil {
			s.refuse(q, refusal)
			return
		}
		q.contract = found
		handle(q)
	}
}

func (s *Server) authenticate(r *http.Request) (*contract.Contract, *result.Refusal) {
	snapshot := s.options.Snapshot()
	if !s.options.Ready() {
		return nil, result.Refuse(result.NotReady, "VM %s has no configuration yet", s.options.VM)
	}
	unauthenticated := result.Refuse(result.Unauthenticated, "the key is missing, unknown or ended; expected Authorization: Bearer <workspace>.<secret>")
	text, ok := apikey.Bearer(r.Header)
	if !ok {
		return nil, unauthenticated
	}
	workspace, secret, ok := strings.Cut(text, ".")
	if !ok {
		return nil, unauthenticated
	}
	found, ok := snapshot.Contract(workspace)
	if !ok || !hasValidKey(found, secret, s.options.Now()) {
		return nil, unauthenticated
	}
	return found, nil
}

// hasValidKey reports whether secret matches a key that has not expired. It
// always compares all keys, each in constant time.
func hasValidKey(c *contract.Contract, secret string, now time.Time) bool {
	digest := apikey.Sum(secret)
	valid := false
	for _, key := range c.Keys {
		matches := digest.EqualHex(key.SHA256)
		current := key.NotAfter.IsZero() || now.Before(key.NotAfter)
		valid = valid || (matches && current)
	}
	return valid
}

func (s *Server) handleUnknownRoute(w http.ResponseWriter, r *http.Request) {
	q := &request{
		id: s.options.NewID(),
		w:  w,
		r:  r,
	}
	s.setIdentity(q)
	if isKnownPath(r.URL.Path) {
		s.refuse(q, result.Refuse(result.MethodNotAllowed, "path %s does not take method %s", r.URL.Path, r.Method))
		return
	}
	s.refuse(q, result.Refuse(result.UnknownRoute, "no such path"))
}

func isKnownPath(path string) bool {
	return path == PathChat || path == PathEntries || path == PathTickets
}
