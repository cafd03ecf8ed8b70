package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
)

func TestSearchAnswersEveryShard(t *testing.T) {
	for _, protocol := range []string{protocolHTTP1, protocolH2C} {
		t.Run(protocol, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(20, 3, rules(func(r *catalog.Rules) { r.Protocol = protocol }))
				defer f.close()
				got, err := f.search(t.Context(), batch(20, time.Second))
				is.NoErr(err)
				is.Equal(len(got), 20)
				for _, r := range got {
					is.Equal(r.Outcome, outcome.Done)
					is.Equal(len(r.Rows), 1)
					is.Equal(r.Attempts, 1)
				}
				for _, target := range f.targets {
					is.True(target.maxOpen <= 2)
				}
			})
		})
	}
}

func TestSearchCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(20, 3)
		defer f.close()
		for _, target := range f.targets {
			target.delay = time.Hour
		}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Millisecond, cancel)
		begin := time.Now()
		got, err := f.search(ctx, batch(20, time.Second))
		is.True(err != nil)
		is.Equal(len(got), 0)
		is.Equal(time.Since(begin), time.Millisecond)
	})
}
