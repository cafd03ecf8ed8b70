package plan

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"rhubarbwood.example/rhubarbwood/internal/member"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "100")
	os.Exit(m.Run())
}

// fleet returns n alive hosts distributed evenly over the failure domains.
func fleet(n, domains int) []member.Host {
	hosts := make([]member.Host, n)
	for i := range hosts {
		hosts[i] = member.Host{
			ID:            fmt.Sprintf("host-%03d", i),
			FailureDomain: fmt.Sprintf("domain-%d", i%domains),
			State:         member.Alive,
		}
	}
	return hosts
}

// testSpecs returns n services with the given number of targets and relays.
func testSpecs(n, targets, relays int) []ServiceSpec {
	specs := make([]ServiceSpec, n)
	for i := range specs {
		specs[i] = ServiceSpec{Service: fmt.Sprintf("service-%04d", i), Targets: targets, Relays: relays}
	}
	return specs
}
