package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"
)

// call is one call of the object API.
type call struct {
	verb    string
	method  string
	path    string // escaped
	query   url.Values
	version *uint64 // expected version of a conditional write
	body    []byte
	wait    time.Duration // of a watch, for a change; on top of the timeout
	limit   int64         // most bytes of the answer
}

// exchange sends the call to one address and reads the answer. connected is
// false if there was no connection, so that nothing can have been sent.
func (c *Client) exchange(ctx context.Context, address string, k call, into any) (connected bool, err error) {
	gotConn := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConn = true },
	})
	req, err := k.request(ctx, address)
	if err != nil {
		return false, &Unavailable{Cause: Error.New("%s: make request: %w", k.verb, err)}
	}
	resp, err := c.http.Do(req)
	if err != nil && !gotConn {
		return false, &Unavailable{Cause: Error.New("%s: connect: %w", k.verb, err)}
	}
	if err != nil {
		return true, &Unanswered{Cause: Error.New("%s: %w", k.verb, err)}
	}
	defer func() { _ = resp.Body.Close() }()
	c.clock.read(resp.Header)
	return true, k.result(resp, into)
}

func (k call) request(ctx context.Context, address string) (*http.Request, error) {
	target := "http://" + address + k.path
	if len(k.query) > 0 {
		target += "?" + k.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, k.method, target, bytes.NewReader(k.body))
	if err != nil {
		return nil, err
	}
	if k.version != nil {
		req.Header.Set(HeaderIfVersion, strconv.FormatUint(*k.version, 10))
	}
	if k.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// result decodes the answer into into, or returns an error of Store. The
// platform promises that it has applied nothing when it answers 4xx or 503;
// any other failure leaves that open.
func (k call) result(resp *http.Response, into any) error {
	body, err := readBounded(resp.Body, k.limit)
	status := resp.StatusCode
	switch {
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusGone:
		return ErrCompacted
	case status == http.StatusConflict && err == nil:
		return conflict(body)
	case status == http.StatusServiceUnavailable, status >= 400 && status < 500:
		return &Unavailable{Cause: Error.New("%s: refused with status %d: %.200s", k.verb, status, body)}
	case status < 200 || status >= 300:
		return &Unanswered{Cause: Error.New("%s: status %d: %.200s", k.verb, status, body)}
	case err != nil:
		return &Unanswered{Cause: Error.New("%s: read answer: %w", k.verb, err)}
	}
	if err := decode(body, into); err != nil {
		return &Unanswered{Cause: Error.New("%s: answer is not understood: %w", k.verb, err)}
	}
	return nil
}

// conflict returns the error of a refused write. If the current object can't be
// read, all that is known is that nothing was applied.
func conflict(body []byte) error {
	var current Object
	if err := json.Unmarshal(body, &current); err != nil {
		return &Unavailable{Cause: Error.New("conflict with an object that can't be read: %w", err)}
	}
	return &Conflict{Current: current}
}

// readBounded reads to the end; more than limit bytes are an error.
func readBounded(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return body, err
	}
	if int64(len(body)) > limit {
		return nil, Error.New("answer exceeds %d bytes", limit)
	}
	return body, nil
}
