// Package target reads the targets of HTTP requests as they were sent.
package target

import (
	"net/http"
	"strings"
)

const httpScheme = "http://"

// Of returns path and query of a request byte for byte; ok is false if its target has no path
// (RFC 9112, section 3.2).
func Of(r *http.Request) (target string, ok bool) {
	target = r.RequestURI
	if len(target) >= len(httpScheme) && strings.EqualFold(target[:len(httpScheme)], httpScheme) {
		authority := target[len(httpScheme):]
		if end := strings.IndexAny(authority, "/?#"); end >= 0 {
			target = authority[end:]
		}
	}
	return target, strings.HasPrefix(target, "/")
}
