package catalog

// InForce tells on which hosts a revision is in force, as far as this host
// knows from the membership.
type InForce struct {
	Revision uint64   `json:"revision"`
	Of       int      `json:"of"`      // hosts that take work
	On       int      `json:"on"`      // those that have reported the revision or a newer one
	Missing  []string `json:"missing"` // ids of the others, sorted
}

// InForce compares a revision with those that the hosts have reported. A
// report lags, so a host that is missing may have the revision by now; one
// that is counted has it.
func (c *Catalog) InForce(revision uint64) InForce {
	f := InForce{Revision: revision, Missing: []string{}}
	self := c.members.Self().ID
	for _, h := range c.members.Hosts() {
		reported := h.Revision
		if h.ID == self {
			reported = c.state.Load().complete
		}
		switch {
		case !h.Usable():
			continue
		case reported >= revision:
			f.On++
		default:
			f.Missing = append(f.Missing, h.ID)
		}
		f.Of++
	}
	return f
}
