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
	// minWritePause and maxWritePause bound the pause between attempts to write a record.
	minWritePause = 100 * time.Millisecond
	maxWritePause = 2 * time.Second
	// maxPendingWrites bounds the records that wait to be written. Further ones stay only in the memory of
	// hosts.
	maxPendingWrites = 64
)

// Keeper stores the records of quarantined requests, for hosts that start when no other host can send them:
// after a loss of all hosts each of these requests could otherwise end targets again. It is a kernel module.
type Keeper struct {
	table *Table
	store objstore.Store
	log   *event.Log

	pendingWrites chan Key
	cancel        context.CancelFunc
	done          sync.WaitGroup
}

// NewKeeper returns the keeper of a table.
func NewKeeper(t *Table, store objstore.Store, log *event.Log) *Keeper {
	k := &Keeper{table: t, store: store, log: log, pendingWrites: make(chan Key, maxPendingWrites)}
	t.onQuarantineChange = func(key Key) {
		select {
		case k.pendingWrites <- key:
		default:
		}
	}
	return k
}

// Start starts writing the changes that this host makes.
func (k *Keeper) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.done.Go(func() { k.run(ctx) })
	return nil
}

// Stop stops writing, and waits until the last write has ended.
func (k *Keeper) Stop(ctx context.Context) error {
	k.cancel()
	return await.Group(ctx, &k.done)
}

// expireInterval is the time between removals of expired records; records expire after a day.
const expireInterval = time.Minute

func (k *Keeper) run(ctx context.Context) {
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		select {
		case <-expire.C:
			k.table.Expire()
		case key := <-k.pendingWrites:
			k.writeWithRetries(ctx, key)
		case <-ctx.Done():
			return
		}
	}
}

// writeWithRetries writes the record of one key, and retries until it is written.
func (k *Keeper) writeWithRetries(ctx context.Context, key Key) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = minWritePause, maxWritePause
	for ctx.Err() == nil {
		record, ok := k.table.lookup(key)
		if !ok {
			return // removed for lack of room, or expired
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

// write writes a record, merged with the stored one if there is one.
func (k *Keeper) write(ctx context.Context, r Record) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := Put(ctx, k.store, 0, r)
	var conflict *objstore.Conflict
	if !errors.As(err, &conflict) || conflict.Current.Version == 0 {
		return err
	}
	if current, err := decode(conflict.Current.Value); err == nil {
		r = mergeRecords(current, r)
	}
	return Put(ctx, k.store, conflict.Current.Version, r)
}

// Read merges the records of the store into the table, and writes those that the store lost. An invalid
// record does not affect the others.
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
	for _, key := range k.missingFromStore(records) {
		k.writeWithRetries(ctx, key)
	}
	return nil
}

// maxWriteDelay is the time within which a host normally has written a quarantine that it detected.
const maxWriteDelay = 10 * time.Second

// missingFromStore returns the keys of which the store holds less than this host, because the store was
// restored from an older copy. Hosts that start afterwards would let these requests end targets again.
func (k *Keeper) missingFromStore(stored []Record) []Key {
	byKey := map[Key]Record{}
	for _, r := range stored {
		byKey[r.Key] = r
	}
	now := k.table.clock.Now()
	var keys []Key
	for _, key := range k.table.QuarantinedKeys() {
		known, _ := k.table.lookup(key)
		isOld := now.Sub(known.newestStrikeAt()) > maxWriteDelay // otherwise the host that detected it is about to write it
		if _, isStored := byKey[key]; !isStored && isOld {
			keys = append(keys, key)
		}
	}
	for key, r := range byKey {
		if known, ok := k.table.lookup(key); ok && len(r.Cleared) < len(known.Cleared) {
			keys = append(keys, key)
		}
	}
	return keys
}

// storedRecord is the encoding of a Record in the store.
type storedRecord struct {
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

// List returns the records of the store and, by name, the errors of those that are invalid.
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

// Put writes a record over the given version, 0 if there must be none.
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
	out := storedRecord{Key: r.Key.String(), Cleared: r.Cleared}
	for _, s := range r.Strikes {
		out.Strikes = append(out.Strikes, storedStrike{ID: s.ID, Caller: s.Caller, Services: s.Services, At: s.At.Round(0)})
	}
	text, err := json.Marshal(out)
	return text, Error.Wrap(err)
}

func decode(text []byte) (Record, error) {
	var in storedRecord
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

// mergeRecords returns the union of two records of one key; cleared strikes stay cleared.
func mergeRecords(a, b Record) Record {
	both := newSuspect(b.Key)
	both.clear(time.Time{}, slices.Concat(a.Cleared, b.Cleared)...)
	for _, s := range slices.Concat(a.Strikes, b.Strikes) {
		both.add(s)
	}
	return Record{Key: b.Key, Strikes: both.strikes, Cleared: both.cleared}
}

// ClearStored clears all stored strikes against requests of a content, and returns the number of keys. Hosts
// apply it when they next read the store.
func ClearStored(ctx context.Context, store objstore.Store, content string) (keys int, err error) {
	listing, err := store.List(ctx, objstore.KindQuarantine)
	if err != nil {
		return 0, Error.New("list requests in quarantine: %w", err)
	}
	for _, o := range listing.Objects {
		r, err := decode(o.Value)
		if err != nil || r.Key.Content() != content || len(r.Strikes) == 0 {
			continue // of another content, or already cleared
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
