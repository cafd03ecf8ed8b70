package targetconn

import (
	"errors"
	"io"
	"net/http"

	"rhubarbwood.example/rhubarbwood/internal/membudget"
)

const (
	// firstBodyBytes is how much memory a body without a length gets at first.
	firstBodyBytes = 4 << 10
	// maxUnreadBodyBytes is how much memory a body gets at once because of its announced length. More follows
	// when as much has arrived: a faulty target may announce what it does not send.
	maxUnreadBodyBytes = 64 << 10
	// headerLineMemory is the memory of a decoded header line in addition to its bytes.
	headerLineMemory = 64
)

// headerMemory returns about how much memory a decoded header takes, in bytes.
func headerMemory(h http.Header) int64 {
	n := 0
	for name, values := range h {
		n += headerLineMemory + len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return int64(n)
}

// memoryError returns the error of a response that was given up for others as a *LimitError. Reading it fails with
// the error of the aborted read.
func memoryError(err error, m *membudget.Message) error {
	var exceeded *membudget.ExceededError
	if errors.As(m.Err(), &exceeded) {
		return &LimitError{Limit: LimitMemory, Received: exceeded.Size, Max: exceeded.Max}
	}
	return err
}

// readBody reads the whole body of a response, which may have up to limit bytes, into memory. A body without a
// length ends with the connection and is complete unless the connection is reset.
func readBody(resp *http.Response, limit int64, memory *membudget.Message) ([]byte, error) {
	length := resp.ContentLength
	if length > limit {
		return nil, &LimitError{Limit: LimitBodyBytes, Received: length, Max: limit}
	}
	if length < 0 {
		return readUntilEnd(resp.Body, limit, memory)
	}
	memory.HasLength()
	body, err := grow(nil, min(length, maxUnreadBodyBytes), memory)
	for err == nil && int64(len(body)) < length {
		body, err = readMore(resp.Body, body, length, memory)
	}
	if int64(len(body)) == length {
		return body, nil
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return nil, err
}

// readUntilEnd reads a body without a length.
func readUntilEnd(from io.Reader, limit int64, memory *membudget.Message) ([]byte, error) {
	body, err := grow(nil, firstBodyBytes, memory)
	for err == nil {
		body, err = readMore(from, body, limit+1, memory) // one byte more shows that the limit is exceeded
		if int64(len(body)) > limit {
			return nil, &LimitError{Limit: LimitBodyBytes, Received: int64(len(body)), Max: limit}
		}
	}
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return body, nil
	}
	return nil, err
}

// readMore appends what one read returns to the body, which may grow to max bytes.
func readMore(from io.Reader, body []byte, max int64, memory *membudget.Message) ([]byte, error) {
	if len(body) == cap(body) {
		larger, err := grow(body, min(2*int64(cap(body)), max), memory)
		if err != nil {
			return body, err
		}
		body = larger
	}
	n, err := from.Read(body[len(body):cap(body)])
	return body[:len(body)+n], err
}

// grow returns the body with room for size bytes.
func grow(body []byte, size int64, memory *membudget.Message) ([]byte, error) {
	if err := memory.Grow(size); err != nil {
		return nil, err
	}
	larger := make([]byte, len(body), size)
	copy(larger, body)
	return larger, memory.Grow(-int64(cap(body)))
}
