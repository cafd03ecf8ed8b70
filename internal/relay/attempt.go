package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

// attempt is one shard request to one target. Body is the JSON form of a
// targetapi.Request; the attempts of a batch share it.
type attempt struct {
	id        string
	requestID string
	service   string
	shard     uint32
	snapshot  uint64
	limit     int
	body      []byte
	deadline  time.Time // by this process's monotonic clock
}

// answer is what the sender of an attempt knows of it. The target's answer is
// set only when the outcome is Done.
type answer struct {
	outcome    outcome.Outcome
	reason     query.Reason
	retryAfter time.Duration
	body       shardAnswer
	cause      error
}

// shardAnswer is a targetapi.Answer whose rows are read into the form in
// which they are handed on.
type shardAnswer struct {
	targetapi.Answer
	Rows []query.Row `json:"rows"`
}

// errNoTime means that the budget ended before the attempt was sent.
var errNoTime = Error.New("no budget left to send")

// send sends the attempt to the target one time at most and returns when the
// whole answer is here, or ctx is done. It never sends once ctx or the
// attempt's deadline is past.
//
// cancel must be that of ctx.
func (t *target) send(ctx context.Context, cancel context.CancelFunc, a *attempt) answer {
	w := &wire{cancel: cancel, ctx: ctx, deadline: a.deadline}
	if w.late() {
		return answer{outcome: outcome.NotSent, reason: query.ReasonBudget, cause: errNoTime}
	}
	req := t.request(w.trace(ctx), a)
	w.header = req.Header
	res, err := t.transport.RoundTrip(req)
	if err != nil {
		return unanswered(w.outcome(), err)
	}
	defer func() { _ = res.Body.Close() }()
	return t.read(res, a)
}

// request builds the HTTP request. It has neither GetBody nor an idempotency
// key, so net/http never sends it again by itself.
func (t *target) request(ctx context.Context, a *attempt) *http.Request {
	h := make(http.Header, 8)
	h["Content-Type"] = jsonType
	h[targetapi.HeaderRequest] = []string{a.requestID}
	h[targetapi.HeaderAttempt] = []string{a.id}
	h[targetapi.HeaderService] = []string{a.service}
	h[targetapi.HeaderShard] = []string{strconv.FormatUint(uint64(a.shard), 10)}
	h[targetapi.HeaderSnapshot] = []string{strconv.FormatUint(a.snapshot, 10)}
	r := &http.Request{
		Method: http.MethodPost, URL: t.shardURL, Host: t.conf.Address,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: h, ContentLength: int64(len(a.body)),
		Body: io.NopCloser(bytes.NewReader(a.body)),
	}
	return r.WithContext(ctx)
}

var jsonType = []string{"application/json"}

// unanswered is the answer of an attempt whose connection failed or whose
// time ended.
func unanswered(o outcome.Outcome, err error) answer {
	reason := query.ReasonConnection
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		reason = query.ReasonBudget
	}
	return answer{outcome: o, reason: reason, cause: err}
}

// read takes the response. Anything but a whole, well-formed answer to this
// very attempt leaves its outcome Unknown.
func (t *target) read(res *http.Response, a *attempt) answer {
	body, err := readAll(res, t.maxAnswer)
	if err != nil {
		if errors.Is(err, errTooLarge) {
			return badAnswer(err)
		}
		return unanswered(outcome.Unknown, err)
	}
	switch res.StatusCode {
	case http.StatusOK:
		return t.accept(body, a)
	case http.StatusConflict, http.StatusServiceUnavailable, http.StatusInternalServerError:
		return refused(res.StatusCode, body, a)
	}
	return badAnswer(Error.New("status %d", res.StatusCode))
}

var errTooLarge = Error.New("answer is larger than the limit")

func readAll(res *http.Response, limit int64) ([]byte, error) {
	if res.ContentLength > limit {
		return nil, errTooLarge
	}
	if res.ContentLength >= 0 {
		body := make([]byte, res.ContentLength)
		if _, err := io.ReadFull(res.Body, body); err != nil {
			return nil, Error.New("read answer: %w", err)
		}
		_, err := res.Body.Read(nil)
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, Error.New("read answer: %w", err)
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, limit+1))
	if err != nil {
		return nil, Error.New("read answer: %w", err)
	}
	if int64(len(body)) > limit {
		return nil, errTooLarge
	}
	return body, nil
}

// accept checks every echoed field and the row count.
func (t *target) accept(body []byte, a *attempt) answer {
	b := shardAnswer{Rows: make([]query.Row, 0, t.rowsHint.Load())}
	if err := json.Unmarshal(body, &b); err != nil {
		return badAnswer(Error.New("parse answer: %w", err))
	}
	if err := checkEcho(&b, a); err != nil {
		return badAnswer(err)
	}
	t.rowsHint.Store(int64(min(len(b.Rows), maxRowsHint)))
	for i := range b.Rows {
		b.Rows[i].Service, b.Rows[i].Shard = a.service, a.shard
	}
	return answer{outcome: outcome.Done, body: b}
}

// maxRowsHint bounds the space made before an answer is read.
const maxRowsHint = 1024

func checkEcho(b *shardAnswer, a *attempt) error {
	switch {
	case b.RequestID != a.requestID:
		return Error.New("answer to request %q", b.RequestID)
	case b.AttemptID != a.id:
		return Error.New("answer to attempt %q", b.AttemptID)
	case b.Service != a.service:
		return Error.New("answer of service %q", b.Service)
	case b.Shard != a.shard:
		return Error.New("answer of shard %d", b.Shard)
	case b.Snapshot != a.snapshot:
		return Error.New("answer of snapshot %d", b.Snapshot)
	case b.RowCount != len(b.Rows):
		return Error.New("%d rows where %d were announced", len(b.Rows), b.RowCount)
	case b.TotalRows < b.RowCount:
		return Error.New("%d rows of a total of %d", b.RowCount, b.TotalRows)
	case a.limit > 0 && b.RowCount > a.limit:
		return Error.New("%d rows over the limit of %d", b.RowCount, a.limit)
	}
	return nil
}

// refused reads a Rejection. Only a code that belongs to the status, and no
// word of another attempt, prove that this one did not run.
func refused(status int, body []byte, of *attempt) answer {
	var b targetapi.Rejection
	if err := json.Unmarshal(body, &b); err != nil {
		return badAnswer(Error.New("parse rejection: %w", err))
	}
	if b.AttemptID != "" && b.AttemptID != of.id {
		return badAnswer(Error.New("rejection of attempt %q", b.AttemptID))
	}
	o, reason, ok := rejection(status, b.Code)
	if !ok {
		return badAnswer(Error.New("status %d with code %q", status, b.Code))
	}
	after := time.Duration(max(b.RetryAfterMS, 0)) * time.Millisecond
	return answer{outcome: o, reason: reason, retryAfter: after}
}

func rejection(status int, code string) (outcome.Outcome, query.Reason, bool) {
	switch {
	case status == http.StatusConflict && code == targetapi.CodeSnapshotNotHeld:
		return outcome.Rejected, query.ReasonSnapshotNotHeld, true
	case status == http.StatusConflict && code == targetapi.CodeRefusedAttempt:
		return outcome.Rejected, query.ReasonUnsettled, true
	case status == http.StatusServiceUnavailable && code == targetapi.CodeDraining:
		return outcome.Rejected, query.ReasonDraining, true
	case status == http.StatusServiceUnavailable && code == targetapi.CodeShed:
		return outcome.Rejected, query.ReasonOverload, true
	case status == http.StatusInternalServerError && code == targetapi.CodeFailed:
		return outcome.Failed, query.ReasonTargetFailed, true
	}
	return outcome.Unknown, query.ReasonBadAnswer, false
}

func badAnswer(err error) answer {
	return answer{outcome: outcome.Unknown, reason: query.ReasonBadAnswer, cause: err}
}

// wire watches how far an attempt got.
type wire struct {
	ctx      context.Context
	cancel   context.CancelFunc // of ctx
	deadline time.Time
	header   http.Header // of the request

	conn   *conn // nil: no connection of our own kind, or none yet
	before uint64
	got    bool
}

// late reports whether the attempt must not be sent any more.
func (w *wire) late() bool { return w.ctx.Err() != nil || !time.Now().Before(w.deadline) }

// trace returns ctx with the hooks that watch the attempt.
func (w *wire) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: w.gotConn})
}

// gotConn runs before the first byte is written, and after the wait for a
// connection: only now is it known what is left of the budget. An attempt
// that came too late is stopped here, and so is a second connection for one
// attempt, which would be a second send.
func (w *wire) gotConn(info httptrace.GotConnInfo) {
	c, _ := info.Conn.(*conn)
	if c != nil && c.shared {
		c = nil
	}
	if w.got || w.late() {
		w.stop(c)
		return
	}
	w.got = true
	w.conn = c
	if c != nil {
		w.before = c.written()
	}
	left := float64(time.Until(w.deadline)) / float64(time.Millisecond)
	w.header[targetapi.HeaderBudget] = []string{strconv.FormatFloat(left, 'f', 3, 64)}
}

// stop keeps the attempt from being written to the connection.
func (w *wire) stop(c *conn) {
	w.cancel()
	if c != nil {
		c.seal()
		return
	}
	w.got = true // a shared connection can't be sealed: nothing is proved
}

// outcome tells what became of an attempt without an answer. It is called
// after RoundTrip returned with an error. NotSent needs proof: there was no
// connection, or nothing was written to it and nothing ever will be.
func (w *wire) outcome() outcome.Outcome {
	if !w.got {
		return outcome.NotSent
	}
	if w.conn != nil && w.conn.seal() == w.before {
		return outcome.NotSent
	}
	return outcome.Unknown
}
