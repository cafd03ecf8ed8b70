package peer

import (
	"time"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"rhubarbwood.example/rhubarbwood/internal/netdial"
)

// maxMessage is the largest message between hosts, in bytes. The connection
// of a larger one is closed by the receiver.
const maxMessage = 16 << 20

// softCancelGrace bounds how long a cancelled call waits to tell its peer
// before its connection is closed instead. It must not be 0: drpc would then
// write the cancel inline, which blocks for good if the peer is frozen and
// the socket is full.
const softCancelGrace = 5 * time.Millisecond

// Option changes a Server or a Pool.
type Option func(*options)

type options struct {
	metrics    *Metrics
	dial       netdial.Func
	hardCancel bool          // a cancelled call closes its connection; for measurements
	grace      time.Duration // softCancelGrace, longer in tests
}

// WithDial makes a Pool open its connections with dial. Tests use it for connections in
// memory.
func WithDial(dial netdial.Func) Option { return func(o *options) { o.dial = dial } }

// WithMetrics counts calls, bytes and connections in m.
func WithMetrics(m *Metrics) Option { return func(o *options) { o.metrics = m } }

func newOptions(opts []Option) options {
	o := options{grace: softCancelGrace, dial: netdial.New(dialTimeout).DialContext}
	for _, set := range opts {
		set(&o)
	}
	if o.metrics == nil {
		o.metrics = NewMetrics(nil)
	}
	return o
}

// manager returns the drpc options of a connection. A cancelled call tells
// its peer and keeps the connection (docs/design/membership.md has the
// figures); the server keeps the library's default, so that its stop closes.
func (o options) manager(side string) drpcmanager.Options {
	return drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: maxMessage},
		SoftCancel:      side == sideClient && !o.hardCancel,
		SoftCancelGrace: o.grace,
	}
}

// Micros returns a time that a message carries in microseconds.
func Micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
