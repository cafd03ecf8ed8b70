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

// TestReportEqualsDriver sends requests through three hosts while the platform is unavailable and
// then loses responses to writes: the report must count exactly the answers that the callers
// received. Then a host is killed: the report must count every answer of the remaining hosts and
// name the host whose last answers are missing.
func TestReportEqualsDriver(t *testing.T) {
	s := startSiteWith(t, 3, 2)
	client := &http.Client{Timeout: callerTimeout}
	ask := func() table { return s.hosts[0].statement(client, "show answers since 1h by outcome") }

	c := newCallers(roundRobin(s.everyHost))
	c.run(3, c.search)
	c.run(1, c.reserve)
	c.waitForAnswers(t, 50)
	postControl(t, s.platformAddress, objectstore.PathFaults, objectstore.Faults{Outage: objectstore.OutageUnavailable})
	c.waitForAnswers(t, 50)
	postControl(t, s.platformAddress, objectstore.PathFaults, objectstore.Faults{LoseProbability: 0.3})
	c.waitForAnswers(t, 50)
	before, _ := answeredBy(c.finish(), "")
	var report table
	waitUntil(t, "the report counts what the callers got and lacks nothing", func() bool {
		report = ask()
		return report.sum("answers") == before && strings.Contains(report.Message, "nothing is missing")
	})
	t.Logf("callers: %d answers; report: %d; %s", before, report.sum("answers"), report.Message)

	c = newCallers(roundRobin(s.everyHost))
	c.run(3, c.search)
	c.waitForAnswers(t, 50)
	killed := s.hosts[2]
	killed.signal(t, syscall.SIGKILL)
	<-killed.ended
	c.waitForAnswers(t, 50)
	survivors, others := answeredBy(c.finish(), killed.callers)
	waitUntil(t, "the report counts what the living hosts answered and names the killed one", func() bool {
		report = ask()
		return report.sum("answers") >= before+survivors && strings.Contains(report.Message, killed.name)
	})
	if got := report.sum("answers"); got > before+survivors+others {
		t.Errorf("the report counts %d answers, callers got %d", got, before+survivors+others)
	}
	t.Logf("callers: %d answers of living hosts, %d of the killed one; report: %d; %s",
		before+survivors, others, report.sum("answers"), report.Message)
}

// answeredBy returns the number of answers and refusals from the host at the address, and from all
// others. Responses that a killed host counted but its caller never received are in neither.
func answeredBy(all []callerResult, address string) (others, its int) {
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

// sum returns the sum of a column, or -1 if there is no such column.
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
