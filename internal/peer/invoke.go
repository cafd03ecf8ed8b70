package peer

import (
	"context"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcenc"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

// clientConn is one connection to a peer. Its Invoke replaces drpc's own, which
// fails a call whose reply was received if the connection closes right
// afterwards.
type clientConn struct {
	*drpcconn.Conn
	counted *countedConn
}

// NewStream starts a streaming call.
func (c clientConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	c.counted.endMessage() // what was read of a cancelled call does not belong to this one
	stream, err := c.Conn.NewStream(ctx, rpc, enc)
	if err != nil {
		return nil, err
	}
	return countMessages(stream, c.counted), nil
}

// countedStream records when each message of a connection was received.
type countedStream struct {
	*drpcstream.Stream
	conn *countedConn
}

// countMessages returns the stream with its messages counted at the connection.
func countMessages(stream drpc.Stream, c *countedConn) drpc.Stream {
	s, ok := stream.(*drpcstream.Stream)
	if !ok {
		return stream // drpc has no other type
	}
	return countedStream{s, c}
}

// MsgRecv receives a message.
func (s countedStream) MsgRecv(msg drpc.Message, enc drpc.Encoding) error {
	err := s.Stream.MsgRecv(msg, enc)
	s.conn.endMessage()
	return err
}

// Invoke makes a unary call; it succeeds once the reply is received.
func (c clientConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	message, err := drpcenc.MarshalAppend(in, enc, nil)
	if err != nil {
		return notSent{Error.New("encode %s: %w", rpc, err)}
	}
	stream, err := c.NewStream(ctx, rpc, enc)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }() // the result of the call is known by then
	if err := send(stream, message); err != nil {
		return err
	}
	return stream.MsgRecv(out, enc)
}

// send writes the only message of a call and the end of its stream, in one
// write where drpc allows that.
func send(stream drpc.Stream, message []byte) error {
	s, ok := stream.(countedStream)
	if !ok {
		return Error.New("unexpected stream type %T", stream)
	}
	if err := s.RawWrite(drpcwire.KindMessage, message); err != nil {
		return err
	}
	return s.CloseSend()
}
