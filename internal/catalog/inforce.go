package catalog

import (
	"context"
	"math"
	"slices"

	"golang.org/x/sync/errgroup"

	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

// maxConcurrentQueries is the number of hosts queried for their revision at a time.
const maxConcurrentQueries = 32

// InForce reports on which hosts a revision is in force.
type InForce struct {
	Revision     uint64            `json:"revision"`
	HostCount    int               `json:"of"`      // number of usable hosts
	InForceCount int               `json:"on"`      // number of those that have the revision or a newer one
	Missing      []string          `json:"missing"` // ids of the others, sorted; includes hosts that did not respond
	Revisions    map[string]uint64 `json:"told"`    // newest known revision of each usable host
}

// InForce compares a revision with those of the usable hosts. The revisions in
// the membership lag, by minutes in a large fleet, so each host whose revision
// there is too old is queried directly, with one small call.
func (c *Catalog) InForce(ctx context.Context, revision uint64) InForce {
	hosts := slices.DeleteFunc(slices.Clone(c.members.Hosts()), func(h member.Host) bool { return !h.Usable() })
	revisions := c.revisionsOf(ctx, hosts, revision)
	report := InForce{Revision: revision, HostCount: len(hosts), Missing: []string{}, Revisions: make(map[string]uint64, len(hosts))}
	for i, h := range hosts {
		report.Revisions[h.ID] = revisions[i]
		if revisions[i] < revision {
			report.Missing = append(report.Missing, h.ID)
			continue
		}
		report.InForceCount++
	}
	return report
}

// revisionsOf returns the revision of each host. Hosts whose revision in the
// membership is below minRevision are queried.
func (c *Catalog) revisionsOf(ctx context.Context, hosts []member.Host, minRevision uint64) []uint64 {
	revisions := make([]uint64, len(hosts))
	var queries errgroup.Group
	queries.SetLimit(maxConcurrentQueries)
	for i, h := range hosts {
		revisions[i] = h.Revision
		switch {
		case h.ID == c.members.Self().ID:
			revisions[i] = c.state.Load().complete
		case h.Revision < minRevision:
			queries.Go(func() error {
				revisions[i] = max(revisions[i], c.queryRevision(ctx, h))
				return nil
			})
		}
	}
	_ = queries.Wait() // the queries return no error
	return revisions
}

// queryRevision returns the revision up to which the host has applied all
// changes, or 0 if it does not respond. No change is later than the requested
// revision, so the response contains no objects.
func (c *Catalog) queryRevision(ctx context.Context, h member.Host) uint64 {
	out, err := c.pullPage(ctx, h, &peerpb.PullRequest{AfterRevision: math.MaxUint64})
	if err != nil {
		return 0
	}
	return out.Complete
}
