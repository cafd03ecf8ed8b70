package standin

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
)

// Transport is an http.RoundTripper that hands each request to a handler in
// the same process, by the request's host. It needs no socket, so that tests
// can run in virtual time. A handler that cuts the connection becomes
// io.ErrUnexpectedEOF; a request whose context ends is given up at once, while
// its handler runs on with the ended context.
type Transport struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
}

// Handle makes the handler answer for the host. A nil handler takes the host
// away: requests to it fail as a refused connection would.
func (t *Transport) Handle(host string, h http.Handler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.handlers == nil {
		t.handlers = map[string]http.Handler{}
	}
	if h == nil {
		delete(t.handlers, host)
		return
	}
	t.handlers[host] = h
}

func (t *Transport) handler(host string) http.Handler {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.handlers[host]
}

type roundTrip struct {
	resp *http.Response
	err  error
}

// RoundTrip runs the handler and returns its answer.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	h := t.handler(r.URL.Host)
	if h == nil {
		return nil, Error.New("connection to %s refused", r.URL.Host)
	}
	in, err := serverRequest(r)
	if err != nil {
		return nil, err
	}
	done := make(chan roundTrip, 1)
	go func() { done <- serveOnce(h, in) }()
	select {
	case out := <-done:
		return out.resp, out.err
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// serverRequest copies the request with its whole body, as a server sees it.
func serverRequest(r *http.Request) (*http.Request, error) {
	in := r.Clone(r.Context())
	in.RequestURI = r.URL.RequestURI()
	in.Host = r.URL.Host
	in.Body = http.NoBody
	if r.Body == nil {
		return in, nil
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	in.Body = io.NopCloser(bytes.NewReader(body))
	return in, nil
}

func serveOnce(h http.Handler, r *http.Request) (out roundTrip) {
	defer func() {
		if p := recover(); p != nil {
			out = cutRoundTrip(p)
		}
	}()
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	out.resp = rec.Result()
	out.resp.Request = r
	out.resp.Body = checkLength(out.resp)
	return out
}

func cutRoundTrip(p any) roundTrip {
	if p != http.ErrAbortHandler {
		panic(p)
	}
	return roundTrip{err: io.ErrUnexpectedEOF}
}

// checkLength makes a body that is shorter than its Content-Length end in an
// error, as a connection would.
func checkLength(resp *http.Response) io.ReadCloser {
	body, _ := io.ReadAll(resp.Body) // a recorder's body cannot fail
	if resp.ContentLength <= int64(len(body)) {
		return io.NopCloser(bytes.NewReader(body))
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(body), cutReader{}))
}

type cutReader struct{}

func (cutReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
