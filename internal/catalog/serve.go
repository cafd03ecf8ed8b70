package catalog

import (
	"context"

	"google.golang.org/protobuf/proto"

	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

// pageBytes is the size at which a page ends. The object that reaches it is
// sent whole, so a page has at most this and the largest object, below the
// bound of a drpc message.
const pageBytes = 1 << 20

// Pull answers a peer with the changes after its revision.
func (c *Catalog) Pull(_ context.Context, in *peerpb.PullRequest) (*peerpb.PullReply, error) {
	s := c.state.Load()
	out := s.page(in.AfterRevision, max(in.AfterRevision, in.Cursor))
	now := c.clock.Now()
	c.mu.Lock()
	out.Stale = c.fresh.stale(now)
	out.PlatformAgeUs = c.lastHeard.ages(now)
	c.mu.Unlock()
	c.metrics.served.Add(float64(proto.Size(out)))
	return out, nil
}

// page returns the changes after the cursor, oldest first. Changes of one
// revision are on one page, so that the cursor can tell pages apart. A peer
// whose last change lies before the floor may hold an object whose deletion is
// no longer known here; besides the changes it gets the names of all objects
// that did not change, so that it can delete what is not named.
func (s *state) page(after, cursor uint64) *peerpb.PullReply {
	out := &peerpb.PullReply{Revision: s.revision, Complete: s.complete, Floor: s.floor}
	size := 0
	var last uint64
	for _, e := range s.since(cursor) {
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
		out.Held = s.held(after)
	}
	return out
}

// held names the objects that stand and did not change after the revision.
func (s *state) held(revision uint64) []*peerpb.Object {
	var names []*peerpb.Object
	for k, e := range s.entries {
		if e.object.Revision <= revision && !e.object.Deleted {
			names = append(names, &peerpb.Object{Kind: k.kind, Name: k.name})
		}
	}
	return names
}

// PeerPuller calls Configuration.Pull over drpc.
type PeerPuller struct{ dialer peer.Dialer }

// NewPeerPuller returns a Puller over the connections of the dialer.
func NewPeerPuller(d peer.Dialer) PeerPuller { return PeerPuller{dialer: d} }

// Pull implements Puller.
func (p PeerPuller) Pull(ctx context.Context, address string, in *peerpb.PullRequest) (*peerpb.PullReply, error) {
	out, err := peerpb.NewDRPCConfigurationClient(p.dialer.Conn(ctx, address)).Pull(ctx, in)
	if err != nil {
		return nil, Error.New("pull from %s: %w", address, err)
	}
	return out, nil
}
