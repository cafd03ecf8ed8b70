package standin

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
)

// Transport is an http.RoundTripper that passes each request to a handler in the same process,
// selected by the request's host. It uses no socket, so that tests can run in virtual time. A
// handler that aborts results in io.ErrUnexpectedEOF. A request returns as soon as its context
// ends, while its handler continues with the ended context.
type Transport struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
}

// Handle registers the handler of a host. A nil handler removes the host: requests to it then fail
// like a refused connection.
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

type roundTripResult struct {
	resp *http.Response
	err  error
}

// RoundTrip calls the handler and returns its response.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	h := t.handler(r.URL.Host)
	if h == nil {
		return nil, Error.New("connection to %s refused", r.URL.Host)
	}
	in, err := serverRequest(r)
	if err != nil {
		return nil, err
	}
	done := make(chan roundTripResult, 1)
	go func() { done <- serveOnce(h, in) }()
	select {
	case out := <-done:
		return out.resp, out.err
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// serverRequest copies the request with its whole body into the form that a server receives.
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

func serveOnce(h http.Handler, r *http.Request) (out roundTripResult) {
	defer func() {
		if p := recover(); p != nil {
			out = abortedRoundTrip(p)
		}
	}()
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	out.resp = rec.Result()
	out.resp.Request = r
	out.resp.Body = bodyWithLengthCheck(out.resp)
	return out
}

func abortedRoundTrip(p any) roundTripResult {
	if p != http.ErrAbortHandler {
		panic(p)
	}
	return roundTripResult{err: io.ErrUnexpectedEOF}
}

// bodyWithLengthCheck returns a body that ends in an error if it is shorter than its
// Content-Length, like a connection that is cut.
func bodyWithLengthCheck(resp *http.Response) io.ReadCloser {
	body, _ := io.ReadAll(resp.Body) // reading a recorder's body cannot fail
	if resp.ContentLength <= int64(len(body)) {
		return io.NopCloser(bytes.NewReader(body))
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(body), truncatedReader{}))
}

type truncatedReader struct{}

func (truncatedReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
