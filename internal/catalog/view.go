package catalog

// View is what the rest of a host reads of the configuration. Every method is
// safe for concurrent use and returns values that must not be changed.
type View interface {
	// Service returns the service with this name, rules filled in.
	Service(name string) (Service, bool)
	// Workload returns the services of a workload, sorted by name; none if
	// there is no such workload.
	Workload(name string) []Service
	// Services returns all services, sorted by name.
	Services() []Service
	// Snapshots returns the snapshots of a workload, newest first.
	Snapshots(workload string) []Snapshot
	// Revision returns the platform revision up to which this host has
	// applied every change.
	Revision() uint64
}
