package kernel

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/samber/do/v2"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

// Factory makes a module. It finds the modules that it depends on with Find
// and must not start anything.
type Factory func(f Finder) (Module, error)

// Kernel holds the modules of one host. Its methods are for one goroutine.
type Kernel struct {
	life        *Lifecycle
	log         *event.Log
	stopTimeout time.Duration
	injector    *do.RootScope
	names       []string            // as registered
	deps        map[string][]string // by module
	problems    []error             // of Register, reported by Build
	built       []namedModule       // dependencies first
	started     int                 // how many of built have started
}

type namedModule struct {
	name   string
	module Module
}

// New returns a kernel without modules. stopTimeout bounds the stop of each
// module.
func New(life *Lifecycle, stopTimeout time.Duration, log *event.Log) *Kernel {
	return &Kernel{
		life:        life,
		log:         log,
		stopTimeout: stopTimeout,
		injector:    do.New(),
		deps:        map[string][]string{},
	}
}

// Register adds a module under a name that no other module has. deps name the
// modules that it finds and that start before it; they may be registered
// later. A problem is reported by Build.
func (k *Kernel) Register(name string, factory Factory, deps ...string) {
	if _, taken := k.deps[name]; taken {
		k.problems = append(k.problems, Error.New("module %q is registered twice", name))
		return
	}
	k.names = append(k.names, name)
	k.deps[name] = deps
	do.ProvideNamed(k.injector, name, func(i do.Injector) (Module, error) {
		return k.construct(name, factory, i)
	})
}

// construct makes the dependencies of a module, then the module. The order in
// which modules are finished is the order in which they start.
func (k *Kernel) construct(name string, factory Factory, i do.Injector) (Module, error) {
	for _, dep := range k.deps[name] {
		if _, err := do.InvokeNamed[Module](i, dep); err != nil {
			return nil, err
		}
	}
	m, err := factory(Finder{injector: i, module: name, deps: k.deps[name]})
	if err != nil {
		return nil, fmt.Errorf("module %q: %w", name, err)
	}
	k.built = append(k.built, namedModule{name, m})
	return m, nil
}

// Build makes every module and starts none. The error names each module
// registered twice, each unknown dependency, and the modules of a cycle.
func (k *Kernel) Build() error {
	problems := append(k.problems, k.unknownDependencies()...)
	if len(problems) > 0 {
		return Error.Wrap(errors.Join(problems...))
	}
	for _, name := range k.names {
		if _, err := do.InvokeNamed[Module](k.injector, name); err != nil {
			return Error.Wrap(fmt.Errorf("build: %w", err))
		}
	}
	return nil
}

func (k *Kernel) unknownDependencies() []error {
	var problems []error
	for _, name := range k.names {
		for _, dep := range k.deps[name] {
			if _, known := k.deps[dep]; !known {
				problems = append(problems, Error.New("module %q depends on %q, which is not registered", name, dep))
			}
		}
	}
	return problems
}

// Start starts the modules, each after those it depends on, and makes the
// host ready. If one fails, those already started are stopped in reverse
// order and every error is returned.
func (k *Kernel) Start(ctx context.Context) error {
	for _, m := range k.built[k.started:] {
		began := time.Now()
		if err := m.module.Start(ctx); err != nil {
			k.log.Event(evModuleStartFailed).Str("module", m.name).Err(err).Msg("")
			err = fmt.Errorf("start module %q: %w", m.name, err)
			return Error.Wrap(errors.Join(err, k.Stop(context.WithoutCancel(ctx))))
		}
		k.started++
		k.log.Event(evModuleStarted).Str("module", m.name).Dur("took", time.Since(began)).Msg("")
	}
	k.Advance(Ready)
	return nil
}

// Stop stops the started modules, each before those it depends on. A module
// that fails or overruns the stop timeout doesn't keep the others from
// stopping; every error is returned.
func (k *Kernel) Stop(ctx context.Context) error {
	k.Advance(Leaving)
	var problems []error
	for k.started > 0 {
		k.started--
		if err := k.stop(ctx, k.built[k.started]); err != nil {
			problems = append(problems, err)
		}
	}
	k.Advance(Stopped)
	return Error.Wrap(errors.Join(problems...))
}

func (k *Kernel) stop(ctx context.Context, m namedModule) error {
	ctx, cancel := context.WithTimeout(ctx, k.stopTimeout)
	defer cancel()
	began := time.Now()
	done := make(chan error, 1)
	go func() { done <- m.module.Stop(ctx) }()

	var err error
	select {
	case err = <-done:
	case <-ctx.Done():
		err = awaitReturn(ctx, done)
	}
	if err != nil {
		k.log.Event(evModuleStopFailed).Str("module", m.name).Err(err).Dur("took", time.Since(began)).Msg("")
		return fmt.Errorf("stop module %q: %w", m.name, err)
	}
	k.log.Event(evModuleStopped).Str("module", m.name).Dur("took", time.Since(began)).Msg("")
	return nil
}

// returnGrace is how long a module may take to return once its stop deadline
// has passed, so that its own error is reported rather than ours.
const returnGrace = 100 * time.Millisecond

// awaitReturn gives a module that has overrun its deadline a last moment to
// return.
func awaitReturn(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-time.After(returnGrace):
		return fmt.Errorf("still stopping, left behind: %w", ctx.Err())
	}
}

// Advance moves the host's state and logs the change.
func (k *Kernel) Advance(s State) {
	if k.life.Advance(s) {
		k.log.Event(evStateChanged).Str("state", s.String()).Msg("")
	}
}

// Finder finds modules by name for a factory.
type Finder struct {
	injector do.Injector
	module   string
	deps     []string
}

// Find returns the module with this name as a T. The factory's module must
// have named it as a dependency, so that the start order is known to be right.
func Find[T any](f Finder, name string) (T, error) {
	var none T
	if !slices.Contains(f.deps, name) {
		return none, Error.New("module %q finds %q, which is not among its dependencies", f.module, name)
	}
	m, err := do.InvokeNamed[Module](f.injector, name)
	if err != nil {
		return none, Error.Wrap(err)
	}
	found, ok := m.(T)
	if !ok {
		return none, Error.New("module %q finds %q as %T, but it is %T", f.module, name, &none, m)
	}
	return found, nil
}
