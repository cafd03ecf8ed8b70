package member

// State is the membership state of a host.
type State string

const (
	Alive   State = "alive"
	Suspect State = "suspect" // missed probes; gets work only when no alive host is left
	Leaving State = "leaving" // announced its stop; finishes the work in progress
	Dead    State = "dead"
)

// Host describes one process of the system.
type Host struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	PeerAddress   string `json:"peer"`        // address of its peer listener
	APIAddress    string `json:"api"`         // address of its listener for callers
	Incarnation   uint64 `json:"incarnation"` // increases with each start of the host
	State         State  `json:"state"`
	Revision      uint64 `json:"revision"`            // configuration revision that it last reported
	LinkMbps      uint32 `json:"link_mbps,omitempty"` // bandwidth of its network link; 0: unknown
}

// Usable reports whether new work may be assigned to the host.
func (h Host) Usable() bool { return h.State == Alive || h.State == Suspect }

// View is the read access to the membership that the other packages of a host
// use. Every method is safe for concurrent use; the returned values must not be
// modified.
type View interface {
	// Self returns this host.
	Self() Host
	// Hosts returns every host in the list that is not dead, this one included,
	// sorted by id.
	Hosts() []Host
	// Count returns the number of hosts, this one included. Shortly after the
	// start it may exceed the length of Hosts: it is at least the count
	// reported by the peer that this host joined through.
	Count() int
	// Generation changes whenever Hosts changes in anything but revisions,
	// which do not affect the placement of work.
	Generation() uint64
}
