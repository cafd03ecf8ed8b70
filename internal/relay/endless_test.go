package relay

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

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

// endlessWriteBytes is more than one write of an endless answer, which the network takes at once.
const endlessWriteBytes = 128 << 10
