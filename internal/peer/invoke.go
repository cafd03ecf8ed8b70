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
type clientConn struct{ *drpcconn.Conn }

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
	s, ok := stream.(*drpcstream.Stream)
	if !ok {
		return Error.New("unexpected stream type %T", stream)
	}
	if err := s.RawWrite(drpcwire.KindMessage, message); err != nil {
		return err
	}
	return s.CloseSend()
}
