package targetconn

import (
	"bytes"
	"fmt"
	"net"
)

// Part is a part of a response.
type Part string

// Parts of a response.
const (
	PartHead Part = "head" // status line and header, those of 1xx responses included
	PartBody Part = "body" // body and trailer
)

// Limit is a limit on what is read of a response.
type Limit string

// Limits on responses.
const (
	LimitHeadBytes Limit = "head_bytes" // bytes of the head
	LimitHeadLines Limit = "head_lines" // lines of the head
	LimitBodyBytes Limit = "body_bytes" // bytes of the body
	LimitMemory    Limit = "memory"     // bytes that the responses of all targets hold together
)

const (
	// maxHeadBytes is the maximum size of a response's head. A read that begins below the limit may
	// exceed it by readBufferBytes.
	maxHeadBytes = 32 << 10
	// maxHeadLines is the maximum number of lines of a response's head. A decoded header line takes
	// about 150 bytes, however short it is. The last read is not counted, as it may hold a part of the body.
	maxHeadLines = 256
)

// LimitError means that the reading of a response ended because it exceeded a limit.
type LimitError struct {
	Limit Limit
	// Received is what was received of the response when its reading ended, in the unit of the limit; for a body
	// that announced more than its limit, the length announced.
	Received int64
	Max      int64
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("the response exceeds the limit %s: %d of %d", e.Limit, e.Received, e.Max)
}

// largePartBytes is the size from which a part of a response is reported as large.
const largePartBytes = 1 << 20

// meter counts what is received of each part of a response, and limits the head.
type meter struct {
	conn     net.Conn
	part     Part
	received int64 // bytes of the part
	// lines is the number of lines of the part before the last read, lastLines that in the last read.
	lines, lastLines int64
	// exceeded is the limit that ended the head. Parsers may return another error for the line that it cut.
	exceeded *LimitError
	// onLarge is called once a part has become large; nil: not called.
	onLarge func(Part, int64)
}

// begin starts the count of a part.
func (m *meter) begin(p Part) { m.part, m.received, m.lines, m.lastLines = p, 0, 0, 0 }

// Read reads from the connection. A further read of a head means that all bytes read before belong to it.
func (m *meter) Read(b []byte) (int, error) {
	if m.part == PartHead {
		m.lines += m.lastLines
		if m.exceeded = m.checkHead(); m.exceeded != nil {
			return 0, m.exceeded
		}
	}
	n, err := m.conn.Read(b)
	if m.part == PartHead {
		m.lastLines = int64(bytes.Count(b[:n], []byte{'\n'}))
	}
	before := m.received
	m.received += int64(n)
	if m.onLarge != nil && before < largePartBytes && m.received >= largePartBytes {
		m.onLarge(m.part, m.received)
	}
	return n, err
}

// checkHead returns the limit that the head exceeds; nil: none.
func (m *meter) checkHead() *LimitError {
	switch {
	case m.received >= maxHeadBytes:
		return &LimitError{Limit: LimitHeadBytes, Received: m.received, Max: maxHeadBytes}
	case m.lines > maxHeadLines:
		return &LimitError{Limit: LimitHeadLines, Received: m.lines, Max: maxHeadLines}
	}
	return nil
}
