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

// maxAnswer bounds the body of an answer that a command reads, in bytes.
const maxAnswer = 64 << 20

// client talks to one host.
type client struct {
	wire    *recordingDoer
	entry   string
	query   *queryhttp.Client
	operate *operatehttp.Client
}

func newClient(entry, operators string, timeout time.Duration) *client {
	wire := &recordingDoer{http: &http.Client{Timeout: timeout}}
	enc, dec := goahttp.RequestEncoder, goahttp.ResponseDecoder
	return &client{
		wire:    wire,
		entry:   entry,
		query:   queryhttp.NewClient("http", entry, wire, enc, dec, false),
		operate: operatehttp.NewClient("http", operators, wire, enc, dec, false),
	}
}

func (c *client) search(ctx context.Context, p *query.SearchPayload) (*query.SearchAnswer, error) {
	enc := func(r *http.Request) goahttp.Encoder { return exactEncoder{goahttp.RequestEncoder(r), p} }
	exact := queryhttp.NewClient("http", c.entry, c.wire, enc, goahttp.ResponseDecoder, false)
	return call[*query.SearchAnswer](ctx, c, exact.Search(), p)
}

// exactEncoder sends the limit and the minimum coverage as they are. The
// generated client takes a zero for a field that wasn't set and would send the
// default: 20 rows instead of all, complete coverage instead of any.
type exactEncoder struct {
	goahttp.Encoder
	search *query.SearchPayload
}

// Encode writes the body.
func (e exactEncoder) Encode(v any) error {
	if body, ok := v.(**queryhttp.SearchRequestBody); ok {
		(*body).Limit, (*body).MinCoverage = e.search.Limit, e.search.MinCoverage
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
		if c.wire.err != nil {
			return none, &lostError{sent: !neverConnected(c.wire.err), cause: c.wire.err}
		}
		return none, err
	}
	return result.(T), nil
}

// lostError is a call without an answer. If sent is false, no byte of it left.
type lostError struct {
	sent  bool
	cause error
}

// Error tells the cause.
func (e *lostError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *lostError) Unwrap() error { return e.cause }

// neverConnected reports whether the connection was never made.
func neverConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// recordingDoer is an HTTP client that keeps the last answer's body, which is
// printed as it came when JSON is wanted, and the last error.
type recordingDoer struct {
	http *http.Client
	body []byte
	err  error
}

// Do sends the request.
func (r *recordingDoer) Do(req *http.Request) (*http.Response, error) {
	r.body, r.err = nil, nil
	resp, err := r.http.Do(req)
	if err != nil {
		r.err = err
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		r.err = err
		return nil, err
	}
	r.body = body
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp, nil
}
