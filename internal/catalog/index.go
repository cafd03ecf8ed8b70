package catalog

import (
	"cmp"
	"maps"
	"slices"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// view is the content of a state in the form in which View returns it. It is immutable.
type view struct {
	services  []Service             // by name
	workloads map[string][]Service  // by name
	snapshots map[string][]Snapshot // newest first
}

// withChanges returns a copy of the view with the changed entries applied. Services
// that have not changed keep their order, so that a change of one existing
// service costs a copy but no sorting.
func (v *view) withChanges(changed []*entry) *view {
	services, snapshots := map[string]*Service{}, map[string]*Snapshot{}
	for _, e := range changed {
		switch e.object.Kind {
		case objstore.KindService:
			services[e.object.Name] = e.service
		case objstore.KindSnapshot:
			snapshots[e.object.Name] = e.snapshot
		}
	}
	next := &view{services: v.services, workloads: v.workloads, snapshots: v.snapshots}
	if len(services) > 0 {
		next.services = replaceServices(v.services, services)
		next.workloads = byWorkload(next.services)
	}
	if len(snapshots) > 0 {
		next.snapshots = replaceSnapshots(v.snapshots, snapshots)
	}
	return next
}

// replaceServices returns the services with the changed ones replaced, added,
// or removed where the value is nil or dropped. It deletes entries of changed.
func replaceServices(old []Service, changed map[string]*Service) []Service {
	services := make([]Service, 0, len(old)+len(changed))
	appendLive := func(s *Service) {
		if s != nil && !s.Dropped {
			services = append(services, *s)
			services[len(services)-1].Rules = s.Rules.withDefaults()
		}
	}
	for _, s := range old {
		if replacement, ok := changed[s.Name]; ok {
			appendLive(replacement)
			delete(changed, s.Name)
			continue
		}
		services = append(services, s)
	}
	for _, s := range changed {
		appendLive(s)
	}
	if len(changed) > 0 {
		slices.SortFunc(services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	}
	return services
}

func byWorkload(services []Service) map[string][]Service {
	sizes := map[string]int{}
	for i := range services {
		sizes[services[i].Workload]++
	}
	workloads := make(map[string][]Service, len(sizes))
	for w, n := range sizes {
		workloads[w] = make([]Service, 0, n)
	}
	for _, s := range services {
		workloads[s.Workload] = append(workloads[s.Workload], s)
	}
	return workloads
}

func replaceSnapshots(old map[string][]Snapshot, changed map[string]*Snapshot) map[string][]Snapshot {
	snapshots := maps.Clone(old)
	for w, list := range snapshots {
		snapshots[w] = slices.DeleteFunc(slices.Clone(list), func(s Snapshot) bool {
			_, ok := changed[s.ObjectName()]
			return ok
		})
	}
	for _, s := range changed {
		if s != nil {
			snapshots[s.Workload] = append(snapshots[s.Workload], *s)
		}
	}
	maps.DeleteFunc(snapshots, func(_ string, list []Snapshot) bool { return len(list) == 0 })
	for _, list := range snapshots {
		slices.SortFunc(list, func(a, b Snapshot) int { return cmp.Compare(b.ID, a.ID) })
	}
	return snapshots
}

func (v *view) service(name string) (Service, bool) {
	i, ok := slices.BinarySearchFunc(v.services, name, func(s Service, name string) int { return cmp.Compare(s.Name, name) })
	if !ok {
		return Service{}, false
	}
	return v.services[i], true
}
