package peer

import (
	"io"
	"net"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"storj.io/drpc/drpcwire"

	"rhubarbwood.example/rhubarbwood/internal/membudget"
)

// endlessPackets returns the start of packets that don't end within a message: one frame of almost the largest
// message, and a packet of many frames.
func endlessPackets() map[string]func(io.Writer) {
	block := make([]byte, 64<<10)
	return map[string]func(io.Writer){
		"one frame": func(w io.Writer) {
			frame := drpcwire.AppendFrame(nil, drpcwire.Frame{Data: make([]byte, maxMessageBytes), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke})
			_, _ = w.Write(frame[:len(frame)-1])
		},
		"many frames": func(w io.Writer) {
			frame := drpcwire.AppendFrame(nil, drpcwire.Frame{Data: block, ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke})
			for range maxMessageBytes/len(block) - 1 {
				if _, err := w.Write(frame); err != nil {
					return
				}
			}
		},
	}
}

// peerMemory returns the metrics of the peers' budget: the bytes held, the most, and the limit.
func peerMemory(t *testing.T, reg *prometheus.Registry) (held, peak, most float64) {
	t.Helper()
	families, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if len(m.GetLabel()) == 0 || m.GetLabel()[0].GetValue() != "peers" {
				continue
			}
			switch f.GetName() {
			case "rhubarbwood_memory_message_bytes":
				held = m.GetGauge().GetValue()
			case "rhubarbwood_memory_message_peak_bytes":
				peak = m.GetGauge().GetValue()
			case "rhubarbwood_memory_message_max_bytes":
				most = m.GetGauge().GetValue()
			}
		}
	}
	return held, peak, most
}

// Dozens of connections whose messages don't end held up to twice the largest message each.
func TestMessagesOfManyPeersAreLimitedTogether(t *testing.T) {
	for name, send := range endlessPackets() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			reg := prometheus.NewRegistry()
			s := serve(t, newRelay(), WithMemory(membudget.New(membudget.Config{LimitMB: 128}, reg).Peers))
			p := pool(t)
			var wg sync.WaitGroup
			var conns []net.Conn
			for range 40 {
				c, err := net.Dial("tcp", s.Addr())
				is.NoErr(err)
				conns = append(conns, c)
				wg.Go(func() { send(c) })
			}
			for range 20 {
				is.NoErr(reserve(t.Context(), p, s.Addr(), "now"))
			}
			wg.Wait()
			_, peak, most := peerMemory(t, reg)
			is.True(peak <= most)
			is.True(peak > most/2) // without the limit they would hold more
			for _, c := range conns {
				_ = c.Close()
			}
			is.NoErr(reserve(t.Context(), p, s.Addr(), "now"))
		})
	}
}

// A peer that answers without end must fail its calls, and not those to other hosts.
func TestEndlessRepliesOfAPeerAreLimited(t *testing.T) {
	for name, send := range endlessPackets() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = ln.Close() }()
			go func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					go func() {
						send(c)
						_, _ = io.Copy(io.Discard, c) // until the other side closes the connection
						_ = c.Close()
					}()
				}
			}()
			reg := prometheus.NewRegistry()
			p := pool(t, WithMemory(membudget.New(membudget.Config{LimitMB: 64}, reg).Peers))
			s := serve(t, newRelay())
			var wg sync.WaitGroup
			for range 20 {
				wg.Go(func() { is.True(reserve(t.Context(), p, ln.Addr().String(), "now") != nil) })
				wg.Go(func() { is.NoErr(reserve(t.Context(), p, s.Addr(), "now")) })
			}
			wg.Wait()
			_, peak, most := peerMemory(t, reg)
			is.True(peak <= most)
		})
	}
}

// The buffers of a connection are charged for its largest message until it is closed, and messages of a stream don't
// add up.
func TestMessagesOfAConnectionAreChargedOnce(t *testing.T) {
	is := is.New(t)
	reg := prometheus.NewRegistry()
	s := serve(t, newRelay(), WithMemory(membudget.New(membudget.Config{LimitMB: 64}, reg).Peers))
	p := NewPool()
	const size = 1 << 20
	for range 20 {
		is.NoErr(reserve(t.Context(), p, s.Addr(), string(make([]byte, size))))
	}
	held, peak, _ := peerMemory(t, reg)
	is.True(held >= bufferFactor*size)
	is.True(peak < 2*bufferFactor*size)
	is.NoErr(p.Stop(t.Context()))
	is.NoErr(s.Stop(t.Context()))
	held, _, _ = peerMemory(t, reg)
	is.Equal(held, 0.0)
}
