package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

const (
	// storeTimeout bounds one call to the store.
	storeTimeout = 2 * time.Second
	// storeFirst and storeMost bound the time between tries to write a record.
	storeFirst = 100 * time.Millisecond
	storeMost  = 2 * time.Second
	// mostUnstored is how many records may wait to be written. More are left to the
	// hosts' memory.
	mostUnstored = 64
)

// Keeper keeps the requests in quarantine in the store, for hosts that start when no other
// host can tell them: a loss of all hosts would else let each such request end targets anew. It
// is a kernel module.
type Keeper struct {
	table *Table
	store objstore.Store
	log   *event.Log

	changed chan Key
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// NewKeeper returns the keeper of a table.
func NewKeeper(t *Table, store objstore.Store, log *event.Log) *Keeper {
	k := &Keeper{table: t, store: store, log: log, changed: make(chan Key, mostUnstored)}
	t.onOwn = func(key Key) {
		select {
		case k.changed <- key:
		default:
		}
	}
	return k
}

// Start begins to write what this host finds.
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

// expireEvery is the time between two looks at what has lapsed; that takes a day.
const expireEvery = time.Minute

func (k *Keeper) run(ctx context.Context) {
	expire := time.NewTicker(expireEvery)
	defer expire.Stop()
	for {
		select {
		case <-expire.C:
			k.table.Expire()
		case key := <-k.changed:
			k.keep(ctx, key)
		case <-ctx.Done():
			return
		}
	}
}

// keep writes what is held against one key until it is written.
func (k *Keeper) keep(ctx context.Context, key Key) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = storeFirst, storeMost
	for ctx.Err() == nil {
		record, ok := k.table.knownOf(key)
		if !ok {
			return // it was pushed out, or lapsed
		}
		err := k.write(ctx, record)
		if err == nil {
			k.log.Event(evStored).Str("content", key.Content()).Int("strikes", len(record.Strikes)).Msg("")
			return
		}
		k.log.Event(evNotStored).Str("content", key.Content()).Err(err).Msg("")
		await.Sleep(ctx, pause.NextBackOff())
	}
}

// write writes a record over the one that stands, with what that holds.
func (k *Keeper) write(ctx context.Context, r Record) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := Put(ctx, k.store, 0, r)
	var conflict *objstore.Conflict
	if !errors.As(err, &conflict) || conflict.Current.Version == 0 {
		return err
	}
	if standing, err := decode(conflict.Current.Value); err == nil {
		r = combine(standing, r)
	}
	return Put(ctx, k.store, conflict.Current.Version, r)
}

// Read takes the records of the store. One that can't be read costs none of the others.
func (k *Keeper) Read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	records, unreadable, err := List(ctx, k.store)
	if err != nil {
		return err
	}
	for name, err := range unreadable {
		k.log.Event(evUnreadable).Str("name", name).Err(err).Msg("")
	}
	k.table.Merge(records)
	for _, key := range k.lost(records) {
		k.keep(ctx, key)
	}
	return nil
}

// writtenWithin is the time in which the host that finds something of a request has written it.
const writtenWithin = 10 * time.Second

// lost returns the keys of which the store holds less than this host does: it came back from an older copy. Hosts that
// start then would let the requests end targets again.
func (k *Keeper) lost(stored []Record) []Key {
	byKey := map[Key]Record{}
	for _, r := range stored {
		byKey[r.Key] = r
	}
	now := k.table.clock.Now()
	var all []Key
	for _, key := range k.table.Held() {
		known, _ := k.table.knownOf(key)
		isOld := now.Sub(known.newest()) > writtenWithin // else its finder is about to write it
		if _, there := byKey[key]; !there && isOld {
			all = append(all, key)
		}
	}
	for key, r := range byKey {
		if known, ok := k.table.knownOf(key); ok && len(r.Cleared) < len(known.Cleared) {
			all = append(all, key)
		}
	}
	return all
}

// stored is a record as the store holds it.
type stored struct {
	Key     string         `json:"key"`
	Strikes []storedStrike `json:"strikes"`
	Cleared []uint64       `json:"cleared,omitempty"`
}

type storedStrike struct {
	ID       uint64    `json:"id"`
	Caller   Caller    `json:"caller"`
	Services []string  `json:"services"`
	At       time.Time `json:"at"`
}

// List returns the records of the store, and why others can't be read, by name.
func List(ctx context.Context, store objstore.Store) (records []Record, unreadable map[string]error, err error) {
	listing, err := store.List(ctx, objstore.KindQuarantine)
	if err != nil {
		return nil, nil, Error.New("list requests in quarantine: %w", err)
	}
	unreadable = map[string]error{}
	for _, o := range listing.Objects {
		r, err := decode(o.Value)
		if err != nil {
			unreadable[o.Name] = err
			continue
		}
		records = append(records, r)
	}
	return records, unreadable, nil
}

// Put writes a record in place of the version that stands, 0 if none does.
func Put(ctx context.Context, store objstore.Store, version uint64, r Record) error {
	value, err := encode(r)
	if err != nil {
		return err
	}
	if _, err := store.Put(ctx, objstore.KindQuarantine, r.Key.String(), version, value); err != nil {
		return Error.New("write request in quarantine: %w", err)
	}
	return nil
}

func encode(r Record) ([]byte, error) {
	out := stored{Key: r.Key.String(), Cleared: r.Cleared}
	for _, s := range r.Strikes {
		out.Strikes = append(out.Strikes, storedStrike{ID: s.ID, Caller: s.Caller, Services: s.Services, At: s.At.Round(0)})
	}
	text, err := json.Marshal(out)
	return text, Error.Wrap(err)
}

func decode(text []byte) (Record, error) {
	var in stored
	if err := json.Unmarshal(text, &in); err != nil {
		return Record{}, Error.New("decode request in quarantine: %w", err)
	}
	key, err := ParseKey(in.Key)
	if err != nil {
		return Record{}, err
	}
	r := Record{Key: key, Cleared: in.Cleared}
	for _, s := range in.Strikes {
		r.Strikes = append(r.Strikes, Strike(s))
	}
	return r, nil
}

// combine returns what two records hold together.
func combine(a, b Record) Record {
	both := newSuspect(b.Key)
	both.clear(time.Time{}, slices.Concat(a.Cleared, b.Cleared)...)
	for _, s := range slices.Concat(a.Strikes, b.Strikes) {
		both.add(s)
	}
	return Record{Key: b.Key, Strikes: both.strikes, Cleared: both.cleared}
}

// ClearStored drops all that the store holds against requests of a content, and returns of how many
// keys. Hosts that keep them from targets learn of it when they next review the store.
func ClearStored(ctx context.Context, store objstore.Store, content string) (keys int, err error) {
	listing, err := store.List(ctx, objstore.KindQuarantine)
	if err != nil {
		return 0, Error.New("list requests in quarantine: %w", err)
	}
	for _, o := range listing.Objects {
		r, err := decode(o.Value)
		if err != nil || r.Key.Content() != content || len(r.Strikes) == 0 {
			continue // of another content, or cleared already
		}
		for _, s := range r.Strikes {
			r.Cleared = append(r.Cleared, s.ID)
		}
		r.Strikes = nil
		if err := Put(ctx, store, o.Version, r); err != nil {
			return keys, err
		}
		keys++
	}
	return keys, nil
}
