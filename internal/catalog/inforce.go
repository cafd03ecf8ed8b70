package catalog

import (
	"context"
	"math"
	"slices"

	"golang.org/x/sync/errgroup"

	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

// askAtOnce is how many hosts are asked for their revision at one time.
const askAtOnce = 32

// InForce tells on which hosts a revision is in force.
type InForce struct {
	Revision  uint64            `json:"revision"`
	Of        int               `json:"of"`      // hosts that take work
	On        int               `json:"on"`      // those that have the revision or a newer one
	Missing   []string          `json:"missing"` // ids of the others, sorted; also of those that did not answer
	Revisions map[string]uint64 `json:"told"`    // of each of the hosts, as it reported last
}

// InForce compares a revision with those of the hosts. What a host reported
// through the membership lags, by minutes in a large fleet, so each host that
// is behind by that is asked itself, one small call each.
func (c *Catalog) InForce(ctx context.Context, revision uint64) InForce {
	hosts := slices.DeleteFunc(slices.Clone(c.members.Hosts()), func(h member.Host) bool { return !h.Usable() })
	revisions := c.revisionsOf(ctx, hosts, revision)
	f := InForce{Revision: revision, Of: len(hosts), Missing: []string{}, Revisions: make(map[string]uint64, len(hosts))}
	for i, h := range hosts {
		f.Revisions[h.ID] = revisions[i]
		if revisions[i] < revision {
			f.Missing = append(f.Missing, h.ID)
			continue
		}
		f.On++
	}
	return f
}

// revisionsOf returns the revision of each host. Those whose reported revision
// is below the wanted one are asked.
func (c *Catalog) revisionsOf(ctx context.Context, hosts []member.Host, wanted uint64) []uint64 {
	revisions := make([]uint64, len(hosts))
	var asks errgroup.Group
	asks.SetLimit(askAtOnce)
	for i, h := range hosts {
		revisions[i] = h.Revision
		switch {
		case h.ID == c.members.Self().ID:
			revisions[i] = c.state.Load().complete
		case h.Revision < wanted:
			asks.Go(func() error {
				revisions[i] = max(revisions[i], c.askRevision(ctx, h))
				return nil
			})
		}
	}
	_ = asks.Wait() // no ask returns an error
	return revisions
}

// askRevision returns the revision up to which the host is complete, 0 if it
// does not answer. No change is later than the one asked from, so the answer
// holds no object.
func (c *Catalog) askRevision(ctx context.Context, h member.Host) uint64 {
	out, err := c.pullPage(ctx, h, &peerpb.PullRequest{AfterRevision: math.MaxUint64})
	if err != nil {
		return 0
	}
	return out.Complete
}
