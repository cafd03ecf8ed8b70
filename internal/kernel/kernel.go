// Package kernel builds, starts and stops the modules of a host process in
// dependency order: a module starts after its dependencies and stops before
// them. Modules look each other up by name. The kernel knows nothing of what
// the modules do; package host registers those of a host. Begin reading at
// Module and Kernel; Lifecycle holds the state that readiness is derived from.
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

// Factory constructs a module. It looks up the module's dependencies with Find
// and must not start anything.
type Factory func(f Finder) (Module, error)

// Kernel manages the modules of one host. Its methods must not be called
// concurrently.
type Kernel struct {
	lifecycle    *Lifecycle
	log          *event.Log
	stopTimeout  time.Duration
	injector     *do.RootScope
	names        []string            // in registration order
	deps         map[string][]string // dependencies by module name
	problems     []error             // found by Register, returned by Build
	built        []namedModule       // constructed modules, dependencies first
	startedCount int                 // number of modules in built that are running
}

type namedModule struct {
	name   string
	module Module
}

// New returns a kernel without modules. stopTimeout limits how long Stop waits
// for each module.
func New(lifecycle *Lifecycle, stopTimeout time.Duration, log *event.Log) *Kernel {
	return &Kernel{
		lifecycle:   lifecycle,
		log:         log,
		stopTimeout: stopTimeout,
		injector:    do.New(),
		deps:        map[string][]string{},
	}
}

// Register adds a module under a unique name. deps are the names of the modules
// that its factory may look up and that start before it; they may be registered
// later. Build returns an error for a name that is registered twice.
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

// construct constructs the dependencies of a module, then the module. Modules
// start in the order in which their construction completes.
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

// Build constructs every module and starts none. The error names each module
// registered twice and each unknown dependency or, if there are none, the
// modules of a dependency cycle or the module whose factory failed.
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

// Start starts the modules, each after its dependencies, and then sets the state
// to Ready. If a module fails to start, those already started are stopped in
// reverse order, and the errors of both the start and the stops are returned.
func (k *Kernel) Start(ctx context.Context) error {
	for _, m := range k.built[k.startedCount:] {
		began := time.Now()
		if err := m.module.Start(ctx); err != nil {
			k.log.Event(evModuleStartFailed).Str("module", m.name).Err(err).Msg("")
			err = fmt.Errorf("start module %q: %w", m.name, err)
			return Error.Wrap(errors.Join(err, k.Stop(context.WithoutCancel(ctx))))
		}
		k.startedCount++
		k.log.Event(evModuleStarted).Str("module", m.name).Dur("took", time.Since(began)).Msg("")
	}
	k.Advance(Ready)
	return nil
}

// Stop stops the started modules, each before its dependencies. If a module
// fails or exceeds the stop timeout, the remaining modules are still stopped;
// all errors are returned.
func (k *Kernel) Stop(ctx context.Context) error {
	k.Advance(Leaving)
	var problems []error
	for k.startedCount > 0 {
		k.startedCount--
		if err := k.stop(ctx, k.built[k.startedCount]); err != nil {
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

// returnGrace is how long the kernel waits for a module's Stop to return after
// its deadline has passed, so that the module's own error is reported instead
// of the kernel's timeout error.
const returnGrace = 100 * time.Millisecond

// awaitReturn waits up to returnGrace for the Stop of a module whose deadline
// has passed, and otherwise returns a timeout error.
func awaitReturn(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-time.After(returnGrace):
		return fmt.Errorf("module did not stop before its deadline and was abandoned: %w", ctx.Err())
	}
}

// Advance moves the host to a later lifecycle state and logs the change.
func (k *Kernel) Advance(s State) {
	if k.lifecycle.Advance(s) {
		k.log.Event(evStateChanged).Str("state", s.String()).Msg("")
	}
}

// Finder looks up modules by name on behalf of one factory.
type Finder struct {
	injector do.Injector
	module   string
	deps     []string
}

// Find returns the module registered under name, as a T. The module under
// construction must have declared it as a dependency, which guarantees that it
// starts first.
func Find[T any](f Finder, name string) (T, error) {
	var zero T
	if !slices.Contains(f.deps, name) {
		return zero, Error.New("module %q finds %q, which is not among its dependencies", f.module, name)
	}
	m, err := do.InvokeNamed[Module](f.injector, name)
	if err != nil {
		return zero, Error.Wrap(err)
	}
	found, ok := m.(T)
	if !ok {
		return zero, Error.New("module %q finds %q as %T, but it is %T", f.module, name, &zero, m)
	}
	return found, nil
}
