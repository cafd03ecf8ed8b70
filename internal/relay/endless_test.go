package relay

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/membudget"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

// endlessBytes is how much an endless answer sends at most, so that a test of code without limits ends.
const endlessBytes = 32 << 20

// sendEndless answers with a response that has no end until the connection is closed. sent receives how much it could send.
func sendEndless(e standin.EndlessResponse, sent chan<- int) func(http.ResponseWriter, *http.Request, targetapi.Answer) {
	return func(w http.ResponseWriter, _ *http.Request, _ targetapi.Answer) {
		c, r, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		sent <- e.Send(c, endlessBytes)
		_, _ = r.ReadByte() // returns when the relay has closed the connection
		_ = c.Close()
	}
}

// A head without an end was read up to the limit of the HTTP library, 10 MB, and the answers of many targets had no
// limit together.
func TestEndlessAnswersAreGivenUpAtOnce(t *testing.T) {
	for _, e := range standin.EndlessResponses("") {
		t.Run(e.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(8, 2, smallAnswers)
				defer f.close()
				memory := membudget.NewBudget("targets", 4<<20)
				f.relay.UseMemory(memory)
				sent := make(chan int, 100)
				f.targets[0].serve = sendEndless(e, sent)
				got, err := f.search(context.Background(), batch(8, time.Second))
				is.NoErr(err)
				for _, r := range got {
					is.Equal(r.Outcome, outcome.Done)       // the other target answers
					is.True(r.after < 100*time.Millisecond) // with the queue at the other target
				}
				is.True(f.targets[0].requestCount() > 0)
				synctest.Wait()
				is.True(memory.Stats().Peak <= memory.Stats().Max)
				is.Equal(memory.Stats().Held, int64(0)) // all is released
				for range len(sent) {
					n := <-sent
					is.True(n < endlessBytes)
					is.True(!e.InHead || n < 2*maxResponseHeaderBytes+endlessWriteBytes)
				}
			})
		})
	}
}

// Over HTTP/2 the library holds what was received until it is read: up to 4 MB for each response.
func TestUnreadBytesOverHTTP2AreLimited(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var sent atomic.Int64
	server := &http.Server{Protocols: new(http.Protocols), Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for block := make([]byte, 16<<10); ; sent.Add(int64(len(block))) {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	})}
	server.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = server.Serve(ln) }()
	defer func() { _ = server.Close() }()

	r := &Relay{cfg: DefaultConfig(), dial: (&net.Dialer{}).DialContext}
	transport := r.newTransport(catalog.Rules{Protocol: protocolH2C}, &target{})
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+ln.Addr().String(), nil)
	is.NoErr(err)
	resp, err := transport.RoundTrip(req)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	before := int64(-1)
	for sent.Load() != before { // until the window is full
		before = sent.Load()
		time.Sleep(100 * time.Millisecond)
	}
	is.True(before <= 2*maxUnreadStreamBytes)
}

// endlessWriteBytes is more than one write of an endless answer, which the network takes at once.
const endlessWriteBytes = 128 << 10
