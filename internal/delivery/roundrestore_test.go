package delivery

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/objstore/objstoretest"
)

// restoredStore runs restore at the next Delete, to simulate a restore of the
// platform during a removal.
type restoredStore struct {
	objstore.Store
	restore func()
}

func (s *restoredStore) Delete(ctx context.Context, kind, name string, version uint64) error {
	if s.restore != nil {
		s.restore()
		s.restore = nil
	}
	return s.Store.Delete(ctx, kind, name, version)
}

// compactionPlatform is a platform with windows of one host in a slot that is
// due for compaction.
type compactionPlatform struct {
	*objstoretest.Platform
	now time.Time
}

func newCompactionPlatform() *compactionPlatform {
	s := &compactionPlatform{objstoretest.New(), time.Date(2026, 12, 1, 0, 1, 0, 0, time.UTC)}
	s.SetClock(func() time.Time { return s.now.Add(-30 * time.Second) })
	return s
}

func (s *compactionPlatform) compactor(store objstore.Store) *Compactor {
	cfg := DefaultConfig()
	cfg.WritesPerSecond = 1e9 // removals are not rate limited in this test
	return NewCompactor(cfg, store, view{f: &fleet{}}, nil, event.Discard(), nil)
}

// writeWindow writes the window with the given number.
func (s *compactionPlatform) writeWindow(t *testing.T, number uint64) {
	w := newWindow(Incarnation{Host: "h", Number: 1})
	w.Number, w.Start, w.End, w.Final = number, s.now.Add(-time.Minute), s.now, number == 2
	w.Rows.record(delivery("h", 0), DefaultConfig().MaxKeys)
	value, err := encodeWindow(w)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Client().Put(t.Context(), objstore.KindWindow, w.name(), 0, value); err != nil {
		t.Fatal(err)
	}
}

// reportIsComplete reports whether the report is complete and contains the
// deliveries of three windows.
func (s *compactionPlatform) reportIsComplete(t *testing.T) bool {
	r, err := NewReporter(DefaultConfig(), s.Client(), view{f: &fleet{}}, event.Discard()).Report(t.Context(), Query{})
	if err != nil {
		t.Fatal(err)
	}
	return r.Completeness.Complete() && r.Total() == 3
}

// A restore loses an aggregate, and another host aggregates the restored
// windows again under the same name. The host that wrote the first aggregate
// must not use its cached index.
func TestCachedAggregateIsDroppedAfterRestore(t *testing.T) {
	is := is.New(t)
	s := newCompactionPlatform()
	due := s.now.Add(slotGrace)
	first, second := s.compactor(s.Client()), s.compactor(s.Client())
	s.writeWindow(t, 0)
	s.writeWindow(t, 1)
	older := s.Backup()
	s.writeWindow(t, 2)
	is.NoErr(first.round(t.Context(), due, 0))
	is.NoErr(first.round(t.Context(), due, 0)) // caches the index of the aggregate
	s.Restore(older)
	is.NoErr(second.round(t.Context(), due, 0))
	s.writeWindow(t, 2) // written again after the restore
	is.NoErr(first.round(t.Context(), due, 0))
	is.True(s.reportIsComplete(t))
}

// The platform is restored from a copy that lacks the aggregate while its
// windows are being removed.
func TestWindowsSurviveRestoreDuringRound(t *testing.T) {
	is := is.New(t)
	s := newCompactionPlatform()
	due := s.now.Add(slotGrace)
	for number := range uint64(3) {
		s.writeWindow(t, number)
	}
	older := s.Backup()
	store := &restoredStore{s.Client(), func() { s.Restore(older) }}
	c := s.compactor(store)
	is.True(c.round(t.Context(), due, 0) != nil)
	is.NoErr(c.round(t.Context(), due, 0))
	is.True(s.reportIsComplete(t))
}
