package objectstore

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/unit"
	"rhubarbwood.example/rhubarbwood/platform"
)

// After a restore, writes since the backup are lost, their revisions are assigned again, and a
// watch from a revision that is no longer reached gets status 410.
func TestRestoreGivesRevisionsOutAgain(t *testing.T) {
	is := is.New(t)
	s := New(DefaultConfig())
	c := newClient(s)
	is.Equal(c.create(t.Context(), "kept", `{}`, nil), http.StatusOK)
	older := s.Backup()
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

// A drill simulates an outage and restores the backup of the given age, or the oldest available
// one.
func TestDrill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cfg := DefaultConfig()
		cfg.BackupInterval, cfg.MaxBackupAge = unit.Duration(time.Second), unit.Duration(5*time.Second)
		s := New(cfg)
		c := newClient(s)
		stop := make(chan struct{})
		go s.TakeBackups(stop)
		for i := range 10 {
			is.Equal(c.create(t.Context(), fmt.Sprint(i), `{}`, nil), http.StatusOK)
			time.Sleep(time.Second)
		}
		drilled := make(chan int, 1)
		go func() {
			drilled <- c.do(t.Context(), "POST", PathRestore, `{"outage":"unavailable","away":"500ms","age":"3s"}`, nil)
		}()
		time.Sleep(100 * time.Millisecond)
		is.Equal(c.do(t.Context(), "GET", "/api/objects/claim/0", "", nil), http.StatusServiceUnavailable)
		is.Equal(<-drilled, http.StatusNoContent)
		is.Equal(s.Era(), uint64(2))
		is.Equal(c.do(t.Context(), "GET", "/api/objects/claim/6", "", nil), http.StatusOK)
		is.Equal(c.do(t.Context(), "GET", "/api/objects/claim/9", "", nil), http.StatusNotFound)
		is.NoErr(s.RestoreBackup(time.Hour))
		is.Equal(s.Era(), uint64(3))
		close(stop)
		for _, bad := range []string{`{"away":"-1s"}`, `{"outage":"odd"}`, `{"age":3}`, `{"away":"2h"}`} {
			is.Equal(c.do(t.Context(), "POST", PathRestore, bad, nil), http.StatusBadRequest)
		}
		is.Equal(newClient(New(DefaultConfig())).do(t.Context(), "POST", PathRestore, `{}`, nil), http.StatusConflict)
	})
}

func TestRestoreCutsWatchesThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(DefaultConfig())
		c := newClient(s)
		older := s.Backup()
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
	s.Restore(s.Backup())
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
