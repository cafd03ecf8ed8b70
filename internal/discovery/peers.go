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

// longestHold bounds how long a peer's request for news is held.
const longestHold = 30 * time.Second

// Spread is the exchange of beliefs between hosts: the Peers of a Follower,
// and the server of the Discovery calls of others.
type Spread struct {
	cfg     Config
	members member.View
	dialer  peer.Dialer
	state   *State
	seeds   []string // addresses of hosts that may not be known yet

	met atomic.Bool // another host was known

	mu     sync.Mutex
	turn   int // which of the watchers is asked
	misses int // questions in a row that brought nothing new enough
	// heard is the last findings and changes that each watcher told.
	heard map[string]heardMark
	// groups are made anew with each generation of the membership.
	groups     *groups
	generation uint64
	// contacts are made anew with each generation of the membership.
	contacts   []string
	contactsOf uint64
	encoded    encodedConfig
}

// heardMark names the last finding of one process, its last permit, what it kept last over a restore, and its last change
// of what is held against requests.
type heardMark struct {
	epoch, number uint64
	permits       uint64
	kept          uint64
	requests      quarantine.Mark
}

var _ Peers = (*Spread)(nil)

// NewSpread returns the exchange over the members.
func NewSpread(cfg Config, members member.View, dialer peer.Dialer, state *State) *Spread {
	// Hosts start with different watchers, so that these share the rest.
	turn := int(xxhash.Sum64String(members.Self().ID) % mostWatchers)
	return &Spread{cfg: cfg, members: members, dialer: dialer, state: state, turn: turn, heard: map[string]heardMark{}}
}

// AskFirst sets addresses of hosts to ask at the start that may not be known yet. It is to be called before the exchange is used.
func (s *Spread) AskFirst(seeds []string) { s.seeds = seeds }

// divided returns the groups of the fleet as this host sees it.
func (s *Spread) divided() *groups {
	generation := s.members.Generation()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.groups == nil || s.generation != generation {
		s.groups = divide(s.members.Hosts(), s.cfg.HostsPerWatcher)
		s.generation = generation
	}
	return s.groups
}

// own returns the group of this host.
func (s *Spread) own() *group { return s.divided().of(s.members.Self()) }

// Watches implements Peers.
func (s *Spread) Watches() bool { return s.own().watches(s.members.Self().ID) }

// Turn implements Peers.
func (s *Spread) Turn() int { return s.own().turn(s.members.Self().ID) }

// TurnFor returns how many of the hosts that watch the store come before this one in what belongs to a key;
// false if this one does not watch it.
func (s *Spread) TurnFor(key string) (turn int, watches bool) {
	self := s.members.Self().ID
	drawn := func(id string) uint64 { return xxhash.Sum64String(key + "/" + id) }
	for _, w := range s.divided().allWatchers() {
		switch {
		case w.ID == self:
			watches = true
		case drawn(w.ID) < drawn(self):
			turn++
		}
	}
	return turn, watches
}

// Hosts implements Peers.
func (s *Spread) Hosts() int { return s.members.Count() }

// Isolated implements Peers.
func (s *Spread) Isolated() bool {
	others := len(except(s.members.Hosts(), s.members.Self().ID))
	if others > 0 {
		s.met.Store(true)
	}
	return others == 0 && s.met.Load()
}

// News implements Peers. After a failure, or old news, another watcher is asked
// next.
func (s *Spread) News(ctx context.Context, than Known, wait time.Duration) (News, error) {
	from, heard, err := s.choose()
	if err != nil {
		return News{}, err
	}
	asked := s.state.clock.Now()
	req := &peerpb.FollowRequest{
		WaitUs: wait.Microseconds(), PermitNumber: heard.permits, KeptNumber: heard.kept,
		FindingEpoch: heard.epoch, FindingNumber: heard.number,
		RequestEpoch: heard.requests.Epoch, RequestNumber: heard.requests.Number,
	}
	writeKnown(than, req)
	reply, err := peerpb.NewDRPCDiscoveryClient(s.dialer.Conn(ctx, from.Peer)).Follow(ctx, req)
	if err != nil {
		s.noteReply(from.ID, nil)
		return News{}, Error.New("ask %s for news: %w", from.ID, err)
	}
	s.noteReply(from.ID, reply)
	news, err := readReply(reply, asked, s.state.clock.Now())
	news.From = from.ID
	return news, err
}

// Contacts implements Peers: hosts that have run for long, of the own failure domain before others, then those that have not, then
// the seeds that may be others still.
func (s *Spread) Contacts() []string {
	generation := s.members.Generation()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.contacts == nil || s.contactsOf != generation {
		s.contacts, s.contactsOf = s.chooseContacts(), generation
	}
	return s.contacts
}

func (s *Spread) chooseContacts() []string {
	self := s.members.Self()
	known := except(s.members.Hosts(), self.ID)
	slices.SortFunc(known, func(a, b member.Host) int {
		rank := contactRank(self, a)
		if other := contactRank(self, b); rank != other {
			return cmp.Compare(rank, other)
		}
		if rank <= elderElsewhere { // those that start together divide over them
			return cmp.Compare(drawn(self, a), drawn(self, b))
		}
		return cmp.Compare(a.Incarnation, b.Incarnation)
	})
	all := []string{}
	for _, h := range known {
		all = append(all, h.Peer)
	}
	for _, seed := range s.seeds {
		if seed != self.Peer && !slices.Contains(all, seed) {
			all = append(all, seed)
		}
	}
	return all[:min(len(all), mostContacts)]
}

// Ranks of the hosts that one which starts asks, in the order in which it does. Where a whole failure domain has started anew nobody in it
// knows what a restore of the store has lost. Hosts elsewhere are asked first only if they have run for long: their answers cross failure
// domains.
const (
	elderNearby = iota
	elderElsewhere
	youngNearby
	youngElsewhere
)

func contactRank(self, other member.Host) int {
	isNearby := other.FailureDomain == self.FailureDomain
	hasRunForLong := other.Incarnation+uint64(establishedAge) <= self.Incarnation // a time of day each, in nanoseconds
	switch {
	case hasRunForLong && isNearby:
		return elderNearby
	case hasRunForLong:
		return elderElsewhere
	case isNearby:
		return youngNearby
	}
	return youngElsewhere
}

// drawn returns a number that is drawn once for two hosts.
func drawn(self, other member.Host) uint64 { return xxhash.Sum64String(self.ID + "/" + other.ID) }

// Recall implements Peers.
func (s *Spread) Recall(ctx context.Context, address string, than Known) (News, error) {
	asked := s.state.clock.Now()
	req := &peerpb.FollowRequest{}
	writeKnown(than, req)
	reply, err := peerpb.NewDRPCDiscoveryClient(s.dialer.Conn(ctx, address)).Follow(ctx, req)
	if err != nil {
		return News{}, Error.New("ask %s for what it knows: %w", address, err)
	}
	news, err := readReply(reply, asked, s.state.clock.Now())
	news.From = address
	return news, err
}

// anyEvery is after how many questions in a row that brought nothing a host of the
// whole fleet is asked, not of the own group.
const anyEvery = 4

// choose returns the host to ask next, and what it told last: one of the
// own group that watches the store. While those have nothing new the questions go round
// the watchers of other groups and any other hosts: the store may turn the own watchers away
// and serve those.
func (s *Spread) choose() (member.Host, heardMark, error) {
	own := s.own()
	s.mu.Lock()
	defer s.mu.Unlock()
	from, ok := s.pick(own)
	if !ok {
		return from, heardMark{}, Error.New("no other host is known")
	}
	return from, s.heard[from.ID], nil
}

// pick draws the host to ask next. The caller holds the lock. A host that knows nothing
// keeps to its group: those of others would tell it everything across failure domains.
func (s *Spread) pick(own *group) (member.Host, bool) {
	self := s.members.Self().ID
	anyHost := except(s.members.Hosts(), self)
	others := except(own.ranked[own.watching:], self)
	watchers := except(own.watchers(), self)
	var elsewhere []member.Host
	if !s.state.Freshness().IsZero() {
		elsewhere = s.groups.watchersBut(own)
	}
	var order [][]member.Host // whom to ask, the first that is not empty
	switch s.misses % anyEvery {
	case 1:
		order = [][]member.Host{elsewhere, others, watchers}
	case 2:
		if len(elsewhere) > 0 {
			order = [][]member.Host{others}
		}
	case anyEvery - 1:
		order = [][]member.Host{anyHost}
	}
	for _, hosts := range order {
		if len(hosts) > 0 {
			return anyOf(hosts)
		}
	}
	if len(watchers) > 0 {
		return watchers[s.turn%len(watchers)], true
	}
	return anyOf(slices.Concat(others, anyHost))
}

// except returns the usable hosts but the one with the id.
func except(hosts []member.Host, id string) []member.Host {
	out := make([]member.Host, 0, len(hosts))
	for _, h := range hosts {
		if h.ID != id && h.Usable() {
			out = append(out, h)
		}
	}
	return out
}

// anyOf draws one host; false if there is none.
func anyOf(hosts []member.Host) (member.Host, bool) {
	if len(hosts) == 0 {
		return member.Host{}, false
	}
	return hosts[rand.IntN(len(hosts))], true
}

// noteReply notes what a host answered, nil if it did not.
func (s *Spread) noteReply(from string, r *peerpb.FollowReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r != nil {
		s.heard[from] = heardMark{
			epoch: r.FindingEpoch, number: r.FindingNumber, permits: r.PermitNumber, kept: r.KeptNumber,
			requests: quarantine.Mark{Epoch: r.RequestEpoch, Number: r.RequestNumber},
		}
	}
	if r != nil && s.fresh(r.ConfigAgeUs) && s.fresh(r.RegistryAgeUs) && (!s.cfg.followsEvacuations() || s.fresh(r.EvacuationsAgeUs)) {
		s.misses = 0
		return
	}
	s.misses++
	s.turn++
}

// fresh reports whether an age is one at which the store need not be asked.
func (s *Spread) fresh(ageUs int64) bool {
	return ageUs >= 0 && time.Duration(ageUs)*time.Microsecond <= s.cfg.staleAfter()
}

// TellFindings tells what this host has judged to the hosts that others follow.
func (s *Spread) TellFindings(ctx context.Context, all []Finding) {
	for _, w := range s.divided().allWatchers() {
		if w.ID == s.members.Self().ID {
			s.state.spreadFindings(all)
			continue
		}
		// A watcher that misses them learns by itself, as its followers do.
		_, _ = peerpb.NewDRPCDiscoveryClient(s.dialer.Conn(ctx, w.Peer)).Tell(ctx, &peerpb.Findings{Findings: writeFindings(all)})
	}
}

// Tell takes the findings of a peer, for this host and those that follow it.
func (s *Spread) Tell(_ context.Context, in *peerpb.Findings) (*peerpb.FindingsNoted, error) {
	if all := readFindings(in.Findings); len(all) > 0 {
		s.state.spreadFindings(all)
		s.state.learn(all)
	}
	s.state.mergeRequests(quarantine.AllFromWire(in.Requests, s.state.clock.Now()))
	s.state.ApplyPermits(readPermits(in.Permits))
	return &peerpb.FindingsNoted{}, nil
}

// Follow answers a peer.
func (s *Spread) Follow(ctx context.Context, in *peerpb.FollowRequest) (*peerpb.FollowReply, error) {
	began := s.state.clock.Now()
	wait := min(time.Duration(in.WaitUs)*time.Microsecond, longestHold)
	than := readKnown(in)
	than.FindingEpoch, than.FindingNumber = in.FindingEpoch, in.FindingNumber
	than.PermitNumber, than.KeptNumber = in.PermitNumber, in.KeptNumber
	than.Requests = quarantine.Mark{Epoch: in.RequestEpoch, Number: in.RequestNumber}
	news := s.state.AwaitNews(ctx, than, wait)
	reply := writeReply(news, began, s.state.clock.Now())
	if told := cmp.Or(news.Config, news.Kept.Config); told != nil {
		text, err := s.encodeConfig(told)
		if err != nil {
			return nil, err
		}
		reply.Config = text
	}
	return reply, nil
}

// Register adds the Discovery service to the server of this host.
func (s *Spread) Register(server *peer.Server) error {
	return Error.Wrap(peerpb.DRPCRegisterDiscovery(server, s))
}
