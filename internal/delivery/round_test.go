package delivery

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/objstore/objstoretest"
)

// cutStore accepts a number of writes and rejects the rest.
type cutStore struct {
	objstore.Store
	left int
}

func (s *cutStore) Put(ctx context.Context, kind, name string, version uint64, value []byte) (objstore.Object, error) {
	if s.left--; s.left < 0 {
		return objstore.Object{}, &objstore.Unavailable{Cause: errors.New("write limit of the test reached")}
	}
	return s.Store.Put(ctx, kind, name, version, value)
}

func (s *cutStore) Delete(ctx context.Context, kind, name string, version uint64) error {
	if s.left--; s.left < 0 {
		return &objstore.Unavailable{Cause: errors.New("write limit of the test reached")}
	}
	return s.Store.Delete(ctx, kind, name, version)
}

// Interrupts a round, which aggregates windows and merges aggregates, after
// each of its writes. The report must be complete each time, and the next round
// must have the same result as an uninterrupted one.
func TestReportsWhileRoundIsInterrupted(t *testing.T) {
	is := is.New(t)
	ended := false
	for writes := 0; !ended; writes++ {
		p := objstoretest.New()
		now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
		p.SetClock(func() time.Time { return now })
		store := &cutStore{Store: p.Client(), left: 1 << 20}
		cfg := DefaultConfig()
		cfg.WritesPerSecond = 1e9 // removals are not rate limited in this test
		c := NewCompactor(cfg, store, view{f: &fleet{}}, nil, event.Discard(), nil)
		const minutes = 17 // the last three are left for the round that is interrupted
		for minute := range uint64(minutes) {
			for _, host := range []string{"h0", "h1"} {
				w := newWindow(Incarnation{Host: host, Number: 1})
				w.Number, w.Start, w.End, w.Final = minute, now, now.Add(time.Minute), minute == minutes-1
				w.Rows.record(delivery(host, 0), cfg.MaxKeys)
				value, err := encodeWindow(w)
				is.NoErr(err)
				_, err = p.Client().Put(t.Context(), objstore.KindWindow, w.name(), 0, value)
				is.NoErr(err)
			}
			now = now.Add(time.Minute)
			if minute < minutes-3 {
				is.NoErr(c.round(t.Context(), now.Add(slotGrace), 0))
			}
		}
		checkReport := func() {
			r, err := NewReporter(cfg, p.Client(), view{f: &fleet{}}, event.Discard()).Report(t.Context(), Query{})
			is.NoErr(err)
			is.True(r.Completeness.Complete())
			is.Equal(r.Total(), uint64(2*minutes))
		}
		store.left = writes
		ended = c.round(t.Context(), now.Add(slotGrace), 0) == nil
		checkReport()
		store.left = 1 << 20
		is.NoErr(c.round(t.Context(), now.Add(slotGrace), 0))
		checkReport()
		is.Equal(len(p.Objects(objstore.KindWindow)), 0)
		is.Equal(len(p.Objects(levels[0].kind)), minutes-5)
		is.Equal(len(p.Objects(levels[1].kind)), 1)
		is.Equal(len(p.Objects(kindIndex)), minutes-5+1)
	}
}
