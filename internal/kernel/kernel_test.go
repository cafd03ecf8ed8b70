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

type part struct {
	name     string
	journal  *[]string
	startErr error
	stopErr  error
	hang     bool
}

func (p *part) Start(context.Context) error {
	*p.journal = append(*p.journal, "start "+p.name)
	return p.startErr
}

func (p *part) Stop(context.Context) error {
	if p.hang {
		time.Sleep(time.Hour)
	}
	*p.journal = append(*p.journal, "stop "+p.name)
	return p.stopErr
}

func of(m Module) Factory { return func(Finder) (Module, error) { return m, nil } }

func newKernel() *Kernel { return New(NewLifecycle(), time.Second, event.Discard()) }

func TestStartsInDependencyOrderAndStopsInReverse(t *testing.T) {
	is := is.New(t)
	var journal []string
	k := newKernel()
	k.Register("entry", func(f Finder) (Module, error) {
		relay, err := Find[*part](f, "relay")
		is.NoErr(err)
		is.Equal(relay.name, "relay")
		return &part{name: "entry", journal: &journal}, nil
	}, "relay", "store")
	k.Register("relay", of(&part{name: "relay", journal: &journal}), "store")
	k.Register("store", of(&part{name: "store", journal: &journal}))

	is.NoErr(k.Build())
	is.Equal(k.life.State(), Starting)
	is.NoErr(k.Start(t.Context()))
	is.Equal(k.life.State(), Ready)
	is.NoErr(k.Stop(t.Context()))
	is.Equal(k.life.State(), Stopped)
	is.Equal(journal, []string{
		"start store", "start relay", "start entry", "stop entry", "stop relay", "stop store",
	})
}

func TestPartialStartIsRolledBack(t *testing.T) {
	is := is.New(t)
	var journal []string
	full, broken := errors.New("disk full"), errors.New("bad stop")
	k := newKernel()
	k.Register("a", of(&part{name: "a", journal: &journal, stopErr: broken}))
	k.Register("b", of(&part{name: "b", journal: &journal, startErr: full}), "a")
	k.Register("c", of(&part{name: "c", journal: &journal}), "b")

	is.NoErr(k.Build())
	err := k.Start(t.Context())
	is.True(errors.Is(err, full))
	is.True(errors.Is(err, broken)) // the error of the roll-back isn't lost
	is.Equal(journal, []string{"start a", "start b", "stop a"})
	is.Equal(k.life.State(), Stopped)
}

func TestStopGoesOnPastErrors(t *testing.T) {
	is := is.New(t)
	var journal []string
	first, second := errors.New("first"), errors.New("second")
	k := newKernel()
	k.Register("a", of(&part{name: "a", journal: &journal, stopErr: first}))
	k.Register("b", of(&part{name: "b", journal: &journal, stopErr: second}), "a")
	is.NoErr(k.Build())
	is.NoErr(k.Start(t.Context()))

	err := k.Stop(t.Context())
	is.True(errors.Is(err, first))
	is.True(errors.Is(err, second))
	is.True(slices.Contains(journal, "stop a"))
}

func TestStopLeavesBehindAModuleThatOverruns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var journal []string
		k := newKernel()
		k.Register("a", of(&part{name: "a", journal: &journal}))
		k.Register("slow", of(&part{name: "slow", journal: &journal, hang: true}), "a")
		is.NoErr(k.Build())
		is.NoErr(k.Start(t.Context()))

		began := time.Now()
		err := k.Stop(t.Context())
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.True(strings.Contains(err.Error(), `"slow"`))
		is.Equal(time.Since(began), k.stopTimeout+returnGrace)
		is.Equal(journal[len(journal)-1], "stop a")
		time.Sleep(2 * time.Hour) // let the module end, as the bubble wants
	})
}

func TestBuildNamesFaults(t *testing.T) {
	var journal []string
	any := of(&part{journal: &journal})
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
		"a name taken twice": {
			func(k *Kernel) { k.Register("a", any); k.Register("a", any) },
			[]string{`"a" is registered twice`},
		},
		"a dependency that is found but not named": {
			func(k *Kernel) {
				k.Register("a", any)
				k.Register("b", func(f Finder) (Module, error) { return Find[Module](f, "a") })
			},
			[]string{`"b" finds "a", which is not among its dependencies`},
		},
		"a module of another type": {
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
			is.Equal(len(journal), 0) // nothing was started
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
