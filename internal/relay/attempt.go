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

	"rhubarbwood.example/rhubarbwood/internal/membudget"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

// attempt is one shard request to one target. The body is an encoded
// targetapi.Request, shared by all attempts of a batch.
type attempt struct {
	id        string
	requestID string
	service   string
	shard     uint32
	snapshot  uint64
	limit     int
	body      []byte
	deadline  time.Time // with the monotonic clock reading of this process
	once      bool      // a reservation: it must not run twice
}

// attemptResult is the result of an attempt as the sender observed it. The
// answer is set only if the outcome is Done.
type attemptResult struct {
	outcome    outcome.Outcome
	reason     query.Reason
	retryAfter time.Duration
	answer     shardAnswer
	cause      error
}

// shardAnswer is a targetapi.Answer whose rows are decoded directly into query
// rows.
type shardAnswer struct {
	targetapi.Answer
	Rows []query.Row `json:"rows"`
}

// errBudgetExhausted is the cause of an attempt whose budget ended before it
// was sent.
var errBudgetExhausted = Error.New("budget exhausted before the attempt was sent")

// send sends the attempt to the target at most once and returns when the
// response was read completely or ctx is done. Nothing is sent after ctx is
// done or the deadline of the attempt has passed.
//
// cancel must be the cancel function of ctx.
func (t *target) send(ctx context.Context, cancel context.CancelFunc, a *attempt) attemptResult {
	tracker := &sendTracker{cancel: cancel, ctx: ctx, deadline: a.deadline}
	if tracker.expired() {
		return attemptResult{outcome: outcome.NotSent, reason: query.ReasonBudget, cause: errBudgetExhausted}
	}
	req := t.newRequest(tracker.withTrace(ctx), a)
	tracker.header = req.Header
	res, err := t.transport.RoundTrip(req)
	if err != nil {
		return transportFailure(tracker.outcome(), err)
	}
	defer func() { _ = res.Body.Close() }()
	return t.readResponse(res, a)
}

// newRequest builds the HTTP request. It sets neither GetBody nor an
// idempotency key, so that net/http never retries it on its own.
func (t *target) newRequest(ctx context.Context, a *attempt) *http.Request {
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

// transportFailure is the result of an attempt whose connection failed or
// whose context ended.
func transportFailure(o outcome.Outcome, err error) attemptResult {
	reason := query.ReasonConnection
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		reason = query.ReasonBudget
	}
	return attemptResult{outcome: o, reason: reason, cause: err}
}

// readResponse reads the response. Unless it is a complete and valid answer to
// this attempt, or a valid rejection of it, the outcome is Unknown.
func (t *target) readResponse(res *http.Response, a *attempt) attemptResult {
	memory := t.openMemory(res)
	defer memory.Release() // by then the answer is decoded
	body, err := t.readBody(res, memory)
	if err != nil {
		var tooLong *membudget.TooLongError
		var exceeded *membudget.ExceededError
		if errors.As(err, &tooLong) || errors.As(err, &exceeded) {
			return invalidAnswer(err)
		}
		return transportFailure(outcome.Unknown, err)
	}
	switch res.StatusCode {
	case http.StatusOK:
		return t.parseAnswer(body, a)
	case http.StatusConflict, http.StatusServiceUnavailable, http.StatusInternalServerError:
		return parseRejection(res.StatusCode, body, a)
	}
	return invalidAnswer(Error.New("unexpected response status %d", res.StatusCode))
}

// decodeFactor is how much memory the decoding of an answer takes in addition to its body, in bytes for each byte of
// the body.
const decodeFactor = 3

// openMemory returns the memory of a response. If it is given up for others, its connection is closed.
func (t *target) openMemory(res *http.Response) *membudget.Message {
	return t.memory.Open(func() { go func() { _ = res.Body.Close() }() }) // closing may wait for the transport
}

// readBody reads the whole body of a response, and reserves the memory for decoding it.
func (t *target) readBody(res *http.Response, memory *membudget.Message) ([]byte, error) {
	body, err := membudget.ReadAll(res.Body, res.ContentLength, t.maxAnswerBytes, memory)
	if err == nil && res.ContentLength >= 0 {
		if _, err = res.Body.Read(nil); errors.Is(err, io.EOF) {
			err = nil
		}
	}
	if err == nil {
		err = memory.Grow(decodeFactor * int64(len(body)))
	}
	if err != nil {
		return nil, Error.New("read answer: %w", err)
	}
	return body, nil
}

// parseAnswer decodes and validates the answer of a target.
func (t *target) parseAnswer(body []byte, a *attempt) attemptResult {
	b := shardAnswer{Rows: make([]query.Row, 0, t.rowsHint.Load())}
	if err := json.Unmarshal(body, &b); err != nil {
		return invalidAnswer(Error.New("parse answer: %w", err))
	}
	if err := validateAnswer(&b, a); err != nil {
		return invalidAnswer(err)
	}
	t.rowsHint.Store(int64(min(len(b.Rows), maxPreallocatedRows)))
	for i := range b.Rows {
		b.Rows[i].Service, b.Rows[i].Shard = a.service, a.shard
	}
	return attemptResult{outcome: outcome.Done, answer: b}
}

// maxPreallocatedRows bounds the row capacity that is allocated before an
// answer is decoded.
const maxPreallocatedRows = 1024

// validateAnswer checks that the answer echoes the fields of the attempt and
// that its row counts are consistent.
func validateAnswer(b *shardAnswer, a *attempt) error {
	switch {
	case b.RequestID != a.requestID:
		return Error.New("answer is for request %q", b.RequestID)
	case b.AttemptID != a.id:
		return Error.New("answer is for attempt %q", b.AttemptID)
	case b.Service != a.service:
		return Error.New("answer is for service %q", b.Service)
	case b.Shard != a.shard:
		return Error.New("answer is for shard %d", b.Shard)
	case b.Snapshot != a.snapshot:
		return Error.New("answer is for snapshot %d", b.Snapshot)
	case b.RowCount != len(b.Rows):
		return Error.New("answer has %d rows but a row count of %d", len(b.Rows), b.RowCount)
	case b.TotalRows < b.RowCount:
		return Error.New("answer has %d rows but a total of %d", b.RowCount, b.TotalRows)
	case a.limit > 0 && b.RowCount > a.limit:
		return Error.New("answer has %d rows, over the limit of %d", b.RowCount, a.limit)
	}
	return nil
}

// parseRejection decodes a Rejection. It proves that the attempt did not run
// only if the code matches the status and the rejection does not name another
// attempt. That of a reservation must name it: a late copy of the rejection of
// an earlier attempt on the connection may name none.
func parseRejection(status int, body []byte, a *attempt) attemptResult {
	var b targetapi.Rejection
	if err := json.Unmarshal(body, &b); err != nil {
		return invalidAnswer(Error.New("parse rejection: %w", err))
	}
	if b.AttemptID != a.id && (a.once || b.AttemptID != "") {
		return invalidAnswer(Error.New("rejection is for attempt %q", b.AttemptID))
	}
	o, reason, ok := rejectionOutcome(status, b.Code)
	if !ok {
		return invalidAnswer(Error.New("unexpected rejection code for status %d: %q", status, b.Code))
	}
	retryAfter := time.Duration(max(b.RetryAfterMS, 0)) * time.Millisecond
	return attemptResult{outcome: o, reason: reason, retryAfter: retryAfter}
}

// rejectionOutcome maps a rejection to outcome and reason. It reports false if
// the code does not belong to the status.
func rejectionOutcome(status int, code string) (outcome.Outcome, query.Reason, bool) {
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

func invalidAnswer(err error) attemptResult {
	return attemptResult{outcome: outcome.Unknown, reason: query.ReasonBadAnswer, cause: err}
}

// sendTracker tracks how far an attempt got, to decide whether it was
// certainly not sent.
type sendTracker struct {
	ctx      context.Context
	cancel   context.CancelFunc // cancels ctx
	deadline time.Time
	header   http.Header // of the request; gotConn adds the remaining budget

	conn         *conn  // nil if the connection is shared or none was obtained yet
	writesBefore uint64 // writes on conn before this attempt
	obtained     bool   // a connection was obtained for the attempt
}

// expired reports whether the attempt must no longer be sent.
func (w *sendTracker) expired() bool { return w.ctx.Err() != nil || !time.Now().Before(w.deadline) }

// withTrace returns ctx with the httptrace hooks of the tracker.
func (w *sendTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: w.gotConn})
}

// gotConn runs after the wait for a connection and before the first byte is
// written, so the remaining budget is computed here. It aborts an attempt that
// expired meanwhile. It also aborts when a second connection is obtained for
// the same attempt, which would send it twice.
func (w *sendTracker) gotConn(info httptrace.GotConnInfo) {
	c, _ := info.Conn.(*conn)
	if c != nil && c.shared {
		c = nil
	}
	if w.obtained || w.expired() {
		w.abort(c)
		return
	}
	w.obtained = true
	w.conn = c
	if c != nil {
		w.writesBefore = c.writeCount()
	}
	remainingMillis := float64(time.Until(w.deadline)) / float64(time.Millisecond)
	w.header[targetapi.HeaderBudget] = []string{strconv.FormatFloat(remainingMillis, 'f', 3, 64)}
}

// abort keeps the attempt from being written to the connection.
func (w *sendTracker) abort(c *conn) {
	w.cancel()
	if c != nil {
		c.seal()
		return
	}
	w.obtained = true // a shared connection cannot be sealed, so the outcome stays Unknown
}

// outcome returns the outcome of an attempt for which RoundTrip returned an
// error. NotSent requires proof: no connection was obtained, or nothing was
// written to it and, because it is sealed, nothing ever will be.
func (w *sendTracker) outcome() outcome.Outcome {
	if !w.obtained {
		return outcome.NotSent
	}
	if w.conn != nil && w.conn.seal() == w.writesBefore {
		return outcome.NotSent
	}
	return outcome.Unknown
}
