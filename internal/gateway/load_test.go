package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/gateway"
	"rhubarbwood.example/rhubarbwood/internal/standin/platformtarget"
	"rhubarbwood.example/rhubarbwood/platform"
)

// The load of the tests: queries at a fixed interval.
const (
	loadInterval = 10 * time.Millisecond
	loadRequests = 300
)

// loadResult counts the answers to a load.
type loadResult struct {
	whole  int // complete and in time
	inTime int // successful and in time
}

// sendLoad sends the load and counts its answers.
func (s *site) sendLoad(name string) loadResult {
	var (
		mu  sync.Mutex
		got loadResult
		all sync.WaitGroup
	)
	for i := range loadRequests {
		all.Go(func() {
			a := s.get("/all/x", fmt.Sprintf("%s-%d", name, i))
			mu.Lock()
			defer mu.Unlock()
			if a.status != http.StatusOK || a.took > objective {
				return
			}
			got.inTime++
			if a.header.Get(platform.HeaderMissing) == "0" {
				got.whole++
			}
		})
		time.Sleep(loadInterval)
	}
	all.Wait()
	return got
}

// One target of each of six shards sheds three of five requests. With ShedPenalty it is chosen last
// and hardly any query lacks a part; without, it uses up the retry budget.
func TestLoadWhileHalfOfTheTargetsShed(t *testing.T) {
	play := func(t *testing.T, without ...gateway.Mechanism) (got loadResult) {
		run(t, options{services: 6, without: without}, func(t *testing.T, s *site) {
			for i := range 6 {
				s.faults(fmt.Sprintf("s%d-t0", i), platformtarget.Faults{Shed: 0.6})
			}
			got = s.sendLoad("r")
		})
		return got
	}
	is := is.New(t)
	with, without := play(t), play(t, gateway.ShedPenalty)
	is.True(with.whole >= loadRequests*95/100)
	is.True(without.whole < loadRequests*80/100)
}

// All targets of one of six shards are silent: every answer leaves out that part and is in time.
func TestLoadWhileShardIsSilent(t *testing.T) {
	run(t, options{services: 6}, func(t *testing.T, s *site) {
		is := is.New(t)
		s.faults("s5", platformtarget.Faults{Silent: true})
		got := s.sendLoad("r")
		is.True(got.inTime >= loadRequests*98/100)
		is.Equal(got.whole, 0)
	})
}

// One target of each shard is ten times slower: it is ejected, and the others carry the load.
func TestLoadWhileHalfOfTheTargetsAreSlow(t *testing.T) {
	run(t, options{services: 6}, func(t *testing.T, s *site) {
		is := is.New(t)
		for i := range 6 {
			s.faults(fmt.Sprintf("s%d-t0", i), platformtarget.Faults{Slow: 10})
		}
		got := s.sendLoad("r")
		is.True(got.inTime >= loadRequests*98/100)
		is.True(got.whole >= loadRequests*90/100)
	})
}
