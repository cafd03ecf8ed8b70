package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// ConnFault is a fault that a proxy injects into its connections.
type ConnFault uint8

// Connection faults.
const (
	NoConnFault    ConnFault = iota
	DelayChunks              // every chunk of bytes is delayed by chunkDelay
	ResetConns               // open connections are reset, new ones right after accepting
	DropToServer             // bytes to the server are dropped
	DropToClient             // bytes to the client are dropped
	DropBoth                 // bytes are dropped in both directions, and nothing is closed
	connFaultCount           // number of faults
)

// chunkDelay is the delay of a chunk: several times the duration of a request, and a considerable
// part of the latency objective.
const chunkDelay = 60 * time.Millisecond

// chunkBytes is the size of the copy buffer.
const chunkBytes = 16 << 10

// proxy forwards connections to one address and injects faults.
type proxy struct {
	upstream      string
	listenAddress string

	mu     sync.Mutex
	ln     net.Listener // nil: new connections are refused
	fault  ConnFault
	conns  map[net.Conn]bool
	closed bool
}

// newProxy returns a proxy to an address, on a free port of the IP address on. If the proxy is to
// refuse connections, no other site may use that IP address.
func newProxy(on, to string) (*proxy, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(on, "0"))
	if err != nil {
		return nil, Error.New("listen for a proxy: %w", err)
	}
	p := &proxy{upstream: to, listenAddress: ln.Addr().String(), ln: ln, conns: map[net.Conn]bool{}}
	go p.serve(ln)
	return p, nil
}

func (p *proxy) address() string { return p.listenAddress }

// setFault replaces the current fault.
func (p *proxy) setFault(t ConnFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = t
	if t == ResetConns {
		p.resetAllLocked()
	}
}

// refuseConnections resets all connections and refuses new ones, as if the server had ended.
func (p *proxy) refuseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopListeningLocked() // first, so that no further connection opens
	p.resetAllLocked()
}

// resumeListening reverts refuseConnections on the same address.
func (p *proxy) resumeListening() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.ln != nil { // a target that crashed twice resumes once
		return nil
	}
	ln, err := net.Listen("tcp", p.listenAddress)
	if err != nil {
		return Error.New("resume listening for a proxy: %w", err)
	}
	p.ln = ln
	go p.serve(ln)
	return nil
}

// stopListeningLocked refuses new connections. p.mu must be held.
func (p *proxy) stopListeningLocked() {
	if p.ln != nil {
		_ = p.ln.Close() // only fails if already closed
		p.ln = nil
	}
}

func (p *proxy) currentFault() ConnFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// resetAllLocked resets all connections. p.mu must be held.
func (p *proxy) resetAllLocked() {
	for c := range p.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // makes the close a reset
	}
	_ = c.Close() // may be closed already
}

// close stops the proxy and resets its connections.
func (p *proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopListeningLocked()
	p.closed = true
	p.resetAllLocked()
}

func (p *proxy) serve(ln net.Listener) {
	for {
		client, err := ln.Accept()
		if err != nil {
			return // closed
		}
		go p.forward(client)
	}
}

// forward forwards one connection until either side ends it. If the upstream is unreachable, it
// resets the client's connection.
func (p *proxy) forward(client net.Conn) {
	if p.currentFault() == ResetConns || !p.track(client) {
		reset(client)
		return
	}
	defer p.untrack(client)
	server, err := net.Dial("tcp", p.upstream)
	if err != nil || !p.track(server) {
		reset(client)
		return
	}
	defer p.untrack(server)
	var both sync.WaitGroup
	both.Go(func() { p.copy(server, client, DropToServer) })
	both.Go(func() { p.copy(client, server, DropToClient) })
	both.Wait()
}

// track registers an open connection. It returns false if the proxy is closed or refuses
// connections.
func (p *proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.ln == nil {
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) untrack(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close() // both directions have ended
}

// copy forwards bytes in one direction. cut is the fault that drops them.
func (p *proxy) copy(to, from net.Conn, cut ConnFault) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		switch t := p.currentFault(); {
		case t == cut || t == DropBoth:
			n = 0
		case t == DelayChunks:
			time.Sleep(chunkDelay)
		}
		if _, werr := to.Write(buffer[:n]); werr != nil {
			reset(from)
			return
		}
		if err != nil {
			propagateEnd(to, err)
			return
		}
	}
}

// propagateEnd propagates the end of one side to the other: a close as a close, anything else as a
// reset.
func propagateEnd(to net.Conn, err error) {
	if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF {
		_ = tcp.CloseWrite() // the other direction may still be open
		return
	}
	reset(to)
}
