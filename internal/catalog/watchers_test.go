package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/member"
)

func TestRankOrdersUsableHostsOfTheDomain(t *testing.T) {
	is := is.New(t)
	var hosts []member.Host
	for i := range 6 {
		hosts = append(hosts, member.Host{ID: fmt.Sprint(i), FailureDomain: "a", State: member.Alive})
	}
	hosts = append(hosts, member.Host{ID: "other", FailureDomain: "b", State: member.Alive})
	places := map[int]member.Host{}
	for _, h := range hosts[:6] {
		places[watchRank(h, hosts)] = h
	}
	is.Equal(len(places), 6) // each has its own
	is.Equal(watchRank(hosts[6], hosts), 0)
	for i := range hosts {
		if hosts[i].ID == places[0].ID {
			hosts[i].State = member.Leaving
		}
	}
	is.Equal(watchRank(places[1], hosts), 0) // the next one moves up
	is.Equal(watchRank(places[5], hosts), 4)
}

func TestLevelsStandInOneAfterAnother(t *testing.T) {
	is := is.New(t)
	is.Equal([]int{levelOf(1, 2), levelOf(2, 2), levelOf(3, 2), levelOf(4, 2), levelOf(8, 2), levelOf(16, 2)}, []int{0, 1, 1, 2, 3, watcherLevels})

	const span = 15 * time.Second
	start := time.Now()
	var h answerTimes
	needs := func(after time.Duration) []bool {
		var all []bool
		for l := range watcherLevels + 1 {
			all = append(all, h.mustWatch(l, start.Add(after), start, span))
		}
		return all
	}
	is.Equal(needs(span), []bool{true, false, false, false, false})
	is.Equal(needs(2*span), []bool{true, true, false, false, false})
	is.Equal(needs(time.Hour), []bool{true, true, true, true, false})
	h.record(1, start.Add(time.Hour)) // goes on, and the levels above it need not
	is.Equal(needs(time.Hour), []bool{true, true, false, false, false})
	h.record(0, start.Add(time.Hour))
	is.Equal(needs(time.Hour), []bool{true, false, false, false, false})
}
