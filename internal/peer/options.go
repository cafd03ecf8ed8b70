package peer

import (
	"time"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"rhubarbwood.example/rhubarbwood/internal/membudget"
	"rhubarbwood.example/rhubarbwood/internal/netdial"
)

// maxMessageBytes is the largest message between hosts. The receiver of a
// larger one closes the connection.
const maxMessageBytes = 16 << 20

// softCancelGrace bounds how long a cancelled call waits to send the
// cancellation to its peer before it closes the connection instead. It must not
// be 0: drpc would then write the cancellation synchronously, which blocks
// forever if the peer is frozen and the socket buffer is full.
const softCancelGrace = 5 * time.Millisecond

// Option configures a Server or a Pool.
type Option func(*options)

type options struct {
	metrics         *Metrics
	memory          *membudget.Budget // nil: no limit
	dial            netdial.Func
	hardCancel      bool          // a cancelled call closes its connection; for benchmarks
	softCancelGrace time.Duration // the constant of this name, or longer in tests
}

// WithDial makes a Pool open its connections with dial. Tests use it for
// in-memory connections.
func WithDial(dial netdial.Func) Option { return func(o *options) { o.dial = dial } }

// WithMemory charges what the connections' messages hold to a budget. A connection whose message exceeds it is closed.
func WithMemory(b *membudget.Budget) Option { return func(o *options) { o.memory = b } }

// WithMetrics counts calls, bytes and connections in m.
func WithMetrics(m *Metrics) Option { return func(o *options) { o.metrics = m } }

func newOptions(opts []Option) options {
	o := options{softCancelGrace: softCancelGrace, dial: netdial.New(dialTimeout).DialContext}
	for _, set := range opts {
		set(&o)
	}
	if o.metrics == nil {
		o.metrics = NewMetrics(nil)
	}
	return o
}

// managerOptions returns the drpc options of a connection. On the client a
// cancelled call sends the cancellation and keeps the connection
// (docs/design/membership.md has the figures); the server keeps the library's
// default, so that stopping it closes the connections.
func (o options) managerOptions(side string) drpcmanager.Options {
	return drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		SoftCancel:      side == sideClient && !o.hardCancel,
		SoftCancelGrace: o.softCancelGrace,
	}
}

// FromMicros converts a duration that a message carries in microseconds.
func FromMicros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
