package objectstore

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/platform"
)

// After a restore what was written since the copy is lost, its revisions are given out again, and
// a watch from one that is not reached yet is answered 410.
func TestRestoreGivesRevisionsOutAgain(t *testing.T) {
	is := is.New(t)
	s := New(DefaultConfig())
	c := newClient(s)
	is.Equal(c.create(t.Context(), "kept", `{}`, nil), http.StatusOK)
	older := s.Copy()
	is.Equal(c.create(t.Context(), "lost", `{}`, nil), http.StatusOK)
	held := s.Revision()

	s.Restore(older)
	is.Equal(s.Era(), uint64(2))
	is.True(s.Revision() < held)
	is.Equal(c.do(t.Context(), "GET", "/api/objects/claim/lost", "", nil), http.StatusNotFound)
	is.Equal(c.do(t.Context(), "GET", "/api/objects/claim?watch=2&waitMs=0", "", nil), http.StatusGone)
	is.Equal(c.create(t.Context(), "another", `{}`, nil), http.StatusOK)
	is.Equal(s.Revision(), held)
	is.Equal(c.do(t.Context(), "GET", "/api/objects/claim?watch=2&waitMs=0", "", nil), http.StatusOK)
}

func TestRestoreCutsWatchesThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(DefaultConfig())
		c := newClient(s)
		older := s.Copy()
		got := make(chan int, 1)
		go func() {
			got <- c.do(t.Context(), "GET", "/api/objects/claim?watch=0&waitMs=60000", "", nil)
		}()
		synctest.Wait()
		s.Restore(older)
		is.Equal(<-got, 0)
	})
}

func TestEveryAnswerTellsTheEra(t *testing.T) {
	is := is.New(t)
	s := New(DefaultConfig())
	s.Restore(s.Copy())
	era := func(s *Store, path string) string {
		resp, err := newClient(s).http.Get("http://" + testHost + path)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		return resp.Header.Get(platform.HeaderStoreEra)
	}
	for _, path := range []string{"/api/objects/claim", "/api/objects/claim/none", "/api/objects/claim?watch=9&waitMs=0", "/api/objects/claim?watch=x"} {
		is.Equal(era(s, path), "2")
	}
	s.SetFaults(Faults{Outage: OutageUnavailable})
	is.Equal(era(s, "/api/objects/claim"), "2")
	silent := DefaultConfig()
	silent.NoEra = true
	is.Equal(era(New(silent), "/api/objects/claim"), "")
}
