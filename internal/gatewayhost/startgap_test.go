package gatewayhost

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/standin/objectstore"
	"rhubarbwood.example/rhubarbwood/platform"
)

// Hosts that start during a store outage reach each other before they reach the one host that kept running. The store is then
// restored from a copy that still has targets which left. The new hosts send these targets nothing, though they reach that host
// later than the store.
func TestHostsThatStartTogetherLeaveOutTargetsThatLeft(t *testing.T) {
	for name, keptHost := range map[string]int{"one that is no seed stays": fleetHosts - 1, "one that is a seed stays": 1} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, &fleet{}, func(t *testing.T, f *fleet) {
				is := is.New(t)
				time.Sleep(20 * time.Second)
				older := f.store.Backup()
				var removed []*fleetTarget
				for _, t := range f.targets {
					if t.service == singleService {
						removed = append(removed, t)
						f.store.Remove(platform.KindTargets, t.id)
					}
				}
				time.Sleep(time.Second)
				left := time.Now()

				f.store.SetFaults(objectstore.Faults{Outage: objectstore.OutageCut})
				time.Sleep(storeOutage)
				f.slowDialAddress = hostAddress(keptHost, portPeers)
				for i := range f.hosts {
					if i != keptHost {
						f.restartHost(i)
					}
				}
				callers := f.startCallersEvery(2 * time.Millisecond)
				defer callers.stop()
				time.Sleep(20 * time.Millisecond)
				f.store.Restore(older)
				f.store.SetFaults(objectstore.Faults{})
				time.Sleep(time.Second)
				for _, t := range removed {
					is.Equal(f.countTargetRequests(t, left), 0)
				}
			})
		})
	}
}
