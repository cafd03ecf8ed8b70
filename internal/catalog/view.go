package catalog

// View gives the rest of a host read access to the configuration. Every method
// is safe for concurrent use and returns values that must not be modified.
type View interface {
	// Service returns the service with this name, with default rules filled in.
	Service(name string) (Service, bool)
	// Workload returns the services of a workload, sorted by name; none if
	// there is no such workload.
	Workload(name string) []Service
	// Services returns all services, sorted by name.
	Services() []Service
	// Snapshots returns the snapshots of a workload, newest first.
	Snapshots(workload string) []Snapshot
	// Revision returns the ordinal of the newest platform revision that this
	// host has applied.
	Revision() uint64
}
