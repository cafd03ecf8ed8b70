package catalog

import (
	"cmp"
	"slices"
)

// view is what a state looks like to the rest of the host. It never changes.
type view struct {
	services  []Service             // by name
	byName    map[string]int        // index in services
	workloads map[string][]Service  // by name
	snapshots map[string][]Snapshot // newest first
}

func newView(entries map[key]*entry) *view {
	v := &view{
		byName:    make(map[string]int, len(entries)),
		workloads: map[string][]Service{},
		snapshots: map[string][]Snapshot{},
	}
	var services []*Service
	for _, e := range entries {
		if e.service != nil && !e.service.Dropped {
			services = append(services, e.service)
		}
		if e.snapshot != nil {
			v.snapshots[e.snapshot.Workload] = append(v.snapshots[e.snapshot.Workload], *e.snapshot)
		}
	}
	v.addServices(services)
	for _, list := range v.snapshots {
		slices.SortFunc(list, func(a, b Snapshot) int { return cmp.Compare(b.ID, a.ID) })
	}
	return v
}

func (v *view) addServices(services []*Service) {
	slices.SortFunc(services, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	v.services = make([]Service, len(services))
	for i, s := range services {
		v.services[i] = *s
		v.services[i].Rules = s.Rules.filled()
		v.byName[s.Name] = i
		v.workloads[s.Workload] = append(v.workloads[s.Workload], v.services[i])
	}
}

func (v *view) service(name string) (Service, bool) {
	i, ok := v.byName[name]
	if !ok {
		return Service{}, false
	}
	return v.services[i], true
}
