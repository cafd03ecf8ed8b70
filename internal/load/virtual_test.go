package load

import (
	"context"
	"net"
	"testing"
	"testing/synctest"

	"rhubarbwood.example/rhubarbwood/internal/standin"
)

// memory is the network of a site in virtual time: what is measured comes from
// the decisions alone, whatever else the machine does.
type memory struct{ network *standin.Network }

func (m memory) listen(id string) (net.Listener, error) { return m.network.Listen(id + ":80") }

func (m memory) dial(ctx context.Context, network, address string) (net.Conn, error) {
	return m.network.Dial(ctx, network, address)
}

// virtually returns a measurer in virtual time.
func virtually(t *testing.T) measurer {
	return func(_ context.Context, o Options, x trial) (r Report, err error) {
		synctest.Test(t, func(t *testing.T) {
			x.site.network = memory{standin.NewNetwork()}
			r, err = measure(t.Context(), o, x)
			synctest.Wait()
		})
		return r, err
	}
}
