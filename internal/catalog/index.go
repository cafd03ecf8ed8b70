package catalog

import (
	"cmp"
	"slices"
)

// view is what a state looks like to the rest of the host. It never changes.
type view struct {
	byName    map[string]Service
	services  []Service             // by name
	workloads map[string][]Service  // by name
	snapshots map[string][]Snapshot // newest first
}

func newView(entries map[key]*entry) *view {
	v := &view{
		byName:    map[string]Service{},
		workloads: map[string][]Service{},
		snapshots: map[string][]Snapshot{},
	}
	for _, e := range entries {
		v.add(e)
	}
	slices.SortFunc(v.services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	for _, s := range v.services {
		v.workloads[s.Workload] = append(v.workloads[s.Workload], s)
	}
	for _, list := range v.snapshots {
		slices.SortFunc(list, func(a, b Snapshot) int { return cmp.Compare(b.ID, a.ID) })
	}
	return v
}

func (v *view) add(e *entry) {
	if s := e.service; s != nil && !s.Dropped {
		filled := *s
		filled.Rules = s.Rules.filled()
		v.byName[s.Name] = filled
		v.services = append(v.services, filled)
	}
	if s := e.snapshot; s != nil {
		v.snapshots[s.Workload] = append(v.snapshots[s.Workload], *s)
	}
}
