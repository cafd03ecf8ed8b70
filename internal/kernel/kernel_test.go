package kernel

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

// fakeModule records the calls of its Start and Stop in a shared list.
type fakeModule struct {
	name       string
	calls      *[]string
	startErr   error
	stopErr    error
	hangOnStop bool
}

func (p *fakeModule) Start(context.Context) error {
	*p.calls = append(*p.calls, "start "+p.name)
	return p.startErr
}

func (p *fakeModule) Stop(context.Context) error {
	if p.hangOnStop {
		time.Sleep(time.Hour)
	}
	*p.calls = append(*p.calls, "stop "+p.name)
	return p.stopErr
}

// factoryOf returns a factory that returns m.
func factoryOf(m Module) Factory { return func(Finder) (Module, error) { return m, nil } }

func newKernel() *Kernel { return New(NewLifecycle(), time.Second, event.Discard()) }

func TestStartsInDependencyOrderAndStopsInReverse(t *testing.T) {
	is := is.New(t)
	var calls []string
	k := newKernel()
	k.Register("entry", func(f Finder) (Module, error) {
		relay, err := Find[*fakeModule](f, "relay")
		is.NoErr(err)
		is.Equal(relay.name, "relay")
		return &fakeModule{name: "entry", calls: &calls}, nil
	}, "relay", "store")
	k.Register("relay", factoryOf(&fakeModule{name: "relay", calls: &calls}), "store")
	k.Register("store", factoryOf(&fakeModule{name: "store", calls: &calls}))

	is.NoErr(k.Build())
	is.Equal(k.lifecycle.State(), Starting)
	is.NoErr(k.Start(t.Context()))
	is.Equal(k.lifecycle.State(), Ready)
	is.NoErr(k.Stop(t.Context()))
	is.Equal(k.lifecycle.State(), Stopped)
	is.Equal(calls, []string{
		"start store", "start relay", "start entry", "stop entry", "stop relay", "stop store",
	})
}

func TestPartialStartIsRolledBack(t *testing.T) {
	is := is.New(t)
	var calls []string
	full, broken := errors.New("disk full"), errors.New("bad stop")
	k := newKernel()
	k.Register("a", factoryOf(&fakeModule{name: "a", calls: &calls, stopErr: broken}))
	k.Register("b", factoryOf(&fakeModule{name: "b", calls: &calls, startErr: full}), "a")
	k.Register("c", factoryOf(&fakeModule{name: "c", calls: &calls}), "b")

	is.NoErr(k.Build())
	err := k.Start(t.Context())
	is.True(errors.Is(err, full))
	is.True(errors.Is(err, broken)) // the error of the roll-back is returned too
	is.Equal(calls, []string{"start a", "start b", "stop a"})
	is.Equal(k.lifecycle.State(), Stopped)
}

func TestStopGoesOnPastErrors(t *testing.T) {
	is := is.New(t)
	var calls []string
	first, second := errors.New("first"), errors.New("second")
	k := newKernel()
	k.Register("a", factoryOf(&fakeModule{name: "a", calls: &calls, stopErr: first}))
	k.Register("b", factoryOf(&fakeModule{name: "b", calls: &calls, stopErr: second}), "a")
	is.NoErr(k.Build())
	is.NoErr(k.Start(t.Context()))

	err := k.Stop(t.Context())
	is.True(errors.Is(err, first))
	is.True(errors.Is(err, second))
	is.True(slices.Contains(calls, "stop a"))
}

func TestStopLeavesBehindAModuleThatOverruns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var calls []string
		k := newKernel()
		k.Register("a", factoryOf(&fakeModule{name: "a", calls: &calls}))
		k.Register("slow", factoryOf(&fakeModule{name: "slow", calls: &calls, hangOnStop: true}), "a")
		is.NoErr(k.Build())
		is.NoErr(k.Start(t.Context()))

		began := time.Now()
		err := k.Stop(t.Context())
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.True(strings.Contains(err.Error(), `"slow"`))
		is.Equal(time.Since(began), k.stopTimeout+returnGrace)
		is.Equal(calls[len(calls)-1], "stop a")
		time.Sleep(2 * time.Hour) // synctest requires all goroutines to end: wait for the hanging Stop
	})
}

func TestBuildNamesFaults(t *testing.T) {
	var calls []string
	any := factoryOf(&fakeModule{calls: &calls})
	tests := map[string]struct {
		register func(k *Kernel)
		want     []string
	}{
		"every unknown dependency": {
			func(k *Kernel) { k.Register("a", any, "x"); k.Register("b", any, "y") },
			[]string{`"a" depends on "x"`, `"b" depends on "y"`},
		},
		"a cycle": {
			func(k *Kernel) { k.Register("a", any, "b"); k.Register("b", any, "c"); k.Register("c", any, "a") },
			[]string{"circular", "`a` -> `b` -> `c` -> `a`"},
		},
		"a name registered twice": {
			func(k *Kernel) { k.Register("a", any); k.Register("a", any) },
			[]string{`"a" is registered twice`},
		},
		"a lookup of an undeclared dependency": {
			func(k *Kernel) {
				k.Register("a", any)
				k.Register("b", func(f Finder) (Module, error) { return Find[Module](f, "a") })
			},
			[]string{`"b" finds "a", which is not among its dependencies`},
		},
		"a lookup with the wrong type": {
			func(k *Kernel) {
				k.Register("a", any)
				k.Register("b", func(f Finder) (Module, error) {
					_, err := Find[interface{ Fly() }](f, "a")
					return nil, err
				}, "a")
			},
			[]string{`finds "a" as`},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k := newKernel()
			test.register(k)
			err := k.Build()
			is.True(err != nil)
			for _, want := range test.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("%q does not contain %q", err, want)
				}
			}
			is.Equal(len(calls), 0) // nothing was started
		})
	}
}

func TestStateNeverGoesBack(t *testing.T) {
	is := is.New(t)
	l := NewLifecycle()
	is.True(l.Advance(Leaving))
	<-l.Leaving()
	is.True(!l.Advance(Ready))
	is.Equal(l.State(), Leaving)
	is.True(l.Advance(Stopped))
}
