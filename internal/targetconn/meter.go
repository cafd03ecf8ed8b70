package targetconn

import "net"

// Part is a part of a response.
type Part string

// Parts of a response.
const (
	PartHead Part = "head" // status line and header, those of 1xx responses included
	PartBody Part = "body" // body and trailer
)

// largePartBytes is the size from which a part of a response is reported as large.
const largePartBytes = 1 << 20

// meter counts the bytes that are received of each part of a response.
type meter struct {
	conn     net.Conn
	part     Part
	received int64 // of the part
	// onLarge is called once a part has become large; nil: not called.
	onLarge func(Part, int64)
}

// begin starts the count of a part.
func (m *meter) begin(p Part) { m.part, m.received = p, 0 }

// Read reads from the connection.
func (m *meter) Read(b []byte) (int, error) {
	n, err := m.conn.Read(b)
	before := m.received
	m.received += int64(n)
	if m.onLarge != nil && before < largePartBytes && m.received >= largePartBytes {
		m.onLarge(m.part, m.received)
	}
	return n, err
}
