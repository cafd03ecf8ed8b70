package catalog

import (
	"context"

	"google.golang.org/protobuf/proto"

	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

// pageBytes is the size of the values after which a page ends. The object that
// reaches it is still included, so the largest page is pageBytes plus the largest
// object, which is below the size limit of a drpc message.
const pageBytes = 1 << 20

// Pull returns to a peer the changes after its revision.
func (c *Catalog) Pull(_ context.Context, in *peerpb.PullRequest) (*peerpb.PullReply, error) {
	s := c.state.Load()
	out := s.page(in.AfterRevision, max(in.AfterRevision, in.Cursor))
	now := c.clock.Now()
	c.mu.Lock()
	out.Stale = c.freshness.stale(now)
	out.PlatformAgeUs = c.platformAnswers.ages(now)
	c.mu.Unlock()
	c.metrics.servedBytes.Add(float64(proto.Size(out)))
	return out, nil
}

// page returns the changes after the cursor, oldest first. All changes of one
// revision are on the same page, since the cursor of the next page is a revision.
// A peer whose last change is before the floor may have an object whose deletion
// this host no longer keeps. The first page for such a peer also contains the names of all
// existing objects that did not change, so that the peer can delete all others.
func (s *state) page(after, cursor uint64) *peerpb.PullReply {
	out := &peerpb.PullReply{Revision: s.revision, Complete: s.complete, Floor: s.floor}
	size := 0
	var last uint64
	for _, e := range s.changedSince(cursor) {
		if size >= pageBytes && e.object.Revision > last {
			out.More = true
			break
		}
		last = e.object.Revision
		out.Objects = append(out.Objects, &peerpb.Object{
			Kind: e.object.Kind, Name: e.object.Name, Version: e.object.Version,
			Revision: e.object.Revision, Value: e.object.Value, Deleted: e.object.Deleted,
		})
		size += len(e.object.Value)
	}
	out.Full = after < s.floor
	if out.Full && after == cursor {
		out.Held = s.unchangedNames(after)
	}
	return out
}

// unchangedNames returns the kinds and names of the existing objects that did
// not change after the revision.
func (s *state) unchangedNames(revision uint64) []*peerpb.Object {
	var names []*peerpb.Object
	for k, e := range s.entries {
		if e.object.Revision <= revision && !e.object.Deleted {
			names = append(names, &peerpb.Object{Kind: k.kind, Name: k.name})
		}
	}
	return names
}

// PeerPuller implements Puller over drpc.
type PeerPuller struct{ dialer peer.Dialer }

// NewPeerPuller returns a PeerPuller that uses the connections of the dialer.
func NewPeerPuller(d peer.Dialer) PeerPuller { return PeerPuller{dialer: d} }

// Pull implements Puller.
func (p PeerPuller) Pull(ctx context.Context, address string, in *peerpb.PullRequest) (*peerpb.PullReply, error) {
	out, err := peerpb.NewDRPCConfigurationClient(p.dialer.Conn(ctx, address)).Pull(ctx, in)
	if err != nil {
		return nil, Error.New("pull from %s: %w", address, err)
	}
	return out, nil
}
