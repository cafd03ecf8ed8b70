package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders are the hop-by-hop headers, which are not forwarded.
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
	"Content-Length":      true, // set for the body that is sent
	"Expect":              true,
}

// forwardable returns the headers that are not hop-by-hop.
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

// connectionOptions returns the headers named by the Connection header.
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

// Bytes of a request line or header line in addition to its method and URI, or name and value.
const (
	requestLineOverhead = len("  HTTP/1.1\r\n")
	headerLineOverhead  = len(": \r\n")
)

// headerSize returns the size of a request's header in bytes as it was sent, assuming one space
// after each colon and no other white space.
func headerSize(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + requestLineOverhead + len("Host") + len(r.Host) + headerLineOverhead
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + headerLineOverhead
		}
	}
	return int64(n)
}
