package membudget

import (
	"errors"
	"fmt"
	"io"
)

const (
	// firstReadBytes is how much memory a message without a length gets at first.
	firstReadBytes = 4 << 10
	// maxUnreadBytes is how much memory a message gets at once because of its announced length. More follows when
	// as much has arrived: a faulty sender may announce what it does not send.
	maxUnreadBytes = 64 << 10
)

// TooLongError means that a message exceeds the limit of one message.
type TooLongError struct {
	Size int64 // bytes received or, if more, announced
	Max  int64
}

// Error implements error.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("the message has %d bytes or more, with a limit of %d", e.Size, e.Max)
}

// ReadAll reads the rest of a message, which may have up to limit bytes, into m. length is its announced length, -1
// if it has none and ends with io.EOF. It fails with a *TooLongError or an *ExceededError at once.
func ReadAll(from io.Reader, length, limit int64, m *Message) ([]byte, error) {
	if length > limit {
		return nil, &TooLongError{Size: length, Max: limit}
	}
	if length < 0 {
		return readUntilEOF(from, limit, m)
	}
	m.HasLength()
	body, err := m.grow(nil, min(length, maxUnreadBytes))
	for err == nil && int64(len(body)) < length {
		body, err = m.readMore(from, body, length)
	}
	if int64(len(body)) == length {
		return body, m.Err()
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return nil, m.cause(err)
}

func readUntilEOF(from io.Reader, limit int64, m *Message) ([]byte, error) {
	body, err := m.grow(nil, firstReadBytes)
	for err == nil {
		body, err = m.readMore(from, body, limit+1) // one byte more shows that the limit is exceeded
		if int64(len(body)) > limit {
			return nil, &TooLongError{Size: int64(len(body)), Max: limit}
		}
	}
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return body, m.Err()
	}
	return nil, m.cause(err)
}

// cause returns why reading failed: the read of a message that was given up fails with another error.
func (m *Message) cause(err error) error {
	if givenUp := m.Err(); givenUp != nil {
		return givenUp
	}
	return err
}

// readMore appends what one read returns to the body, which may grow to max bytes.
func (m *Message) readMore(from io.Reader, body []byte, max int64) ([]byte, error) {
	if len(body) == cap(body) {
		larger, err := m.grow(body, min(2*int64(cap(body)), max))
		if err != nil {
			return body, err
		}
		body = larger
	}
	n, err := from.Read(body[len(body):cap(body)])
	return body[:len(body)+n], err
}

// grow returns the body with room for size bytes. Both are charged while one is copied.
func (m *Message) grow(body []byte, size int64) ([]byte, error) {
	if err := m.Grow(size); err != nil {
		return nil, err
	}
	larger := make([]byte, len(body), size)
	copy(larger, body)
	return larger, m.Grow(-int64(cap(body)))
}
