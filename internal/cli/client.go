package cli

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	goahttp "goa.design/goa/v3/http"

	operatehttp "rhubarbwood.example/rhubarbwood/gen/http/operate/client"
	queryhttp "rhubarbwood.example/rhubarbwood/gen/http/query/client"
	"rhubarbwood.example/rhubarbwood/gen/operate"
	"rhubarbwood.example/rhubarbwood/gen/query"
)

// maxResponseBytes limits the size of a response body that a command reads.
const maxResponseBytes = 64 << 20

// client calls the callers' and the operators' API of one host.
type client struct {
	recorder *recordingDoer
	entry    string
	query    *queryhttp.Client
	operate  *operatehttp.Client
}

func newClient(entry, operators string, timeout time.Duration) *client {
	recorder := &recordingDoer{http: &http.Client{Timeout: timeout}}
	enc, dec := goahttp.RequestEncoder, goahttp.ResponseDecoder
	return &client{
		recorder: recorder,
		entry:    entry,
		query:    queryhttp.NewClient("http", entry, recorder, enc, dec, false),
		operate:  operatehttp.NewClient("http", operators, recorder, enc, dec, false),
	}
}

func (c *client) search(ctx context.Context, p *query.SearchPayload) (*query.SearchAnswer, error) {
	enc := func(r *http.Request) goahttp.Encoder { return exactEncoder{goahttp.RequestEncoder(r), p} }
	exact := queryhttp.NewClient("http", c.entry, c.recorder, enc, goahttp.ResponseDecoder, false)
	return call[*query.SearchAnswer](ctx, c, exact.Search(), p)
}

// exactEncoder sends the limit and the minimum coverage unchanged. The
// generated client treats a zero as a field that isn't set and would send the
// default: 20 rows instead of all, complete coverage instead of any.
type exactEncoder struct {
	goahttp.Encoder
	payload *query.SearchPayload
}

// Encode implements goahttp.Encoder.
func (e exactEncoder) Encode(v any) error {
	if body, ok := v.(**queryhttp.SearchRequestBody); ok {
		(*body).Limit, (*body).MinCoverage = e.payload.Limit, e.payload.MinCoverage
	}
	return e.Encoder.Encode(v)
}

func (c *client) reserve(ctx context.Context, p *query.ReservePayload) (*query.ReservationAnswer, error) {
	return call[*query.ReservationAnswer](ctx, c, c.query.Reserve(), p)
}

func (c *client) statement(ctx context.Context, p *operate.StatementPayload) (*operate.StatementResult, error) {
	return call[*operate.StatementResult](ctx, c, c.operate.Statement(), p)
}

func call[T any](ctx context.Context, c *client, endpoint func(context.Context, any) (any, error), payload any) (T, error) {
	var none T
	result, err := endpoint(ctx, payload)
	if err != nil {
		if c.recorder.err != nil {
			return none, &noResponseError{sent: !dialFailed(c.recorder.err), cause: c.recorder.err}
		}
		return none, err
	}
	return result.(T), nil
}

// noResponseError is a call that got no response. If sent is false, the
// connection was never established and no byte was sent.
type noResponseError struct {
	sent  bool
	cause error
}

// Error returns the text of the cause.
func (e *noResponseError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *noResponseError) Unwrap() error { return e.cause }

// dialFailed reports whether the connection could not be established.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// recordingDoer is an HTTP client that keeps the body of the last response,
// which is printed unchanged for JSON output, and the last transport error.
type recordingDoer struct {
	http *http.Client
	body []byte
	err  error
}

// Do implements goahttp.Doer.
func (r *recordingDoer) Do(req *http.Request) (*http.Response, error) {
	r.body, r.err = nil, nil
	resp, err := r.http.Do(req)
	if err != nil {
		r.err = err
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		r.err = err
		return nil, err
	}
	r.body = body
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp, nil
}
