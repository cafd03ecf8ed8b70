package peer

import (
	"io"
	"net"
	"sync"
	"testing"

	"github.com/matryer/is"
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

// Dozens of connections whose messages don't end held up to twice the largest message each.
func TestMessagesOfManyPeersAreLimitedTogether(t *testing.T) {
	for name, send := range endlessPackets() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			memory := membudget.NewBudget("peers", 16<<20)
			s := serve(t, newRelay(), WithMemory(memory))
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
			stats := memory.Stats()
			is.True(stats.Peak <= stats.Max)
			is.True(stats.Peak > stats.Max/2) // without the limit they would hold more
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
			memory := membudget.NewBudget("peers", 8<<20)
			p := pool(t, WithMemory(memory))
			s := serve(t, newRelay())
			var wg sync.WaitGroup
			for range 20 {
				wg.Go(func() { is.True(reserve(t.Context(), p, ln.Addr().String(), "now") != nil) })
				wg.Go(func() { is.NoErr(reserve(t.Context(), p, s.Addr(), "now")) })
			}
			wg.Wait()
			is.True(memory.Stats().Peak <= memory.Stats().Max)
		})
	}
}

// The buffers of a connection are charged for its largest message until it is closed, and messages of a stream don't
// add up.
func TestMessagesOfAConnectionAreChargedOnce(t *testing.T) {
	is := is.New(t)
	memory := membudget.NewBudget("peers", 8<<20)
	s := serve(t, newRelay(), WithMemory(memory))
	p := NewPool()
	const size = 1 << 20
	for range 20 {
		is.NoErr(reserve(t.Context(), p, s.Addr(), string(make([]byte, size))))
	}
	is.True(memory.Stats().Held >= bufferFactor*size)
	is.True(memory.Stats().Peak < 2*bufferFactor*size)
	is.NoErr(p.Stop(t.Context()))
	is.NoErr(s.Stop(t.Context()))
	is.Equal(memory.Stats().Held, int64(0))
}
