package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Trouble is what a proxy does to the connections that it carries.
type Trouble uint8

// Troubles of connections.
const (
	NoTrouble   Trouble = iota
	Delayed             // every chunk of bytes is held back for delayTime
	Reset               // connections are reset, new ones at once
	CutForth            // bytes to the server are dropped
	CutBack             // bytes to the client are dropped
	Silent              // bytes are dropped both ways, and nothing is closed
	troubleKind         // number of troubles
)

// delayTime is how long a delayed chunk is held back: several times what a request
// takes, and a good part of an objective.
const delayTime = 60 * time.Millisecond

// chunk is the most bytes that a proxy carries at once.
const chunk = 16 << 10

// proxy carries connections to one address and takes troubles.
type proxy struct {
	to string
	on string // address

	mu      sync.Mutex
	ln      net.Listener // nil: new connections are refused
	trouble Trouble
	conns   map[net.Conn]bool
	closed  bool
}

// newProxy returns a proxy to an address, on a free port of the loopback. One that is to refuse
// connections must be on an address that is the site's alone.
func newProxy(on, to string) (*proxy, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(on, "0"))
	if err != nil {
		return nil, Error.New("listen for a proxy: %w", err)
	}
	p := &proxy{to: to, on: ln.Addr().String(), ln: ln, conns: map[net.Conn]bool{}}
	go p.serve(ln)
	return p, nil
}

func (p *proxy) address() string { return p.on }

// set puts a trouble in force in place of the one before.
func (p *proxy) set(t Trouble) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trouble = t
	if t == Reset {
		p.resetAll()
	}
}

// refuse resets every connection and refuses new ones, as if the server had ended.
func (p *proxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopListening() // first, so that no connection opens any more
	p.resetAll()
}

// takeAgain ends refuse, at the address of before.
func (p *proxy) takeAgain() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.ln != nil { // a target that crashed twice is taken again once
		return nil
	}
	ln, err := net.Listen("tcp", p.on)
	if err != nil {
		return Error.New("listen again for a proxy: %w", err)
	}
	p.ln = ln
	go p.serve(ln)
	return nil
}

// stopListening refuses new connections. The lock is held.
func (p *proxy) stopListening() {
	if p.ln != nil {
		_ = p.ln.Close() // its error would only say that it is closed
		p.ln = nil
	}
}

func (p *proxy) now() Trouble {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trouble
}

// resetAll resets every connection. The lock is held.
func (p *proxy) resetAll() {
	for c := range p.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // so that the close is a reset
	}
	_ = c.Close() // it may be closed already
}

// close ends the proxy and what it carries.
func (p *proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopListening()
	p.closed = true
	p.resetAll()
}

func (p *proxy) serve(ln net.Listener) {
	for {
		client, err := ln.Accept()
		if err != nil {
			return // closed
		}
		go p.carry(client)
	}
}

// carry carries one connection until either side ends it. A side that can't be
// reached ends the client's connection as well.
func (p *proxy) carry(client net.Conn) {
	if p.now() == Reset || !p.keep(client) {
		reset(client)
		return
	}
	defer p.forget(client)
	server, err := net.Dial("tcp", p.to)
	if err != nil || !p.keep(server) {
		reset(client)
		return
	}
	defer p.forget(server)
	var both sync.WaitGroup
	both.Go(func() { p.copy(server, client, CutForth) })
	both.Go(func() { p.copy(client, server, CutBack) })
	both.Wait()
}

// keep remembers an open connection; false: the proxy is closed.
func (p *proxy) keep(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.ln == nil {
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) forget(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close() // both ways have ended
}

// copy carries bytes one way. cut is the trouble that drops them.
func (p *proxy) copy(to, from net.Conn, cut Trouble) {
	buffer := make([]byte, chunk)
	for {
		n, err := from.Read(buffer)
		switch t := p.now(); {
		case t == cut || t == Silent:
			n = 0
		case t == Delayed:
			time.Sleep(delayTime)
		}
		if _, werr := to.Write(buffer[:n]); werr != nil {
			reset(from)
			return
		}
		if err != nil {
			end(to, err)
			return
		}
	}
}

// end passes the end of one side on to the other: a close as a close, anything
// else as a reset.
func end(to net.Conn, err error) {
	if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF {
		_ = tcp.CloseWrite() // the other way may go on
		return
	}
	reset(to)
}
