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
	byRank := map[int]member.Host{}
	for _, h := range hosts[:6] {
		byRank[watchRank(h, hosts)] = h
	}
	is.Equal(len(byRank), 6) // all ranks differ
	is.Equal(watchRank(hosts[6], hosts), 0)
	for i := range hosts {
		if hosts[i].ID == byRank[0].ID {
			hosts[i].State = member.Leaving
		}
	}
	is.Equal(watchRank(byRank[1], hosts), 0) // the next one moves up
	is.Equal(watchRank(byRank[5], hosts), 4)
}

func TestLevelsStandInOneAfterAnother(t *testing.T) {
	is := is.New(t)
	is.Equal([]int{levelOf(1, 2), levelOf(2, 2), levelOf(3, 2), levelOf(4, 2), levelOf(8, 2), levelOf(16, 2)}, []int{0, 1, 1, 2, 3, watcherLevels})

	const takeoverAfter = 15 * time.Second
	start := time.Now()
	var h answerTimes
	mustWatch := func(after time.Duration) []bool {
		var all []bool
		for l := range watcherLevels + 1 {
			all = append(all, h.mustWatch(l, start.Add(after), start, takeoverAfter))
		}
		return all
	}
	is.Equal(mustWatch(takeoverAfter), []bool{true, false, false, false, false})
	is.Equal(mustWatch(2*takeoverAfter), []bool{true, true, false, false, false})
	is.Equal(mustWatch(time.Hour), []bool{true, true, true, true, false})
	h.record(1, start.Add(time.Hour)) // level 1 gets responses, so the levels above it need not watch
	is.Equal(mustWatch(time.Hour), []bool{true, true, false, false, false})
	h.record(0, start.Add(time.Hour))
	is.Equal(mustWatch(time.Hour), []bool{true, false, false, false, false})
}
