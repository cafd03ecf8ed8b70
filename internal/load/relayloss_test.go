package load

import (
	"context"
	"flag"
	"os"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/standin"
)

var lossTables = flag.Int("loss-tables", 0, "write the tables of the losses in virtual time, each over so many seeds")

// virtualLoss returns a measurer in virtual time.
func virtualLoss(t *testing.T) lossMeasurer {
	return func(_ context.Context, o Options, x lossTrial) (c *course, err error) {
		synctest.Test(t, func(t *testing.T) {
			x.site.network = memory{standin.NewNetwork()}
			c, err = measureLoss(t.Context(), o, x)
			synctest.Wait()
		})
		return c, err
	}
}

func TestLossTables(t *testing.T) {
	if *lossTables == 0 {
		t.Skip("wants -loss-tables")
	}
	is := is.New(t)
	o := Options{Seed: 1}
	relays, err := relayLossBy(t.Context(), o, virtualLoss(t), *lossTables)
	is.NoErr(err)
	is.NoErr(Experiment{Name: "relayloss"}.Write(os.Stdout, relays))
	domains, err := domainLossBy(t.Context(), o, virtualLoss(t), *lossTables)
	is.NoErr(err)
	is.NoErr(Experiment{Name: "domainloss"}.Write(os.Stdout, domains))
}

// TestSearchesSurviveALostRelay loses the host that relays most services.
func TestSearchesSurviveALostRelay(t *testing.T) {
	for _, f := range []hostFault{hostKilled, hostFrozen, hostSlow} {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			survives(t, lostRelayTrial(f), courses.relayVerdicts)
		})
	}
}

func TestSearchesSurviveTheReplacementOfAllHosts(t *testing.T) {
	t.Parallel()
	survives(t, replacedTrial(), courses.relayVerdicts)
}

// TestSearchesSurviveALostDomain loses a third or a quarter of hosts and
// targets at once. With one replica a shard, coverage is what the targets left
// hold.
func TestSearchesSurviveALostDomain(t *testing.T) {
	var trials []lossTrial
	for _, p := range []place{kolkata, nordeste} {
		trials = append(trials, lostDomainTrial(p, hostKilled, 0), lostDomainTrial(p, hostFrozen, 0),
			lostDomainTrial(p, hostKilled, 1))
	}
	for _, x := range trials {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			survives(t, x, courses.domainVerdicts)
		})
	}
}

func survives(t *testing.T, x lossTrial, verdicts func(courses, lossTrial) []Verdict) {
	t.Helper()
	cs, err := measureSeeds(t.Context(), Options{Seed: 1}, virtualLoss(t), 1, x)
	if err != nil {
		t.Fatal(err)
	}
	check(t, cs.reports(x, true), verdicts(cs, x))
}
