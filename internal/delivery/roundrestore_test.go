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

// restoredStore comes back from a copy as an object is removed.
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

// summing is a platform with windows of one host, whose slot is due.
type summing struct {
	*objstoretest.Platform
	now time.Time
}

func newSumming() *summing {
	s := &summing{objstoretest.New(), time.Date(2026, 12, 1, 0, 1, 0, 0, time.UTC)}
	s.SetClock(func() time.Time { return s.now.Add(-30 * time.Second) })
	return s
}

func (s *summing) compactor(store objstore.Store) *Compactor {
	cfg := DefaultConfig()
	cfg.WritesPerSecond = 1e9 // removals are not paced here
	return NewCompactor(cfg, store, view{f: &fleet{}}, nil, event.Discard(), nil)
}

// write writes the window of a number.
func (s *summing) write(t *testing.T, number uint64) {
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

// isWhole reports whether the report has three windows, and says so.
func (s *summing) isWhole(t *testing.T) bool {
	r, err := NewReporter(DefaultConfig(), s.Client(), view{f: &fleet{}}, event.Discard()).Report(t.Context(), Query{})
	if err != nil {
		t.Fatal(err)
	}
	return r.Completeness.Complete() && r.Total() == 3
}

// A sum is lost, and another host sums anew what the copy holds, under the same name. The one that had made the first sum does not go
// by what it remembers of it.
func TestSumIsNotRememberedOverARestore(t *testing.T) {
	is := is.New(t)
	s := newSumming()
	due := s.now.Add(slotGrace)
	first, second := s.compactor(s.Client()), s.compactor(s.Client())
	s.write(t, 0)
	s.write(t, 1)
	older := s.Copy()
	s.write(t, 2)
	is.NoErr(first.round(t.Context(), due, 0))
	is.NoErr(first.round(t.Context(), due, 0)) // it remembers the sum now
	s.Restore(older)
	is.NoErr(second.round(t.Context(), due, 0))
	s.write(t, 2) // again
	is.NoErr(first.round(t.Context(), due, 0))
	is.True(s.isWhole(t))
}

// The platform comes back from a copy without the sum while its windows are removed.
func TestWindowsOutliveARestoreWithinARound(t *testing.T) {
	is := is.New(t)
	s := newSumming()
	due := s.now.Add(slotGrace)
	for number := range uint64(3) {
		s.write(t, number)
	}
	older := s.Copy()
	store := &restoredStore{s.Client(), func() { s.Restore(older) }}
	c := s.compactor(store)
	is.True(c.round(t.Context(), due, 0) != nil)
	is.NoErr(c.round(t.Context(), due, 0))
	is.True(s.isWhole(t))
}
