package load

import (
	"context"
	"net"
	"testing"
	"testing/synctest"

	"rhubarbwood.example/rhubarbwood/internal/standin"
)

// memoryNetwork is an in-memory network for sites in virtual time. Results then
// don't depend on other load on the machine.
type memoryNetwork struct{ network *standin.Network }

func (m memoryNetwork) listen(id string) (net.Listener, error) { return m.network.Listen(id + ":80") }

func (m memoryNetwork) dial(ctx context.Context, network, address string) (net.Conn, error) {
	return m.network.Dial(ctx, network, address)
}

// virtualMeasure returns a measureFunc that runs in virtual time over an
// in-memory network.
func virtualMeasure(t *testing.T) measureFunc {
	return func(_ context.Context, o Options, x trial) (r Report, err error) {
		synctest.Test(t, func(t *testing.T) {
			x.site.network = memoryNetwork{standin.NewNetwork()}
			r, err = measure(t.Context(), o, x)
			synctest.Wait()
		})
		return r, err
	}
}
