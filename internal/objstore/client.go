package objstore

import (
	"context"
	"errors"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// Client implements Store on the records of the platform. It never retries a
// write that may have been applied.
type Client struct {
	records Records

	mu    sync.Mutex
	cache map[objectKey]cachedObject // newest known state of each object; bounded by maxCachedObjects
}

// cachedObject is an object without its value, with the revision of its last change and the era in which
// it was received.
type cachedObject struct {
	object Object
	at     revision.Revision
}

type objectKey struct{ kind, name string }

// maxCachedObjects bounds the objects whose revision is cached. With a cached
// revision a conditional write need not read the object first.
const maxCachedObjects = 4096

var _ Store = (*Client)(nil)

// New returns a client of the records. It sends nothing before the first call.
func New(records Records) *Client {
	return &Client{records: records, cache: map[objectKey]cachedObject{}}
}

// Start does nothing, so that a host can start while the platform is down.
func (c *Client) Start(context.Context) error { return nil }

// Stop closes idle connections.
func (c *Client) Stop(context.Context) error {
	c.records.Close()
	return nil
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	r, err := c.records.Get(ctx, kind, name)
	if err != nil {
		return Object{}, err
	}
	return c.openAndCache(kind, r)
}

// List implements Store. The kinds are read one after the other; the revision
// is the earliest one at which a kind was read, so that a watch from there misses no change.
// Like ListAll it fails with ErrCompacted if the platform is restored from an older copy meanwhile.
func (c *Client) List(ctx context.Context, kinds ...string) (Listing, error) {
	l := Listing{Objects: []Object{}}
	for i, kind := range kinds {
		at, err := c.listKind(ctx, kind, &l)
		if err != nil {
			return Listing{}, err
		}
		if i > 0 && at.Era != l.Era {
			return Listing{}, ErrCompacted
		}
		l.lowerRevision(at, i == 0)
	}
	return l, nil
}

// lowerRevision sets the revision of the listing to the earliest revision of its kinds.
func (l *Listing) lowerRevision(at revision.Revision, first bool) {
	if first || at.Before(l.At()) {
		l.Era, l.Revision = at.Era, at.Number
	}
}

// listKind appends all objects of a kind to l and returns the revision at which they were listed.
func (c *Client) listKind(ctx context.Context, kind string, l *Listing) (revision.Revision, error) {
	all, err := ListAll(ctx, c.records, kind)
	if err != nil {
		return revision.Revision{}, err
	}
	c.appendReadable(kind, all.Records, l)
	return all.Revision, nil
}

// Watch implements Store. Each kind is watched by a call of its own; once one of
// them returns a change, all kinds are read again without waiting.
func (c *Client) Watch(ctx context.Context, after revision.Revision, wait time.Duration, kinds ...string) (Listing, error) {
	if len(kinds) > 1 && wait > 0 {
		if err := c.awaitAny(ctx, after, wait, kinds); err != nil {
			return Listing{}, err
		}
		wait = 0
	}
	l := Listing{Objects: []Object{}}
	for i, kind := range kinds {
		p, err := c.records.Watch(ctx, kind, after, wait)
		if err != nil {
			return Listing{}, err
		}
		c.appendReadable(kind, p.Records, &l)
		l.lowerRevision(p.Revision, i == 0)
	}
	return l, nil
}

// awaitAny returns when one of the kinds has changed after the revision, or
// wait has elapsed.
func (c *Client) awaitAny(ctx context.Context, after revision.Revision, wait time.Duration, kinds []string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type watchResult struct {
		changed bool
		err     error
	}
	results := make(chan watchResult, len(kinds))
	for _, kind := range kinds {
		go func() {
			p, err := c.records.Watch(ctx, kind, after, wait)
			results <- watchResult{len(p.Records) > 0, err}
		}()
	}
	for range kinds {
		if f := <-results; f.err != nil || f.changed {
			return f.err
		}
	}
	return nil
}

// Put implements Store. A value of more than MaxValue bytes is not sent.
func (c *Client) Put(ctx context.Context, kind, name string, version uint64, value []byte) (Object, error) {
	if len(value) > MaxValue {
		return Object{}, &Unavailable{Cause: Error.New("value of %s/%s has %d bytes, the platform takes %d", kind, name, len(value), MaxValue)}
	}
	current, err := c.objectAt(ctx, kind, name, version)
	if err != nil {
		return Object{}, err
	}
	now := c.writeTime()
	next := Object{Kind: kind, Name: name, Version: version + 1, Value: value, Created: now, Changed: now}
	if version > 0 {
		next.Created = current.Created
	}
	spec, err := next.seal()
	if err != nil {
		return Object{}, &Unavailable{Cause: err}
	}
	var r Record
	if version == 0 {
		r, err = c.records.Create(ctx, kind, name, spec)
	} else {
		r, err = c.records.Replace(ctx, kind, name, current.Revision, spec)
	}
	if err != nil {
		return Object{}, c.conflict(kind, name, err)
	}
	return c.openAndCache(kind, r)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) error {
	current, err := c.objectAt(ctx, kind, name, version)
	var conflict *Conflict
	if errors.As(err, &conflict) && conflict.Current.Version == 0 {
		return ErrNotFound
	}
	if err != nil {
		return err
	}
	if err := c.records.Delete(ctx, kind, name, current.Revision); err != nil {
		return c.conflict(kind, name, err)
	}
	c.evict(kind, name)
	return nil
}

// objectAt returns the object at a version, from the cache or else from the
// platform. Cached objects of an earlier era are not used: the platform may have assigned the same
// revision again, to another state of the object. It fails with *Conflict if the current
// version is another one; version 0 is not looked up.
func (c *Client) objectAt(ctx context.Context, kind, name string, version uint64) (Object, error) {
	if version == 0 {
		return Object{}, nil
	}
	c.mu.Lock()
	cached, ok := c.cache[objectKey{kind, name}]
	c.mu.Unlock()
	if ok && cached.object.Version == version && cached.at.Era == c.records.Era() {
		return cached.object, nil
	}
	o, err := c.Get(ctx, kind, name)
	if errors.Is(err, ErrNotFound) {
		return Object{}, &Conflict{Current: Object{Kind: kind, Name: name}}
	}
	var unanswered *Unanswered
	if errors.As(err, &unanswered) {
		return Object{}, &Unavailable{Cause: err} // only a read got no response, so no write was sent
	}
	if err != nil {
		return Object{}, err
	}
	if o.Version != version {
		return Object{}, &Conflict{Current: o}
	}
	return o, nil
}

// conflict converts a *RecordConflict to a *Conflict with the current object.
// Other errors are returned as they are. The cached object is evicted.
func (c *Client) conflict(kind, name string, err error) error {
	c.evict(kind, name)
	var refused *RecordConflict
	if !errors.As(err, &refused) {
		return err
	}
	if refused.Current.Revision.Number == 0 {
		return &Conflict{Current: Object{Kind: kind, Name: name}}
	}
	o, err := c.openAndCache(kind, refused.Current)
	if err != nil {
		return &Unavailable{Cause: Error.New("conflict with an object that can't be read: %w", err)}
	}
	return &Conflict{Current: o}
}

// Era implements Store.
func (c *Client) Era() uint64 { return c.records.Era() }

// Hosts implements Store.
func (c *Client) Hosts(ctx context.Context) ([]ListedHost, error) { return c.records.Hosts(ctx) }

// Now implements Store.
func (c *Client) Now() (time.Time, bool) { return c.records.Now() }

// writeTime returns the timestamp of a write: the platform's clock, or this
// host's clock before the platform has reported its time.
func (c *Client) writeTime() time.Time {
	if now, ok := c.Now(); ok {
		return now
	}
	return time.Now()
}

// appendReadable appends the objects of those records that can be decoded.
func (c *Client) appendReadable(kind string, records []Record, l *Listing) {
	for _, r := range records {
		if o, err := c.openAndCache(kind, r); err == nil { // else written by another program; LimitedRecords has logged it
			l.Objects = append(l.Objects, o)
		}
	}
}

// openAndCache decodes the object of a record and caches its version and revision.
func (c *Client) openAndCache(kind string, r Record) (Object, error) {
	o, err := Decode(kind, r)
	if err != nil {
		return Object{}, err
	}
	if o.Deleted {
		c.evict(kind, r.Name)
		return o, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	key := objectKey{kind, r.Name}
	if cached, ok := c.cache[key]; ok && !cached.at.Before(r.Revision) {
		return o, nil
	}
	if len(c.cache) >= maxCachedObjects {
		clear(c.cache)
	}
	withoutValue := o
	withoutValue.Value = nil
	c.cache[key] = cachedObject{withoutValue, r.Revision}
	return o, nil
}

func (c *Client) evict(kind, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cache, objectKey{kind, name})
}
