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

var lossTables = flag.Int("loss-tables", 0, "number of seeds for the loss experiments in virtual time, whose tables are written; 0 skips them")

// virtualLossMeasure returns a lossMeasureFunc that runs in virtual time over an
// in-memory network.
func virtualLossMeasure(t *testing.T) lossMeasureFunc {
	return func(_ context.Context, o Options, x lossTrial) (c *lossRun, err error) {
		synctest.Test(t, func(t *testing.T) {
			x.site.network = memoryNetwork{standin.NewNetwork()}
			c, err = measureLoss(t.Context(), o, x)
			synctest.Wait()
		})
		return c, err
	}
}

func TestLossTables(t *testing.T) {
	if *lossTables == 0 {
		t.Skip("needs -loss-tables")
	}
	is := is.New(t)
	o := Options{Seed: 1}
	relays, err := relayLossBy(t.Context(), o, virtualLossMeasure(t), *lossTables)
	is.NoErr(err)
	is.NoErr(Experiment{Name: "relayloss"}.Write(os.Stdout, relays))
	domains, err := domainLossBy(t.Context(), o, virtualLossMeasure(t), *lossTables)
	is.NoErr(err)
	is.NoErr(Experiment{Name: "domainloss"}.Write(os.Stdout, domains))
}

// TestSearchesSurviveALostRelay kills, freezes or slows the host that relays the
// most services.
func TestSearchesSurviveALostRelay(t *testing.T) {
	for _, f := range []hostFault{hostKilled, hostFrozen, hostSlow} {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			checkTrial(t, lostRelayTrial(f), lossRuns.relayVerdicts)
		})
	}
}

func TestSearchesSurviveTheReplacementOfAllHosts(t *testing.T) {
	t.Parallel()
	checkTrial(t, replaceAllTrial(), lossRuns.relayVerdicts)
}

// TestSearchesSurviveALostDomain loses a third or a quarter of the hosts and
// targets at once. With one replica per shard, the possible coverage is that of
// the shards on the remaining targets.
func TestSearchesSurviveALostDomain(t *testing.T) {
	var trials []lossTrial
	for _, p := range []siteKind{guestPortalSite, vitrineSite} {
		trials = append(trials, lostDomainTrial(p, hostKilled, 0), lostDomainTrial(p, hostFrozen, 0),
			lostDomainTrial(p, hostKilled, 1))
	}
	for _, x := range trials {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			checkTrial(t, x, lossRuns.domainVerdicts)
		})
	}
}

func checkTrial(t *testing.T, x lossTrial, verdicts func(lossRuns, lossTrial) []Verdict) {
	t.Helper()
	cs, err := measureSeeds(t.Context(), Options{Seed: 1}, virtualLossMeasure(t), 1, x)
	if err != nil {
		t.Fatal(err)
	}
	checkVerdicts(t, cs.reports(x, true), verdicts(cs, x))
}
