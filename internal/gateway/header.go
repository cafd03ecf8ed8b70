package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders concern one connection and are not forwarded.
var hopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Connection":    true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true, // set anew for the body that is sent
	"Expect":              true,
}

// forwardable returns the headers without those that concern one connection.
func forwardable(h http.Header) http.Header {
	named := connectionOptions(h)
	out := make(http.Header, len(h))
	for name, values := range h {
		if !hopHeaders[name] && !named[name] {
			out[name] = values
		}
	}
	return out
}

// connectionOptions returns the headers that the Connection header names.
func connectionOptions(h http.Header) map[string]bool {
	var named map[string]bool
	for _, line := range h["Connection"] {
		for option := range strings.SplitSeq(line, ",") {
			if named == nil {
				named = map[string]bool{}
			}
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(option))] = true
		}
	}
	return named
}
