package e2e

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"rhubarbwood.example/rhubarbwood/internal/standin/objectstore"
)

// TestReportEqualsDriver has callers ask three hosts while the platform is away
// and then loses answers of writes: the report counts exactly the answers that
// the callers got. Then a host is killed: the report counts every answer of the
// hosts that live, and names the host whose last answers it lacks.
func TestReportEqualsDriver(t *testing.T) {
	s := startSiteWith(t, 3, 2)
	client := &http.Client{Timeout: callerTimeout}
	ask := func() table { return s.hosts[0].statement(client, "show answers since 1h by outcome") }

	c := newCallers(rotate(s.everyHost))
	c.run(3, c.search)
	c.run(1, c.reserve)
	c.reach(t, 50)
	control(t, s.platformAddress, objectstore.PathFaults, objectstore.Faults{Outage: objectstore.OutageUnavailable})
	c.reach(t, 50)
	control(t, s.platformAddress, objectstore.PathFaults, objectstore.Faults{LoseProbability: 0.3})
	c.reach(t, 50)
	before, _ := answeredBy(c.finish(), "")
	var report table
	until(t, "the report counts what the callers got and lacks nothing", func() bool {
		report = ask()
		return report.sum("answers") == before && strings.Contains(report.Message, "nothing is missing")
	})
	t.Logf("callers: %d answers; report: %d; %s", before, report.sum("answers"), report.Message)

	c = newCallers(rotate(s.everyHost))
	c.run(3, c.search)
	c.reach(t, 50)
	killed := s.hosts[2]
	killed.signal(t, syscall.SIGKILL)
	<-killed.ended
	c.reach(t, 50)
	survivors, others := answeredBy(c.finish(), killed.callers)
	until(t, "the report counts what the living hosts answered and names the killed one", func() bool {
		report = ask()
		return report.sum("answers") >= before+survivors && strings.Contains(report.Message, killed.name)
	})
	if got := report.sum("answers"); got > before+survivors+others {
		t.Errorf("the report counts %d answers, callers got %d", got, before+survivors+others)
	}
	t.Logf("callers: %d answers of living hosts, %d of the killed one; report: %d; %s",
		before+survivors, others, report.sum("answers"), report.Message)
}

// answeredBy counts the answers and refusals of the host at the address, and
// those of all others. What a killed host may have counted without its caller
// hearing of it is in neither.
func answeredBy(all []told, address string) (others, its int) {
	for _, r := range all {
		switch {
		case r.status == 0:
		case r.host == address:
			its++
		default:
			others++
		}
	}
	return others, its
}

// sum adds up a column.
func (a table) sum(column string) int {
	i := slices.Index(a.Columns, column)
	if i < 0 {
		return -1
	}
	total := 0
	for _, row := range a.Rows {
		n, _ := strconv.Atoi(row[i])
		total += n
	}
	return total
}
