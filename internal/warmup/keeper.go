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
	// writerStagger is the delay between the writes of one permit by two hosts, in which the first host has sent it to
	// the second.
	writerStagger = 250 * time.Millisecond
	// writeRetryDelay is the time between two attempts of this host to write one permit.
	writeRetryDelay = 250 * time.Millisecond
	// pollInterval is the time between two checks while there are cold targets without a permit.
	pollInterval = 20 * time.Millisecond
	// maxConcurrentWrites bounds concurrent writes to the store: targets of a failure domain that restart together need
	// their permits within their warm-up, and the store has other calls to serve.
	maxConcurrentWrites = 8
)

// Targets provides the cold targets that need a permit.
type Targets interface {
	// BecameCold returns a channel that receives when a target without a permit becomes cold.
	BecameCold() <-chan struct{}
	// ColdTargets returns the cold targets without a permit.
	ColdTargets() []gateway.ColdTarget
}

// Peers provides this host's turn among the hosts that write permits, those that watch the store, and sends permits.
type Peers interface {
	// TurnFor returns how many hosts precede this one in writing what belongs to a key; false if this host does not
	// write at all.
	TurnFor(key string) (turn int, writes bool)
	// TellPermits sends permits to the other hosts.
	TellPermits(ctx context.Context, permits []discovery.Permit)
}

// Keeper writes the permits of cold targets, on the hosts that watch the store. It is a kernel module.
type Keeper struct {
	targets Targets
	peers   Peers
	store   objstore.Store
	state   *discovery.State
	log     *event.Log

	nextWrite map[string]time.Time // earliest time of this host's next attempt to write the permit, by target

	unregisteredSince map[string]time.Time // when the target of a stored permit was first found unregistered, by target

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// NewKeeper returns a keeper that applies the permits it writes or finds to state.
func NewKeeper(targets Targets, peers Peers, store objstore.Store, state *discovery.State, log *event.Log) *Keeper {
	return &Keeper{targets: targets, peers: peers, store: store, state: state, log: log, nextWrite: map[string]time.Time{}, unregisteredSince: map[string]time.Time{}}
}

// Start starts writing permits.
func (k *Keeper) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.done.Go(func() { k.run(ctx) })
	return nil
}

// Stop stops writing permits, and waits until the last call has ended.
func (k *Keeper) Stop(ctx context.Context) error {
	k.cancel()
	return await.Group(ctx, &k.done)
}

func (k *Keeper) run(ctx context.Context) {
	sweep := time.NewTicker(sweepInterval)
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
		for cold := k.targets.ColdTargets(); len(cold) > 0 && ctx.Err() == nil; cold = k.targets.ColdTargets() {
			k.writeDue(ctx, cold)
			await.Sleep(ctx, pollInterval)
		}
		clear(k.nextWrite)
	}
}

// writeDue writes the permits for which it is this host's turn.
func (k *Keeper) writeDue(ctx context.Context, cold []gateway.ColdTarget) {
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentWrites)
	var mu sync.Mutex
	var written []discovery.Permit
	now := time.Now()
	era, ok := k.state.PermitEra()
	if !ok {
		return
	}
	for _, t := range cold {
		if !k.due(now, t.ID) {
			continue
		}
		calls.Go(func() error {
			permit, err := k.write(ctx, t, era)
			if err != nil {
				k.log.Event(evNotWritten).Str("target", t.ID).Err(err).Msg("")
				return nil // retried after writeRetryDelay
			}
			mu.Lock()
			defer mu.Unlock()
			written = append(written, permit)
			return nil
		})
	}
	_ = calls.Wait() // the functions return no error
	if len(written) == 0 {
		return
	}
	k.state.ApplyPermits(written)
	k.sendPermits(ctx, written)
}

// sendTimeout bounds sending permits to the other hosts.
const sendTimeout = time.Second

// sendPermits sends permits to the other hosts.
func (k *Keeper) sendPermits(ctx context.Context, permits []discovery.Permit) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	k.done.Go(func() {
		defer cancel()
		k.peers.TellPermits(ctx, permits)
	})
}

// due reports whether this host should write the permit of a target now.
func (k *Keeper) due(now time.Time, target string) bool {
	turn, writes := k.peers.TurnFor(target)
	if !writes {
		return false
	}
	at, seen := k.nextWrite[target]
	if !seen {
		at = now.Add(time.Duration(turn) * writerStagger)
		k.nextWrite[target] = at
	}
	if now.Before(at) {
		return false
	}
	k.nextWrite[target] = now.Add(writeRetryDelay)
	return true
}

// errBoundTooLow means that the target's bound is too low to give any host a request.
var errBoundTooLow = errors.New("the target's bound is less than one request per second")

// errEraMismatch means that the store was restored from an older copy, which this host has not observed yet: other
// hosts may use a permit that the store has lost.
var errEraMismatch = errors.New("the era of the store differs from the era of this host's copy of the registry")

// write writes the permit of a target in an era, or reads the existing one.
func (k *Keeper) write(ctx context.Context, t gateway.ColdTarget, era uint64) (discovery.Permit, error) {
	hosts, each := policy.DivideCold(t.MaxPerSecond, t.ID, t.Hosts)
	if each == 0 {
		return discovery.Permit{}, Error.Wrap(errBoundTooLow)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	permit, err := write(ctx, k.store, discovery.Permit{Target: t.ID, Hosts: hosts, Each: each})
	if err != nil {
		return permit, err
	}
	if permit.Era != era {
		return discovery.Permit{}, Error.Wrap(errEraMismatch)
	}
	k.log.Event(evPermit).Str("target", t.ID).Strs("hosts", permit.Hosts).Int("each", permit.Each).Msg("")
	return permit, nil
}
