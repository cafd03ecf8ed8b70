package objstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	plog "github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"rhubarbwood.example/rhubarbwood/internal/clock"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// fakeRecords implements Records in memory. If nextErr is set, the next call
// fails with it; a write is then not applied.
type fakeRecords struct {
	records   map[objectKey]Record
	changes   []keyedRecord
	revision  uint64
	mu        sync.Mutex // guards nextErr and calls, as several kinds are watched at once
	nextErr   error
	calls     []string
	pageSize  int // records per page; 0: no limit
	now       time.Time
	era       uint64
	afterList func() // called after each list, unless nil
}

type keyedRecord struct {
	kind   string
	record Record
}

func newFake() *fakeRecords { return &fakeRecords{records: map[objectKey]Record{}} }

func (f *fakeRecords) currentRevision() revision.Revision {
	return revision.Revision{Era: f.era, Number: f.revision}
}

func (f *fakeRecords) recordCall(call string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, call)
	err := f.nextErr
	f.nextErr = nil
	return err
}

func (f *fakeRecords) Get(_ context.Context, kind, name string) (Record, error) {
	if err := f.recordCall("get"); err != nil {
		return Record{}, err
	}
	r, ok := f.records[objectKey{kind, name}]
	if !ok {
		return Record{}, ErrNotFound
	}
	return r, nil
}

func (f *fakeRecords) List(_ context.Context, kind, after string) (RecordPage, error) {
	p := RecordPage{Revision: f.currentRevision()}
	if f.afterList != nil {
		defer f.afterList()
	}
	if err := f.recordCall("list"); err != nil {
		return p, err
	}
	for _, name := range []string{"a", "b", "c"} {
		r, ok := f.records[objectKey{kind, name}]
		if !ok || name <= after {
			continue
		}
		if f.pageSize > 0 && len(p.Records) == f.pageSize {
			p.More = true
			break
		}
		p.Records = append(p.Records, r)
	}
	return p, nil
}

func (f *fakeRecords) Watch(_ context.Context, kind string, after revision.Revision, _ time.Duration) (RecordPage, error) {
	p := RecordPage{Revision: f.currentRevision()}
	for _, c := range f.changes {
		if c.kind == kind && after.Before(c.record.Revision) {
			p.Records = append(p.Records, c.record)
		}
	}
	return p, f.recordCall("watch")
}

func (f *fakeRecords) Create(_ context.Context, kind, name string, spec json.RawMessage) (Record, error) {
	if err := f.recordCall("create"); err != nil {
		return Record{}, err
	}
	if r, ok := f.records[objectKey{kind, name}]; ok {
		return Record{}, &RecordConflict{Current: r}
	}
	return f.set(kind, name, spec), nil
}

func (f *fakeRecords) Replace(_ context.Context, kind, name string, revision uint64, spec json.RawMessage) (Record, error) {
	if err := f.recordCall("replace"); err != nil {
		return Record{}, err
	}
	if r := f.records[objectKey{kind, name}]; r.Revision.Number != revision {
		return Record{}, &RecordConflict{Current: r}
	}
	return f.set(kind, name, spec), nil
}

func (f *fakeRecords) ReplaceStatus(_ context.Context, kind, name string, revision uint64, status json.RawMessage) (Record, error) {
	if err := f.recordCall("replace status"); err != nil {
		return Record{}, err
	}
	r := f.records[objectKey{kind, name}]
	if r.Revision.Number != revision {
		return Record{}, &RecordConflict{Current: r}
	}
	f.revision++
	r.Revision, r.Status = f.currentRevision(), status
	f.records[objectKey{kind, name}] = r
	f.changes = append(f.changes, keyedRecord{kind, r})
	return r, nil
}

func (f *fakeRecords) Delete(_ context.Context, kind, name string, revision uint64) error {
	if err := f.recordCall("delete"); err != nil {
		return err
	}
	r := f.records[objectKey{kind, name}]
	if r.Revision.Number != revision {
		return &RecordConflict{Current: r}
	}
	f.revision++
	r.Revision, r.Deleted = f.currentRevision(), true
	f.changes = append(f.changes, keyedRecord{kind, r})
	delete(f.records, objectKey{kind, name})
	return nil
}

func (f *fakeRecords) set(kind, name string, spec json.RawMessage) Record {
	f.revision++
	r, ok := f.records[objectKey{kind, name}]
	if !ok {
		r = Record{Name: name, Created: f.currentRevision()}
	}
	r.Revision, r.Spec = f.currentRevision(), spec
	f.records[objectKey{kind, name}] = r
	f.changes = append(f.changes, keyedRecord{kind, r})
	return r
}

func (f *fakeRecords) Hosts(context.Context) ([]ListedHost, error) { return nil, f.recordCall("hosts") }
func (f *fakeRecords) Now() (time.Time, bool)                      { return f.now, !f.now.IsZero() }
func (f *fakeRecords) Era() uint64                                 { return f.era }
func (f *fakeRecords) Close()                                      {}

func govern(f *fakeRecords) *LimitedRecords {
	return NewLimitedRecords(DefaultConfig(), f, event.Discard(), prometheus.NewRegistry())
}

func TestCallsAreCountedByResult(t *testing.T) {
	for want, err := range map[string]error{
		resultOK:          nil,
		resultNotFound:    ErrNotFound,
		resultCompacted:   ErrCompacted,
		resultConflict:    &RecordConflict{},
		resultUnavailable: &Unavailable{Cause: errors.New("refused")},
		resultUnanswered:  &Unanswered{Cause: errors.New("cut")},
	} {
		t.Run(want, func(t *testing.T) {
			is := is.New(t)
			f := newFake()
			f.nextErr = err
			g := govern(f)
			_, got := g.Create(t.Context(), "k", "a", json.RawMessage(`{}`))
			is.Equal(got, err)
			is.Equal(testutil.ToFloat64(g.metrics.calls.WithLabelValues(verbPut, want)), 1.0)
		})
	}
}

// TestNoTokenIsUnavailable empties the token bucket. The next call would wait for
// longer than its timeout, so it fails at once and is not sent.
func TestNoTokenIsUnavailable(t *testing.T) {
	is := is.New(t)
	f := newFake()
	g := govern(f)
	g.limiter.SetLimit(0.001)
	g.limiter.SetBurst(1)
	_, err := g.Create(t.Context(), "k", "a", json.RawMessage(`{}`))
	is.NoErr(err)
	_, err = g.Create(t.Context(), "k", "b", json.RawMessage(`{}`))
	is.Equal(resultOf(err), resultUnavailable)
	is.Equal(len(f.calls), 1)
}

// TestNowWithoutAPlatformClock has a platform whose responses carry no time. Now
// returns this host's clock after the first response, and nothing before.
func TestNowWithoutAPlatformClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFake()
		g := govern(f)
		opened := time.Now()
		_, ok := g.Now()
		is.True(!ok)
		f.nextErr = &Unavailable{Cause: errors.New("refused")}
		_, _ = g.List(t.Context(), "k", "")
		_, ok = g.Now()
		is.True(!ok) // no response yet
		_, err := g.List(t.Context(), "k", "")
		is.NoErr(err)
		time.Sleep(time.Minute)
		now, ok := g.Now()
		is.True(ok)
		is.Equal(now.Sub(opened), time.Minute)
		f.now = opened.Add(time.Hour)
		now, _ = g.Now()
		is.Equal(now, f.now) // the platform's clock takes precedence
	})
}

// TestTimeGoesOnWhileTheMachineIsSuspended checks that Now includes the time for which the machine was suspended. Otherwise a
// resumed host would consider the expired leases of other hosts still valid.
func TestTimeGoesOnWhileTheMachineIsSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := govern(newFake())
		machine, suspend := clock.NewVirtual()
		g.SetClock(machine)
		_, err := g.List(t.Context(), "k", "")
		is.NoErr(err)
		before, ok := g.Now()
		is.True(ok)
		suspend(time.Minute)
		after, _ := g.Now()
		is.Equal(after.Sub(before), time.Minute)
	})
}

func TestValidateReportsEveryProblem(t *testing.T) {
	is := is.New(t)
	good := DefaultConfig()
	good.Addresses = []string{"127.0.0.1:1"}
	is.NoErr(good.Validate())
	bad := Config{Addresses: []string{"nowhere"}, Timeout: -1}
	problems := strings.Split(bad.Validate().Error(), "\n")
	is.Equal(len(problems), 4) // address, timeout, rate, burst
	is.Equal(len(strings.Split(Config{}.Validate().Error(), "\n")), 4)
}

func TestErasAreLoggedOnce(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	f := newFake()
	g := NewLimitedRecords(DefaultConfig(), f, event.New(&out, plog.InfoLevel, "host"), prometheus.NewRegistry())
	read := func(era uint64) {
		f.era = era
		_, _ = g.Get(t.Context(), "k", "n")
	}
	for _, era := range []uint64{0, 0, 1, 1, 2, 2, 4} {
		read(era)
	}
	is.Equal(strings.Count(out.String(), `"name":"platform_era"`), 1)
	is.Equal(strings.Count(out.String(), `"name":"platform_restored"`), 3)
	is.True(strings.Contains(out.String(), `"before":0,"era":1`)) // a change from era 0 also counts as a restore
	is.True(strings.Contains(out.String(), `"before":2,"era":4,"verb":"get"`))
}
