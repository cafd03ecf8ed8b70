package standin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/unit"
)

const second = unit.Duration(time.Second)

func TestSameSeedSameDraws(t *testing.T) {
	is := is.New(t)
	l := Latency{Mean: second, Sigma: 0.5, Straggle: 0.1, StraggleFactor: 10}
	a, b := NewRand(7), NewRand(7)
	for range 100 {
		a.Chance(0) // a disabled fault must not shift the sequence
		is.Equal(a.Draw(l), b.Draw(l))
	}
	is.True(NewRand(7).Draw(l) != NewRand(8).Draw(l))
}

func TestDrawsHaveTheirMean(t *testing.T) {
	is := is.New(t)
	const draws = 20000
	var sum time.Duration
	d := NewRand(1)
	for range draws {
		sum += d.Draw(Latency{Mean: second, Sigma: 0.5, Straggle: 0.1, StraggleFactor: 11})
	}
	mean := (sum / draws).Seconds()
	is.True(mean > 1.9 && mean < 2.1) // 0.9*1 + 0.1*11
}

func TestLatencyValidates(t *testing.T) {
	is := is.New(t)
	is.NoErr(Latency{}.Validate())
	for _, l := range []Latency{{Mean: -1}, {Sigma: -1}, {Straggle: 2, StraggleFactor: 2}, {Straggle: 0.5}} {
		is.True(l.Validate() != nil)
	}
}

func TestTransport(t *testing.T) {
	is := is.New(t)
	var tr Transport
	c := http.Client{Transport: &tr}
	tr.Handle("cut", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	_, err := c.Get("http://cut/")
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	_, err = c.Get("http://nobody/")
	is.True(err != nil)
	tr.Handle("slow", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
	}))
	ctx, cancel := context.WithCancel(t.Context())
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://slow/", nil)
	cancel()
	_, err = c.Do(r)
	is.True(errors.Is(err, context.Canceled))
}
