package claim

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// The platform may come back from an older copy, without the newest records: a reservation that has run may have none, or an
// earlier one. Each era has an object that tells when it was first used. Whatever ran before a restore has an id that is
// older than that, so no attempt of an older id is sent in that era; what became of it is told as unknown.

// losses are the eras that this host knows, and since when they are used.
type losses struct {
	store objstore.Store
	log   *event.Log

	mu     sync.Mutex
	since  map[uint64]time.Time // by the platform's clock
	newest time.Time
}

func newLosses(store objstore.Store, log *event.Log) *losses {
	return &losses{store: store, log: log, since: map[uint64]time.Time{}}
}

// before returns the time before which records may have been lost, as of an era; the zero time if the platform tells no era.
func (l *losses) before(ctx context.Context, era uint64) (time.Time, error) {
	if era == 0 {
		return time.Time{}, nil
	}
	l.mu.Lock()
	at, known := l.since[era]
	l.mu.Unlock()
	if known {
		return at, nil
	}
	o, err := l.mark(ctx, era)
	if err != nil {
		return time.Time{}, Error.New("read since when era %d is used: %w", era, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.since[era] = o.Created
	if o.Created.After(l.newest) {
		l.newest = o.Created
	}
	return o.Created, nil
}

// lookEvery is the time between two looks at the platform's era, and lookSpread that over which hosts then read since when it
// is used.
const (
	lookEvery  = time.Second
	lookSpread = 5 * time.Second
)

// follow learns since when each era is used, so that few new ids are older than that.
func (l *losses) follow(ctx context.Context) {
	for await.Sleep(ctx, lookEvery) {
		era := l.store.Era()
		l.mu.Lock()
		_, known := l.since[era]
		l.mu.Unlock()
		if known || era == 0 || !await.Sleep(ctx, rand.N(lookSpread)) {
			continue
		}
		if _, err := l.before(ctx, era); err != nil { // it is tried again, also by the next reservation
			l.log.Event(evEraNotRead).Uint64("era", era).Err(err).Msg("")
		}
	}
}

// errEraOver means that the platform came back from an older copy once more.
var errEraOver = errors.New("the platform is in another era")

// mark reads the object of an era, or writes it.
func (l *losses) mark(ctx context.Context, era uint64) (objstore.Object, error) {
	name := strconv.FormatUint(era, 10)
	o, err := l.store.Get(ctx, objstore.KindEra, name)
	if errors.Is(err, objstore.ErrNotFound) {
		o, err = l.store.Put(ctx, objstore.KindEra, name, 0, []byte("{}"))
	}
	var conflict *objstore.Conflict
	if errors.As(err, &conflict) && conflict.Current.Version > 0 {
		o, err = conflict.Current, nil
	}
	if err == nil && o.Era != era {
		err = errEraOver
	}
	return o, err
}

// known returns the newest time before which records may have been lost, as far as this host knows.
func (l *losses) known() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newest
}
