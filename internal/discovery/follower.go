package discovery

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Config tells how the store is followed.
type Config struct {
	// WatchWait is how long one watch waits for a change. A watch may be deaf
	// to changes, so this bounds for how long one is believed.
	WatchWait unit.Duration `json:"watch_wait"`
	// RetryFirst and RetryMost bound the time between failed calls.
	RetryFirst unit.Duration `json:"retry_first"`
	RetryMost  unit.Duration `json:"retry_most"`
}

// Defaults of the settings. A change must be in force on every host within 3 s
// on the strictest deployments: a deaf watch may cost one wait, and the call
// after it one timeout.
const (
	defaultWatchWait  = 1500 * time.Millisecond
	defaultRetryFirst = 50 * time.Millisecond
	defaultRetryMost  = 500 * time.Millisecond
	leastWatchWait    = 100 * time.Millisecond
	mostWatchWait     = 30 * time.Second // longest that the store waits
)

// DefaultConfig returns the settings of a small site.
func DefaultConfig() Config {
	return Config{
		WatchWait:  unit.Duration(defaultWatchWait),
		RetryFirst: unit.Duration(defaultRetryFirst),
		RetryMost:  unit.Duration(defaultRetryMost),
	}
}

// Validate reports every problem of the settings.
func (c Config) Validate() error {
	var problems []error
	if w := c.WatchWait.Std(); w < leastWatchWait || w > mostWatchWait {
		problems = append(problems, Error.New("watch_wait %s: want %s to %s", w, leastWatchWait, mostWatchWait))
	}
	if c.RetryFirst <= 0 || c.RetryMost < c.RetryFirst {
		problems = append(problems, Error.New("retry_first %s, retry_most %s: want more than 0, and the second not below the first", c.RetryFirst, c.RetryMost))
	}
	return errors.Join(problems...)
}

// Follower keeps a State up to date from a Source.
type Follower struct {
	cfg    Config
	source Source
	state  *State
	log    *event.Log

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// NewFollower returns a follower that reads nothing before Start.
func NewFollower(cfg Config, source Source, state *State, log *event.Log) *Follower {
	return &Follower{cfg: cfg, source: source, state: state, log: log}
}

// Start begins to follow and returns at once: the store may be away.
func (f *Follower) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.done.Go(func() { f.run(ctx, "configuration", f.followConfig) })
	f.done.Go(func() { f.run(ctx, "targets", f.followTargets) })
	f.done.Go(func() { f.expire(ctx) })
	return nil
}

// Stop ends following.
func (f *Follower) Stop(ctx context.Context) error {
	f.cancel()
	return await.Group(ctx, &f.done)
}

// run repeats follow, which reads everything and then the changes until it
// fails, with growing pauses while it gets nowhere.
func (f *Follower) run(ctx context.Context, what string, follow func(context.Context, func()) error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = f.cfg.RetryFirst.Std()
	pause.MaxInterval = f.cfg.RetryMost.Std()
	up := false
	reached := func() {
		pause.Reset()
		if !up {
			up = true
			f.log.Event(evStoreReached).Str("what", what).Msg("")
		}
	}
	for ctx.Err() == nil {
		err := follow(ctx, reached)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ErrHistoryGone) {
			f.log.Event(evHistoryGone).Str("what", what).Msg("")
			continue
		}
		if up {
			up = false
			f.log.Event(evStoreLost).Str("what", what).Err(err).Msg("")
		}
		await.Sleep(ctx, pause.NextBackOff())
	}
}

func (f *Follower) followConfig(ctx context.Context, reached func()) error {
	asked := time.Now()
	read, err := f.source.Config(ctx)
	if err != nil {
		return err
	}
	reached()
	f.applyConfig(read, asked)
	for {
		read, err := f.source.WatchConfig(ctx, f.state.ConfigRevision(), f.cfg.WatchWait.Std())
		if err != nil {
			return err
		}
		reached()
		f.applyConfig(read, time.Now())
	}
}

func (f *Follower) applyConfig(read ConfigRead, asOf time.Time) {
	if !f.state.ApplyConfig(read, asOf) {
		return
	}
	f.log.Event(evConfigInForce).Uint64("version", read.Config.Version).Uint64("revision", read.Revision).
		Int("routes", len(read.Config.Routes)).Int("services", len(read.Config.Services)).Msg("")
}

func (f *Follower) followTargets(ctx context.Context, reached func()) error {
	list, err := f.source.Targets(ctx)
	if err != nil {
		return f.targetsFailed(err)
	}
	reached()
	f.logTargets(f.state.ApplyTargets(list, time.Now()), list.Revision)
	for {
		changes, err := f.source.WatchTargets(ctx, f.state.RegistryRevision(), f.cfg.WatchWait.Std())
		if err != nil {
			return f.targetsFailed(err)
		}
		reached()
		f.logTargets(f.state.ApplyChanges(changes, time.Now()), changes.Revision)
	}
}

// targetsFailed notes that the registry can't be read: what it lacks next is
// not gone for sure.
func (f *Follower) targetsFailed(err error) error {
	if !errors.Is(err, ErrHistoryGone) {
		f.state.Outage(time.Now())
	}
	return err
}

func (f *Follower) logTargets(changes []TargetChange, revision uint64) {
	for _, c := range changes {
		if c.Gone {
			f.log.Event(evTargetGone).Str("target", c.Target.ID).Str("service", c.Target.Service).Uint64("revision", revision).Msg("")
			continue
		}
		f.log.Event(evTargetKnown).Str("target", c.Target.ID).Str("service", c.Target.Service).
			Str("address", c.Target.Address).Str("failure_domain", c.Target.Domain).
			Bool("draining", c.Target.Draining).Uint64("revision", revision).Msg("")
	}
}

// expireEvery is the time between two looks at targets that went missing.
const expireEvery = 200 * time.Millisecond

func (f *Follower) expire(ctx context.Context) {
	for await.Sleep(ctx, expireEvery) {
		f.logTargets(f.state.Expire(time.Now()), f.state.RegistryRevision())
	}
}
