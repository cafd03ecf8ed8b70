package targetconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/membudget"
)

// Request is an HTTP/1.1 request to a target.
type Request struct {
	Method string
	Head   []byte      // request line and shared headers, as NewHead returns them
	Header http.Header // in addition to the headers of Head
	Body   []byte
	// ID is the id that the target repeats in its response; empty: none, as in a health check.
	ID string
	// Match returns what a response is to the request; nil accepts every response as Answer. A target
	// may send a response twice, and the duplicate is then read as the response to the next request.
	Match func(status int, h http.Header) Match
	// MaxBodyBytes is the maximum length of the response body, in bytes.
	MaxBodyBytes int64
	// Memory limits what the responses of all targets hold together; nil: no limit.
	Memory *membudget.Budget
	// OnLarge is called while the response is read, once a part of it has become large, with the bytes received of
	// the part so far; nil: not called.
	OnLarge func(part Part, received int64)
}

// Match is what a response is to the request that is in flight on its connection.
type Match uint8

// Kinds of matches.
const (
	Foreign Match = iota // belongs to another request
	Answer               // answers the request, which has run or may have run
	NotRun               // says that the request did not run: it may be sent again with the same id
)

// Response is the complete response of a target.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Connection is the number of the connection, counted from 1 since the pool was made.
	Connection uint64
	// Memory is what the response holds. It must be released when the response is no longer used; nil if Exchange failed.
	Memory *membudget.Message
}

// errForeignResponse means that only responses to other requests were received.
var errForeignResponse = errors.New("the response belongs to another request")

// ConnectionLost reports whether an exchange failed because the connection was closed or reset
// before the response was complete.
func ConnectionLost(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// maxForeignResponses is the number of responses to other requests that one exchange
// skips while it waits for its own response.
const maxForeignResponses = 3

// maxInlineWriteBytes is the size up to which a request is written before the
// response is read; it fits in the smallest TCP window. A longer request is written
// concurrently with reading, since the target may reject it before it has read all
// of it.
const maxInlineWriteBytes = 8 << 10

// pastDeadline is a deadline that makes pending reads and writes fail immediately.
var pastDeadline = time.Unix(1, 0)

// Conn is one connection to a target. It carries one request at a time.
type Conn struct {
	pool    *Pool
	number  uint64 // as in Response.Connection
	net     net.Conn
	meter   *meter        // of reader
	reader  *bufio.Reader // reads net
	expires time.Time     // end of the idle time: the target may close the connection from then on
	once    sync.Once
	// notRun has the requests that the target did not run, by id. They may be sent again, but not over
	// this connection: a second copy of the rejection would be taken as the response to the new attempt.
	notRun requestIDs
}

// Discard closes the connection.
func (c *Conn) Discard() {
	c.once.Do(func() {
		_ = c.net.Close() // the connection is not used again, so the error doesn't matter
		c.pool.remove(c)
	})
}

// Release returns a connection to the pool on which nothing was sent since Get.
func (c *Conn) Release() { c.pool.put(c) }

// usable reports whether an idle connection can carry a request: its idle time is
// not over, the target has not closed it, and no unsolicited bytes were received.
func (c *Conn) usable(now time.Time) bool {
	if now.After(c.expires) || c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	// The deadline of the last request may have passed, and would fail the read below.
	if err := c.net.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, err := syscall.Read(int(fd), buf[:])
		noData = errors.Is(err, syscall.EAGAIN)
		return true
	})
	if err == nil && !noData {
		c.pool.restarted.Store(true)
	}
	return err == nil && noData
}

// requestBuffers is a pool of buffers for encoded requests.
var requestBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Exchange sends the request and reads its response, until the deadline or until
// ctx is done. sent is false only if no byte of the request was written. If the
// response's header arrived and its body did not, a has the header. The connection returns to its pool if it can carry another request, and is closed
// otherwise.
func (c *Conn) Exchange(ctx context.Context, deadline time.Time, r *Request) (a Response, sent bool, err error) {
	stopWatch := context.AfterFunc(ctx, func() { _ = c.net.SetDeadline(pastDeadline) })
	defer stopWatch()
	if err := c.net.SetDeadline(deadline); err != nil {
		c.fail(err)
		return a, false, Error.New("set deadline: %w", err)
	}
	if ctx.Err() != nil {
		c.Discard()
		return a, false, Error.Wrap(ctx.Err())
	}
	w, err := c.write(r)
	if err != nil {
		c.fail(err)
		return a, w.sent(), Error.New("write request: %w", err)
	}
	a, reusable, err := c.read(r)
	switch {
	case err != nil:
		c.fail(err)
		return a, true, Error.New("read response: %w", err)
	case !reusable || c.notRun.full() || !w.finished() || !stopWatch():
		c.Discard()
	default:
		c.pool.put(c)
	}
	return a, true, nil
}

// fail closes the connection after a failed exchange. If the target ended the
// connection, it notes that the target may have restarted.
func (c *Conn) fail(err error) {
	if ConnectionLost(err) {
		c.pool.restarted.Store(true)
	}
	c.Discard()
}

// requestWrite is the progress of writing one request.
type requestWrite struct {
	mu    sync.Mutex
	done  bool
	bytes int
}

func (w *requestWrite) finish(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
	w.bytes = n
}

// sent reports whether any byte of the request may have been written.
func (w *requestWrite) sent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.done || w.bytes > 0
}

// finished reports whether the whole request was written.
func (w *requestWrite) finished() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done
}

// write sends the request. A write error of a long request is left to the following
// read: the response may tell why the target stopped reading.
func (c *Conn) write(r *Request) (*requestWrite, error) {
	buf := requestBuffers.Get().(*bytes.Buffer)
	buf.Reset()
	w := &requestWrite{}
	r.encode(buf)
	if buf.Len() <= maxInlineWriteBytes {
		n, err := c.net.Write(buf.Bytes())
		w.finish(n)
		requestBuffers.Put(buf)
		return w, err
	}
	go func() {
		n, err := c.net.Write(buf.Bytes())
		if err != nil {
			return // read returns the connection error, or the response that rejects the request
		}
		w.finish(n)
	}()
	return w, nil
}

func (r *Request) match(a Response) Match {
	if r.Match == nil {
		return Answer
	}
	return r.Match(a.Status, a.Header)
}

// encode writes the request in HTTP/1.1 format.
func (r *Request) encode(buf *bytes.Buffer) {
	buf.Write(r.Head)
	writeHeader(buf, r.Header)
	buf.WriteString("\r\n")
	buf.Write(r.Body)
}

// read reads the response, skipping responses to other requests. reusable reports
// whether the connection may carry another request.
func (c *Conn) read(r *Request) (a Response, reusable bool, err error) {
	c.meter.onLarge = r.OnLarge
	defer func() { c.meter.onLarge = nil }()
	for skipped := 0; ; skipped++ {
		a, reusable, err := c.readResponse(r)
		if err != nil {
			return a, false, err
		}
		if match := r.match(a); match != Foreign {
			if match == NotRun {
				c.notRun.add(r.ID)
			}
			// A target that sent a surplus response may send more of them.
			return a, reusable && skipped == 0, nil
		}
		a.Memory.Release()
		if !reusable && c.reader.Buffered() == 0 || skipped == maxForeignResponses {
			return a, false, errForeignResponse
		}
	}
}

// readResponse reads the next response on the connection.
func (c *Conn) readResponse(r *Request) (a Response, reusable bool, err error) {
	memory := r.Memory.Open(func() { _ = c.net.SetReadDeadline(pastDeadline) }) // fails only if the connection is closed
	a, reusable, err = c.readInto(memory, r)
	if err == nil {
		err = memory.Complete()
	}
	if err != nil {
		memory.Release()
		return a, false, limitError(err, memory)
	}
	a.Memory = memory
	return a, reusable, nil
}

// readInto reads the next response on the connection into memory.
func (c *Conn) readInto(memory *membudget.Message, r *Request) (a Response, reusable bool, err error) {
	c.meter.begin(PartHead)
	resp, err := c.readHeader(r)
	if err != nil {
		return a, false, err
	}
	c.meter.begin(PartBody)
	a = Response{Status: resp.StatusCode, Header: resp.Header, Connection: c.number}
	if err := memory.Grow(headerMemory(resp.Header)); err != nil {
		return a, false, err
	}
	// A body without a length ends with the connection and is complete unless the connection is reset. The body is
	// not closed: that would read the rest of one that was given up, which may have no end.
	body, err := membudget.ReadAll(resp.Body, resp.ContentLength, r.MaxBodyBytes, memory)
	if err != nil {
		return a, false, err
	}
	a.Body = body
	c.expires = time.Now().Add(keepAliveTime(resp.Header))
	return a, !resp.Close && c.reader.Buffered() == 0, nil
}

// readHeader reads the header of the next final response, skipping 1xx responses. The limits of the head apply to
// all of them together: a target may send 1xx responses without end.
func (c *Conn) readHeader(r *Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if c.meter.exceeded != nil {
			return nil, c.meter.exceeded
		}
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, Error.New("the target switched the protocol")
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// keepAliveTime returns how long the target keeps the connection open while it is idle.
func keepAliveTime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds >= 0 {
			return max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdleTime
}
