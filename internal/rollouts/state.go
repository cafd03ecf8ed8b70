package rollouts

import (
	"maps"
	"sync"

	"rhubarbwood.example/rhubarbwood/internal/discovery"
	"rhubarbwood.example/rhubarbwood/internal/rollout"
	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// CachedOrders is the Orders of a host.
type CachedOrders struct {
	*discovery.State

	mu         sync.Mutex
	table      *routing.Table  // for which idempotent was computed
	idempotent map[string]bool // services with a route whose requests may run twice
}

var _ Orders = (*CachedOrders)(nil)

// NewCachedOrders returns the orders in a state.
func NewCachedOrders(s *discovery.State) *CachedOrders { return &CachedOrders{State: s} }

// OnChange calls f after each change of the orders. f must be short. Call OnChange before the state is
// used.
func (c *CachedOrders) OnChange(f func()) {
	var last map[string]rollout.Order // guarded by the lock of the state
	c.Subscribe(func(v discovery.View) {
		if !maps.Equal(last, v.Orders) {
			last = v.Orders
			f()
		}
	})
}

// OnlyNonIdempotent implements Orders.
func (c *CachedOrders) OnlyNonIdempotent(service string) bool {
	table, _ := c.Table()
	c.mu.Lock()
	defer c.mu.Unlock()
	if table != c.table {
		c.table, c.idempotent = table, idempotentServices(table)
	}
	return !c.idempotent[service]
}

// idempotentServices returns the services with a route whose requests may run twice.
func idempotentServices(table *routing.Table) map[string]bool {
	services := map[string]bool{}
	if table == nil {
		return services
	}
	for _, route := range table.Config.Routes {
		if !route.Idempotent {
			continue
		}
		for _, d := range route.Destinations {
			services[d.Service] = true
		}
		for _, s := range route.Shards {
			services[s] = true
		}
	}
	return services
}
