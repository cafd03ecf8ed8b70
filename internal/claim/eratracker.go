package claim

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// eraTracker caches the time of first use of each platform era that this host has observed.
//
// The platform may be restored from an older copy that lacks the newest records: a reservation that has run may then
// have no record, or an earlier version of it. Each era of the platform has an object whose creation time is the time
// of first use of the era. The id of every reservation that ran before the restore is older than that time. Therefore
// no attempt with an older id is sent in that era, and the outcome of such a reservation is unknown.
type eraTracker struct {
	store objstore.Store
	log   *event.Log

	mu        sync.Mutex
	firstUsed map[uint64]time.Time // by era; times are by the platform's clock
	latest    time.Time            // the latest of firstUsed
}

func newEraTracker(store objstore.Store, log *event.Log) *eraTracker {
	return &eraTracker{store: store, log: log, firstUsed: map[uint64]time.Time{}}
}

// lossCutoff returns the time of first use of an era: records of reservations with an older id may have been lost. It
// is zero if the platform reports no era.
func (l *eraTracker) lossCutoff(ctx context.Context, era uint64) (time.Time, error) {
	if era == 0 {
		return time.Time{}, nil
	}
	l.mu.Lock()
	at, known := l.firstUsed[era]
	l.mu.Unlock()
	if known {
		return at, nil
	}
	o, err := l.eraRecord(ctx, era)
	if err != nil {
		return time.Time{}, Error.New("read time of first use of era %d: %w", era, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.firstUsed[era] = o.Created
	if o.Created.After(l.latest) {
		l.latest = o.Created
	}
	return o.Created, nil
}

// eraPollInterval is the interval at which a host polls the platform's era. maxEraReadDelay is the longest random delay
// before the host reads the time of first use of a new era; it spreads the reads of all hosts.
const (
	eraPollInterval = time.Second
	maxEraReadDelay = 5 * time.Second
)

// watch reads the time of first use of each new era early, so that few new ids are older than it. Each read is delayed
// by the duration that delay returns.
func (l *eraTracker) watch(ctx context.Context, delay func() time.Duration) {
	for {
		era := l.store.Era()
		l.mu.Lock()
		_, known := l.firstUsed[era]
		l.mu.Unlock()
		if !known && era != 0 {
			if !await.Sleep(ctx, delay()) {
				return
			}
			if _, err := l.lossCutoff(ctx, era); err != nil { // retried on the next poll, and by the next reservation
				l.log.Event(evEraNotRead).Uint64("era", era).Err(err).Msg("")
			}
		}
		if !await.Sleep(ctx, eraPollInterval) {
			return
		}
	}
}

// errEraChanged means that the platform was restored again during the call.
var errEraChanged = errors.New("the platform has changed to another era")

// eraRecord reads the object of an era and creates it if it does not exist.
func (l *eraTracker) eraRecord(ctx context.Context, era uint64) (objstore.Object, error) {
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
		err = errEraChanged
	}
	return o, err
}

// latestCutoff returns the latest time of first use of the eras that this host has observed: records of reservations
// with an older id may have been lost.
func (l *eraTracker) latestCutoff() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latest
}
