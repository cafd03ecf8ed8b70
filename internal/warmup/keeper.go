package warmup

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/discovery"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/gateway"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/policy"
)

const (
	// storeTimeout bounds one call to the store.
	storeTimeout = time.Second
	// turnStep is the time between two hosts that write the same permit: the first has told it by then.
	turnStep = 250 * time.Millisecond
	// retryAfter is the time between two tries of this host to write a permit.
	retryAfter = 250 * time.Millisecond
	// lookEvery is the time between two looks while targets are cold and have no permit.
	lookEvery = 20 * time.Millisecond
	// mostCalls is how many permits are written at once: those of the targets of a failure domain that
	// are back together are wanted within their warm-up, and the store has other calls to answer.
	mostCalls = 8
)

// Targets are the targets that want a permit.
type Targets interface {
	// BecameCold tells when a target without a permit becomes cold.
	BecameCold() <-chan struct{}
	// ColdTargets returns those that are.
	ColdTargets() []gateway.ColdTarget
}

// Peers are the hosts that write permits: those that watch the store.
type Peers interface {
	// TurnFor returns how many hosts write what belongs to a key before this one; false if it does not
	// write at all.
	TurnFor(key string) (turn int, writes bool)
	// TellPermits tells permits to these hosts.
	TellPermits(ctx context.Context, all []discovery.Permit)
}

// Keeper writes the permits of cold targets, on the hosts that watch the store. It is a kernel module.
type Keeper struct {
	targets Targets
	peers   Peers
	store   objstore.Store
	state   *discovery.State
	log     *event.Log

	since map[string]time.Time // when a target was first seen to want a permit, or this host last tried to write it

	missing map[string]time.Time // targets of permits in the store that are not registered, and since when

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// NewKeeper returns a keeper that tells the state of the permits that it writes or finds.
func NewKeeper(targets Targets, peers Peers, store objstore.Store, state *discovery.State, log *event.Log) *Keeper {
	return &Keeper{targets: targets, peers: peers, store: store, state: state, log: log, since: map[string]time.Time{}, missing: map[string]time.Time{}}
}

// Start begins to write permits.
func (k *Keeper) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.done.Go(func() { k.run(ctx) })
	return nil
}

// Stop ends that.
func (k *Keeper) Stop(ctx context.Context) error {
	k.cancel()
	return await.Group(ctx, &k.done)
}

func (k *Keeper) run(ctx context.Context) {
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	for {
		select {
		case <-k.targets.BecameCold():
		case <-sweep.C:
			k.sweep(ctx)
			continue
		case <-ctx.Done():
			return
		}
		for wanted := k.targets.ColdTargets(); len(wanted) > 0 && ctx.Err() == nil; wanted = k.targets.ColdTargets() {
			k.writeDue(ctx, wanted)
			await.Sleep(ctx, lookEvery)
		}
		clear(k.since)
	}
}

// writeDue writes the permits whose turn at this host has come.
func (k *Keeper) writeDue(ctx context.Context, wanted []gateway.ColdTarget) {
	var calls errgroup.Group
	calls.SetLimit(mostCalls)
	var mu sync.Mutex
	var got []discovery.Permit
	now := time.Now()
	era, ok := k.state.MayPermit()
	if !ok {
		return
	}
	for _, t := range wanted {
		if !k.due(now, t.ID) {
			continue
		}
		calls.Go(func() error {
			permit, err := k.write(ctx, t, era)
			if err != nil {
				k.log.Event(evNotWritten).Str("target", t.ID).Err(err).Msg("")
				return nil // it is tried again
			}
			mu.Lock()
			defer mu.Unlock()
			got = append(got, permit)
			return nil
		})
	}
	_ = calls.Wait() // it never fails
	if len(got) == 0 {
		return
	}
	k.state.ApplyPermits(got)
	k.tell(ctx, got)
}

// tellTimeout bounds how long permits are told to one host.
const tellTimeout = time.Second

// tell tells the other hosts of permits.
func (k *Keeper) tell(ctx context.Context, all []discovery.Permit) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	k.done.Go(func() {
		defer cancel()
		k.peers.TellPermits(ctx, all)
	})
}

// due reports whether this host is to write the permit of a target now.
func (k *Keeper) due(now time.Time, target string) bool {
	turn, writes := k.peers.TurnFor(target)
	if !writes {
		return false
	}
	from, seen := k.since[target]
	if !seen {
		from = now.Add(time.Duration(turn) * turnStep)
		k.since[target] = from
	}
	if now.Before(from) {
		return false
	}
	k.since[target] = now.Add(retryAfter)
	return true
}

// errNone means that a target bears too little for any host.
var errNone = errors.New("the target bears less than one request a second")

// errLaterEra means that the store came back from an older copy that this host has not heard of yet: other hosts
// may go by a permit that the store has lost.
var errLaterEra = errors.New("the store is in another era than the registry that this host knows")

// write writes the permit of a target, or reads the one that stands, in an era.
func (k *Keeper) write(ctx context.Context, t gateway.ColdTarget, era uint64) (discovery.Permit, error) {
	hosts, each := policy.DivideCold(t.Bound, t.ID, t.Hosts)
	if each == 0 {
		return discovery.Permit{}, Error.Wrap(errNone)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	permit, err := write(ctx, k.store, discovery.Permit{Target: t.ID, Hosts: hosts, Each: each})
	if err != nil {
		return permit, err
	}
	if permit.Era != era {
		return discovery.Permit{}, Error.Wrap(errLaterEra)
	}
	k.log.Event(evPermit).Str("target", t.ID).Strs("hosts", permit.Hosts).Int("each", permit.Each).Msg("")
	return permit, nil
}
