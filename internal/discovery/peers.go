package discovery

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/quarantine"
)

// maxPollWait limits how long a poll of a peer is held.
const maxPollWait = 30 * time.Second

// Exchange exchanges state with other hosts: it is the Peers of a Follower, and the server of the
// Discovery calls of other hosts.
type Exchange struct {
	cfg     Config
	members member.View
	dialer  peer.Dialer
	state   *State
	seeds   []string // addresses of hosts that may not be in the membership yet

	hadPeers atomic.Bool // the membership has contained another host

	mu           sync.Mutex
	watcherIndex int // which of the watching hosts is polled next
	stalePolls   int // consecutive polls that failed or returned stale state
	// cursors is the position up to which each host's findings, permits, kept state and quarantine
	// records were received, by host id.
	cursors map[string]peerCursor
	// groups is cached for groupsGeneration of the membership.
	groups           *groups
	groupsGeneration uint64
	// contacts is cached for contactsGeneration of the membership.
	contacts           []string
	contactsGeneration uint64
	coordinators       coordinatorCache
	encoded            encodedConfig
}

// peerCursor is the part of a Cursor that counts in the numbers of one process of a peer.
type peerCursor struct {
	findingEpoch, findingNumber uint64
	permitNumber                uint64
	keptNumber                  uint64
	requests                    quarantine.Mark
}

var _ Peers = (*Exchange)(nil)

// NewExchange returns the exchange with the members.
func NewExchange(cfg Config, members member.View, dialer peer.Dialer, state *State) *Exchange {
	// Hosts start with different watching hosts in order to spread the polls over them.
	watcherIndex := int(xxhash.Sum64String(members.Self().ID) % maxWatchers)
	return &Exchange{cfg: cfg, members: members, dialer: dialer, state: state, watcherIndex: watcherIndex, cursors: map[string]peerCursor{}}
}

// SetSeeds sets addresses of hosts to query at the start that may not be in the membership yet.
// Call it before the exchange is used.
func (s *Exchange) SetSeeds(seeds []string) { s.seeds = seeds }

// currentGroups returns the groups for the current membership as this host sees it.
func (s *Exchange) currentGroups() *groups {
	generation := s.members.Generation()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.groups == nil || s.groupsGeneration != generation {
		s.groups = groupHosts(s.members.Hosts(), s.cfg.HostsPerWatcher)
		s.groupsGeneration = generation
	}
	return s.groups
}

// ownGroup returns the group of this host.
func (s *Exchange) ownGroup() *group { return s.currentGroups().groupOf(s.members.Self()) }

// Watches implements Peers.
func (s *Exchange) Watches() bool { return s.ownGroup().isWatcher(s.members.Self().ID) }

// Rank implements Peers.
func (s *Exchange) Rank() int { return s.ownGroup().rank(s.members.Self().ID) }

// TurnFor ranks the watching hosts by a hash of the key and returns how many come before this one,
// for dividing work by key. It returns false if this host does not watch.
func (s *Exchange) TurnFor(key string) (rank int, watches bool) {
	self := s.members.Self().ID
	for _, w := range s.currentGroups().allWatchers() {
		switch {
		case w.ID == self:
			watches = true
		case turnHash(key, w.ID) < turnHash(key, self):
			rank++
		}
	}
	return rank, watches
}

// Hosts implements Peers.
func (s *Exchange) Hosts() int { return s.members.Count() }

// Isolated implements Peers.
func (s *Exchange) Isolated() bool {
	otherCount := len(usableExcept(s.members.Hosts(), s.members.Self().ID))
	if otherCount > 0 {
		s.hadPeers.Store(true)
	}
	return otherCount == 0 && s.hadPeers.Load()
}

// Poll implements Peers. After a failed poll or a stale reply the next poll goes to another host.
func (s *Exchange) Poll(ctx context.Context, cursor Cursor, wait time.Duration) (Update, error) {
	watcher, watcherCursor, err := s.choosePeer()
	if err != nil {
		return Update{}, err
	}
	requestedAt := s.state.clock.Now()
	req := &peerpb.FollowRequest{
		WaitUs: wait.Microseconds(), PermitNumber: watcherCursor.permitNumber, KeptNumber: watcherCursor.keptNumber,
		FindingEpoch: watcherCursor.findingEpoch, FindingNumber: watcherCursor.findingNumber,
		RequestEpoch: watcherCursor.requests.Epoch, RequestNumber: watcherCursor.requests.Number,
	}
	encodeRequestRevisions(cursor, req)
	reply, err := peerpb.NewDRPCDiscoveryClient(s.dialer.Conn(ctx, watcher.PeerAddress)).Follow(ctx, req)
	if err != nil {
		s.noteReply(watcher.ID, nil)
		return Update{}, Error.New("poll %s for updates: %w", watcher.ID, err)
	}
	s.noteReply(watcher.ID, reply)
	update, err := decodeReply(reply, requestedAt, s.state.clock.Now())
	update.Peer = watcher.ID
	return update, err
}

// BootstrapContacts implements Peers. It returns established hosts, those of the own failure domain
// first, then recently started ones, then seeds that are not among these.
func (s *Exchange) BootstrapContacts() []string {
	generation := s.members.Generation()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.contacts == nil || s.contactsGeneration != generation {
		s.contacts, s.contactsGeneration = s.chooseContacts(), generation
	}
	return s.contacts
}

func (s *Exchange) chooseContacts() []string {
	self := s.members.Self()
	hosts := usableExcept(s.members.Hosts(), self.ID)
	slices.SortFunc(hosts, func(a, b member.Host) int {
		rank := contactRank(self, a)
		if other := contactRank(self, b); rank != other {
			return cmp.Compare(rank, other)
		}
		if rank <= establishedOtherDomain { // spreads hosts that start together over the established ones
			return cmp.Compare(pairHash(self, a), pairHash(self, b))
		}
		return cmp.Compare(a.Incarnation, b.Incarnation)
	})
	addresses := []string{}
	for _, h := range hosts {
		addresses = append(addresses, h.PeerAddress)
	}
	for _, seed := range s.seeds {
		if seed != self.PeerAddress && !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses[:min(len(addresses), maxContacts)]
}

// Ranks of the hosts that a starting host queries, in order. If a whole failure domain has just
// started, no host in it has the state that a restore of the store has lost. Hosts of other domains
// come early only if they are established, as their replies cross failure domains.
const (
	establishedSameDomain = iota
	establishedOtherDomain
	recentSameDomain
	recentOtherDomain
)

// contactRank returns the rank of another host for this one.
func contactRank(self, other member.Host) int {
	sameDomain := other.FailureDomain == self.FailureDomain
	isEstablished := other.Incarnation+uint64(establishedAge) <= self.Incarnation // incarnations are start times in nanoseconds
	switch {
	case isEstablished && sameDomain:
		return establishedSameDomain
	case isEstablished:
		return establishedOtherDomain
	case sameDomain:
		return recentSameDomain
	}
	return recentOtherDomain
}

// pairHash returns a hash of two host ids, for spreading hosts over peers.
func pairHash(self, other member.Host) uint64 { return xxhash.Sum64String(self.ID + "/" + other.ID) }

// FetchState implements Peers.
func (s *Exchange) FetchState(ctx context.Context, address string, cursor Cursor) (Update, error) {
	requestedAt := s.state.clock.Now()
	req := &peerpb.FollowRequest{}
	encodeRequestRevisions(cursor, req)
	reply, err := peerpb.NewDRPCDiscoveryClient(s.dialer.Conn(ctx, address)).Follow(ctx, req)
	if err != nil {
		return Update{}, Error.New("fetch state of %s: %w", address, err)
	}
	update, err := decodeReply(reply, requestedAt, s.state.clock.Now())
	update.Peer = address
	return update, err
}

// pollRotation is the length of the cycle in which polls without fresh state go to the own
// watchers, other groups' watchers, other hosts of the own group and any host of the fleet.
const pollRotation = 4

// choosePeer returns the host to poll next, and the cursor of its last reply. It is a watching host
// of the own group. While those return no fresh state, the polls rotate over the watching hosts of
// other groups and any other hosts: the store may refuse the own watchers and serve those.
func (s *Exchange) choosePeer() (member.Host, peerCursor, error) {
	own := s.ownGroup()
	s.mu.Lock()
	defer s.mu.Unlock()
	peerHost, ok := s.pickPeer(own)
	if !ok {
		return peerHost, peerCursor{}, Error.New("choose a host to poll: the membership contains no other usable host")
	}
	return peerHost, s.cursors[peerHost.ID], nil
}

// pickPeer chooses the host to poll next. A host without cached state stays in its group, as other
// groups would send it the full state across failure domains. The caller holds the lock.
func (s *Exchange) pickPeer(own *group) (member.Host, bool) {
	self := s.members.Self().ID
	allHosts := usableExcept(s.members.Hosts(), self)
	others := usableExcept(own.ranked[own.watcherCount:], self)
	watchers := usableExcept(own.watchers(), self)
	var otherWatchers []member.Host
	if !s.state.Freshness().IsZero() {
		otherWatchers = s.groups.watchersExcept(own)
	}
	var candidates [][]member.Host // candidates; a host of the first non-empty list is polled
	switch s.stalePolls % pollRotation {
	case 1:
		candidates = [][]member.Host{otherWatchers, others, watchers}
	case 2:
		if len(otherWatchers) > 0 {
			candidates = [][]member.Host{others}
		}
	case pollRotation - 1:
		candidates = [][]member.Host{allHosts}
	}
	for _, hosts := range candidates {
		if len(hosts) > 0 {
			return randomHost(hosts)
		}
	}
	if len(watchers) > 0 {
		return watchers[s.watcherIndex%len(watchers)], true
	}
	return randomHost(slices.Concat(others, allHosts))
}

// usableExcept returns the usable hosts without the one with the id.
func usableExcept(hosts []member.Host, id string) []member.Host {
	out := make([]member.Host, 0, len(hosts))
	for _, h := range hosts {
		if h.ID != id && h.Usable() {
			out = append(out, h)
		}
	}
	return out
}

// randomHost returns a random host, false if there is none.
func randomHost(hosts []member.Host) (member.Host, bool) {
	if len(hosts) == 0 {
		return member.Host{}, false
	}
	return hosts[rand.IntN(len(hosts))], true
}

// noteReply records the reply of a host, nil if the poll failed.
func (s *Exchange) noteReply(peerID string, r *peerpb.FollowReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r != nil {
		s.cursors[peerID] = peerCursor{
			findingEpoch: r.FindingEpoch, findingNumber: r.FindingNumber, permitNumber: r.PermitNumber, keptNumber: r.KeptNumber,
			requests: quarantine.Mark{Epoch: r.RequestEpoch, Number: r.RequestNumber},
		}
	}
	if r != nil && s.isFresh(r.ConfigAgeUs) && s.isFresh(r.RegistryAgeUs) && s.hasFreshOptions(r) {
		s.stalePolls = 0
		return
	}
	s.stalePolls++
	s.watcherIndex++
}

// hasFreshOptions reports whether a reply has fresh state of those kinds that this host follows only with some settings.
func (s *Exchange) hasFreshOptions(r *peerpb.FollowReply) bool {
	evacuations := !s.cfg.followsEvacuations() || s.isFresh(r.EvacuationsAgeUs)
	return evacuations && (!s.cfg.FollowRollouts || r.RolloutRevision > 0 && s.isFresh(r.RolloutsAgeUs))
}

// isFresh reports whether state of an age makes a read of the store unnecessary.
func (s *Exchange) isFresh(ageUs int64) bool {
	return ageUs >= 0 && time.Duration(ageUs)*time.Microsecond <= s.cfg.staleAfter()
}

// SendFindings sends the findings of this host to all watching hosts, which pass them on.
func (s *Exchange) SendFindings(ctx context.Context, findings []Finding) {
	for _, w := range s.currentGroups().allWatchers() {
		if w.ID == s.members.Self().ID {
			s.state.publishFindings(findings)
			continue
		}
		// A watching host that misses them detects the problem itself, as the hosts that poll it
		// do.
		_, _ = peerpb.NewDRPCDiscoveryClient(s.dialer.Conn(ctx, w.PeerAddress)).Tell(ctx, &peerpb.Findings{Findings: encodeFindings(findings)})
	}
}

// Tell serves findings, quarantine records and permits sent by a peer, for this host and for those
// that poll it.
func (s *Exchange) Tell(_ context.Context, in *peerpb.Findings) (*peerpb.FindingsNoted, error) {
	if findings := decodeFindings(in.Findings); len(findings) > 0 {
		s.state.publishFindings(findings)
		s.state.deliverFindings(findings)
	}
	s.state.mergeRequests(quarantine.AllFromWire(in.Requests, s.state.clock.Now()))
	s.state.ApplyPermits(decodePermits(in.Permits))
	return &peerpb.FindingsNoted{}, nil
}

// Follow serves a poll of a peer.
func (s *Exchange) Follow(ctx context.Context, in *peerpb.FollowRequest) (*peerpb.FollowReply, error) {
	receivedAt := s.state.clock.Now()
	wait := min(time.Duration(in.WaitUs)*time.Microsecond, maxPollWait)
	cursor := decodeRequestRevisions(in)
	cursor.FindingEpoch, cursor.FindingNumber = in.FindingEpoch, in.FindingNumber
	cursor.PermitNumber, cursor.KeptNumber = in.PermitNumber, in.KeptNumber
	cursor.Requests = quarantine.Mark{Epoch: in.RequestEpoch, Number: in.RequestNumber}
	update := s.state.AwaitUpdate(ctx, cursor, wait)
	reply := encodeReply(update, receivedAt, s.state.clock.Now())
	if config := cmp.Or(update.Config, update.Kept.Config); config != nil {
		text, err := s.encodeConfig(config)
		if err != nil {
			return nil, err
		}
		reply.Config = text
	}
	return reply, nil
}

// Register adds the Discovery service to this host's peer server.
func (s *Exchange) Register(server *peer.Server) error {
	return Error.Wrap(peerpb.DRPCRegisterDiscovery(server, s))
}
