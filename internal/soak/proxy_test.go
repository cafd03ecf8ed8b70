package soak

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// echo starts a server that echoes what it receives.
func echo(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", freePort)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return ln.Addr().String()
}

// A proxy must refuse connections while its server is down, and accept them again on the same
// address afterwards.
func TestProxyRefusesAndTakesAgain(t *testing.T) {
	is := is.New(t)
	p, err := newProxy(ownLoopback(), echo(t))
	is.NoErr(err)
	defer p.close()
	open, err := net.Dial("tcp", p.address())
	is.NoErr(err)
	defer func() { _ = open.Close() }()
	got, err := exchangeWord(open, "word")
	is.NoErr(err)
	is.Equal(got, "word")

	p.refuseConnections()
	_, err = exchangeWord(open, "word")
	is.True(err != nil) // the connection was reset
	_, err = net.Dial("tcp", p.address())
	is.True(errors.Is(err, syscall.ECONNREFUSED))

	is.NoErr(p.resumeListening())
	again, err := net.Dial("tcp", p.address())
	is.NoErr(err)
	defer func() { _ = again.Close() }()
	got, err = exchangeWord(again, "word")
	is.NoErr(err)
	is.Equal(got, "word")
}

// exchangeWord sends a word and returns what is received within 300 ms.
func exchangeWord(c net.Conn, word string) (string, error) {
	_ = c.SetDeadline(time.Now().Add(300 * time.Millisecond))
	if _, err := io.WriteString(c, word); err != nil {
		return "", err
	}
	answer := make([]byte, len(word))
	n, err := io.ReadFull(c, answer)
	return string(answer[:n]), err
}

func TestTroublesOfAConnection(t *testing.T) {
	for trouble, answered := range map[ConnFault]bool{
		NoConnFault: true, DelayChunks: true, ResetConns: false, DropToServer: false, DropToClient: false, DropBoth: false,
	} {
		is := is.New(t)
		p, err := newProxy("127.0.0.1", echo(t))
		is.NoErr(err)
		c, err := net.Dial("tcp", p.address())
		is.NoErr(err)
		got, err := exchangeWord(c, "one")
		is.NoErr(err)
		is.Equal(got, "one")
		p.setFault(trouble)
		_, err = exchangeWord(c, "two")
		is.Equal(err == nil, answered)
		p.setFault(NoConnFault)
		c, err = net.Dial("tcp", p.address())
		is.NoErr(err)
		got, err = exchangeWord(c, "three")
		is.NoErr(err)
		is.Equal(got, "three")
		p.close()
	}
}
