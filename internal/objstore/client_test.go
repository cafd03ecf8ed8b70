package objstore

import (
	"encoding/json"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/revision"
)

func TestVersionsCountTheChangesOfAnObject(t *testing.T) {
	is := is.New(t)
	f := newFake()
	f.now = time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)
	c := New(f)
	o, err := c.Put(t.Context(), "k", "a", 0, []byte(`{"n":1}`))
	is.NoErr(err)
	is.Equal(o.Version, uint64(1))
	f.now = f.now.Add(time.Minute)
	_, err = c.Put(t.Context(), "k", "b", 0, []byte(`{}`))
	is.NoErr(err)
	o, err = c.Put(t.Context(), "k", "a", 1, []byte(`{"n":2}`))
	is.NoErr(err)
	is.Equal(o.Version, uint64(2))
	is.Equal(o.Revision, uint64(3))
	is.Equal(string(o.Value), `{"n":2}`)
	is.Equal(o.Changed.Sub(o.Created), time.Minute)
	is.True(!slices.Contains(f.calls, "get")) // the revision was cached
}

func TestWriteOfAnUncachedVersionReadsItFirst(t *testing.T) {
	is := is.New(t)
	f := newFake()
	_, err := New(f).Put(t.Context(), "k", "a", 0, []byte(`1`))
	is.NoErr(err)
	other := New(f)
	o, err := other.Put(t.Context(), "k", "a", 1, []byte(`2`))
	is.NoErr(err)
	is.Equal(o.Version, uint64(2))
	is.True(slices.Contains(f.calls, "get"))
}

func TestConflictContainsTheCurrentObject(t *testing.T) {
	is := is.New(t)
	f := newFake()
	c := New(f)
	_, err := c.Put(t.Context(), "k", "a", 0, []byte(`1`))
	is.NoErr(err)
	var conflict *Conflict
	_, err = New(f).Put(t.Context(), "k", "a", 0, []byte(`2`))
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Current.Version, uint64(1))
	is.Equal(string(conflict.Current.Value), `1`)

	_, err = New(f).Put(t.Context(), "k", "a", 1, []byte(`2`))
	is.NoErr(err)
	_, err = c.Put(t.Context(), "k", "a", 1, []byte(`3`)) // its cached revision is outdated
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Current.Version, uint64(2))

	_, err = c.Put(t.Context(), "k", "none", 4, []byte(`3`))
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Current.Version, uint64(0))
}

func TestDeletedObjects(t *testing.T) {
	is := is.New(t)
	f := newFake()
	c := New(f)
	_, err := c.Put(t.Context(), "k", "a", 0, []byte(`1`))
	is.NoErr(err)
	is.NoErr(c.Delete(t.Context(), "k", "a", 1))
	is.True(errors.Is(c.Delete(t.Context(), "k", "a", 1), ErrNotFound))
	l, err := c.Watch(t.Context(), revision.Revision{Number: 1}, 0, "k")
	is.NoErr(err)
	is.Equal(len(l.Objects), 1)
	is.True(l.Objects[0].Deleted)
	is.Equal(l.Objects[0].Version, uint64(2))
	is.Equal(len(l.Objects[0].Value), 0)
}

func TestListsAndWatchesOfSeveralKinds(t *testing.T) {
	is := is.New(t)
	f := newFake()
	f.pageSize = 1
	c := New(f)
	for _, name := range []string{"a", "b", "c"} {
		_, err := c.Put(t.Context(), "k", name, 0, []byte(`1`))
		is.NoErr(err)
	}
	_, err := c.Put(t.Context(), "j", "a", 0, []byte(`1`))
	is.NoErr(err)
	l, err := c.List(t.Context(), "k", "j")
	is.NoErr(err)
	is.Equal(len(l.Objects), 4)
	is.Equal(l.Revision, uint64(4))
	l, err = c.Watch(t.Context(), revision.Revision{Number: 2}, time.Second, "k", "j")
	is.NoErr(err)
	is.Equal(len(l.Objects), 2)
	is.Equal(l.Revision, uint64(4))
}

// TestListDuringARestoreFails restores the platform from an older copy after the first of two kinds was listed. The kinds
// are not consistent then, so the list must fail.
func TestListDuringARestoreFails(t *testing.T) {
	is := is.New(t)
	f := newFake()
	c := New(f)
	for _, kind := range []string{"k", "j"} {
		_, err := c.Put(t.Context(), kind, "a", 0, []byte(`1`))
		is.NoErr(err)
	}
	f.afterList = func() { f.era++ }
	_, err := c.List(t.Context(), "k", "j")
	is.True(errors.Is(err, ErrCompacted))
	f.afterList = nil
	l, err := c.List(t.Context(), "k", "j")
	is.NoErr(err)
	is.Equal(l.At().Era, f.era)
}

func TestRecordWithoutAnEnvelopeIsAtVersionOne(t *testing.T) {
	is := is.New(t)
	f := newFake()
	f.set("k", "a", json.RawMessage(`{"by":"hand"}`))
	c := New(f)
	o, err := c.Get(t.Context(), "k", "a")
	is.NoErr(err)
	is.Equal(o.Version, uint64(1))
	is.Equal(string(o.Value), `{"by":"hand"}`)
	o, err = c.Put(t.Context(), "k", "a", 1, []byte(`{}`))
	is.NoErr(err)
	is.Equal(o.Version, uint64(2))
}

func TestOversizedValueIsNotSent(t *testing.T) {
	is := is.New(t)
	f := newFake()
	_, err := New(f).Put(t.Context(), "k", "a", 0, make([]byte, MaxValue+1))
	is.Equal(resultOf(err), resultUnavailable)
	is.Equal(len(f.calls), 0)
}

// TestConditionalWriteDoesNotGoByARevisionOfAnEarlierEra guards against a lost update: after a restore the platform may
// assign a cached revision again, to another state of the object. A write conditional on it would overwrite that state.
func TestConditionalWriteDoesNotGoByARevisionOfAnEarlierEra(t *testing.T) {
	is := is.New(t)
	f := newFake()
	f.era = 1
	c, other := New(f), New(f)
	o, err := c.Put(t.Context(), "k", "a", 0, []byte(`"first"`))
	is.NoErr(err)

	*f = *newFake() // the platform was restored from a copy without the object
	f.era = 2
	_, err = other.Put(t.Context(), "k", "a", 0, []byte(`"other"`)) // the same version at the same revision number
	is.NoErr(err)
	_, err = other.Put(t.Context(), "k", "a", 1, []byte(`"newer"`))
	is.NoErr(err)
	f.records[objectKey{"k", "a"}] = withNumber(f.records[objectKey{"k", "a"}], o.Revision)

	_, err = c.Put(t.Context(), "k", "a", o.Version, []byte(`"late"`))
	var conflict *Conflict
	is.True(errors.As(err, &conflict))
	is.Equal(string(conflict.Current.Value), `"newer"`)
}

func withNumber(r Record, number uint64) Record {
	r.Revision.Number = number
	return r
}
