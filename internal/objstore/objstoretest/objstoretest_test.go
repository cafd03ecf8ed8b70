package objstoretest

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/revision"
)

func TestFaultsOfWrites(t *testing.T) {
	is := is.New(t)
	p := New()
	c := p.Client()
	var unanswered *objstore.Unanswered
	var unavailable *objstore.Unavailable
	var conflict *objstore.Conflict

	c.LoseNextAnswers(1)
	_, err := c.Put(t.Context(), "k", "a", 0, []byte("1"))
	is.True(errors.As(err, &unanswered))
	is.Equal(len(p.Objects("k")), 1) // applied

	c.LoseNextRequests(1)
	_, err = c.Put(t.Context(), "k", "b", 0, []byte("1"))
	is.True(errors.As(err, &unanswered))
	is.Equal(len(p.Objects("k")), 1) // not applied

	c.DelayNextWrites(1)
	_, err = c.Put(t.Context(), "k", "b", 0, []byte("late"))
	is.True(errors.As(err, &unanswered))
	is.Equal(len(p.Objects("k")), 1)
	p.ApplyDelayedWrites()
	is.Equal(len(p.Objects("k")), 2) // applied late

	_, err = c.Put(t.Context(), "k", "b", 0, []byte("2"))
	is.True(errors.As(err, &conflict))
	is.Equal(string(conflict.Current.Value), "late")

	c.SetDown(true)
	_, err = c.Get(t.Context(), "k", "b")
	is.True(errors.As(err, &unavailable))
	_, err = p.Client().Get(t.Context(), "k", "b")
	is.NoErr(err) // other clients are still connected
}

func TestWatchWakesAndTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := New()
		c := p.Client()
		time.AfterFunc(time.Second, func() { _, _ = p.Client().Put(t.Context(), "k", "a", 0, nil) })
		l, err := c.Watch(t.Context(), revision.Revision{}, time.Minute, "k")
		is.NoErr(err)
		is.Equal(len(l.Objects), 1)
		start := time.Now()
		l, err = c.Watch(t.Context(), l.At(), time.Minute, "k")
		is.NoErr(err)
		is.Equal(len(l.Objects), 0)
		is.Equal(time.Since(start), time.Minute)
		p.Compact()
		_, err = c.Watch(t.Context(), revision.Revision{}, time.Minute, "k")
		is.True(errors.Is(err, objstore.ErrCompacted))
	})
}
