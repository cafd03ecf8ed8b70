package objstore

import (
	"context"
	"errors"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// Client is the Store of a host, on the platform's records. It never repeats a
// write that may have been applied.
type Client struct {
	records Records

	mu    sync.Mutex
	stand map[objectKey]standing // newest object seen under each key; bounded
}

// standing is an object without its value, and where in the history of the platform it was seen.
type standing struct {
	object Object
	at     revision.Revision
}

type objectKey struct{ kind, name string }

// mostRemembered bounds the objects whose revision is remembered, so that a
// conditional write need not read the object first.
const mostRemembered = 4096

var _ Store = (*Client)(nil)

// New returns a client of the records. Nothing is sent before the first call.
func New(records Records) *Client {
	return &Client{records: records, stand: map[objectKey]standing{}}
}

// Start does nothing: a host starts while the platform is down, too.
func (c *Client) Start(context.Context) error { return nil }

// Stop closes the idle connections.
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
	return c.open(kind, r)
}

// List implements Store. The kinds are read one after the other; the revision
// is the one at which the first page was read, so that a watch from there misses
// nothing. Like ListAll it fails with ErrCompacted where the platform came back from an older copy meanwhile.
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
		l.seen(at, i == 0)
	}
	return l, nil
}

// seen notes the revision of one kind: the listing is of the earliest one.
func (l *Listing) seen(at revision.Revision, first bool) {
	if first || at.Before(l.At()) {
		l.Era, l.Revision = at.Era, at.Number
	}
}

// listKind adds all objects of a kind and returns the revision of the list.
func (c *Client) listKind(ctx context.Context, kind string, l *Listing) (revision.Revision, error) {
	all, err := ListAll(ctx, c.records, kind)
	if err != nil {
		return revision.Revision{}, err
	}
	c.openAll(kind, all.Records, l)
	return all.Revision, nil
}

// Watch implements Store. Each kind is watched by a call of its own; once one
// has found a change, the others are asked for what they have.
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
		c.openAll(kind, p.Records, &l)
		l.seen(p.Revision, i == 0)
	}
	return l, nil
}

// awaitAny returns when one of the kinds has changed after the revision, or
// wait has passed.
func (c *Client) awaitAny(ctx context.Context, after revision.Revision, wait time.Duration, kinds []string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type found struct {
		changed bool
		err     error
	}
	results := make(chan found, len(kinds))
	for _, kind := range kinds {
		go func() {
			p, err := c.records.Watch(ctx, kind, after, wait)
			results <- found{len(p.Records) > 0, err}
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
	standing, err := c.standing(ctx, kind, name, version)
	if err != nil {
		return Object{}, err
	}
	now := c.stamp()
	next := Object{Kind: kind, Name: name, Version: version + 1, Value: value, Created: now, Changed: now}
	if version > 0 {
		next.Created = standing.Created
	}
	spec, err := next.seal()
	if err != nil {
		return Object{}, &Unavailable{Cause: err}
	}
	var r Record
	if version == 0 {
		r, err = c.records.Create(ctx, kind, name, spec)
	} else {
		r, err = c.records.Replace(ctx, kind, name, standing.Revision, spec)
	}
	if err != nil {
		return Object{}, c.conflict(kind, name, err)
	}
	return c.open(kind, r)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) error {
	standing, err := c.standing(ctx, kind, name, version)
	var conflict *Conflict
	if errors.As(err, &conflict) && conflict.Current.Version == 0 {
		return ErrNotFound
	}
	if err != nil {
		return err
	}
	if err := c.records.Delete(ctx, kind, name, standing.Revision); err != nil {
		return c.conflict(kind, name, err)
	}
	c.forget(kind, name)
	return nil
}

// standing returns the object that stands at a version: the one remembered, or
// else the one that the platform has. What is of an earlier era is not gone by: its revision may be
// given out again, to another state of the object. It fails with *Conflict if another
// version stands; version 0 is not looked up.
func (c *Client) standing(ctx context.Context, kind, name string, version uint64) (Object, error) {
	if version == 0 {
		return Object{}, nil
	}
	c.mu.Lock()
	known, ok := c.stand[objectKey{kind, name}]
	c.mu.Unlock()
	if ok && known.object.Version == version && known.at.Era == c.records.Era() {
		return known.object, nil
	}
	o, err := c.Get(ctx, kind, name)
	if errors.Is(err, ErrNotFound) {
		return Object{}, &Conflict{Current: Object{Kind: kind, Name: name}}
	}
	var unanswered *Unanswered
	if errors.As(err, &unanswered) {
		return Object{}, &Unavailable{Cause: err} // only a read went unanswered
	}
	if err != nil {
		return Object{}, err
	}
	if o.Version != version {
		return Object{}, &Conflict{Current: o}
	}
	return o, nil
}

// conflict turns the refusal of a record into that of its object.
func (c *Client) conflict(kind, name string, err error) error {
	c.forget(kind, name)
	var refused *RecordConflict
	if !errors.As(err, &refused) {
		return err
	}
	if refused.Current.Revision.Number == 0 {
		return &Conflict{Current: Object{Kind: kind, Name: name}}
	}
	o, err := c.open(kind, refused.Current)
	if err != nil {
		return &Unavailable{Cause: Error.New("conflict with an object that can't be read: %w", err)}
	}
	return &Conflict{Current: o}
}

// Era implements Store.
func (c *Client) Era() uint64 { return c.records.Era() }

// Hosts implements Store.
func (c *Client) Hosts(ctx context.Context) ([]LiveHost, error) { return c.records.Hosts(ctx) }

// Now implements Store.
func (c *Client) Now() (time.Time, bool) { return c.records.Now() }

// stamp returns the time of a write: the platform's, or this host's until the
// platform has told it.
func (c *Client) stamp() time.Time {
	if now, ok := c.Now(); ok {
		return now
	}
	return time.Now()
}

// openAll adds the objects of the records that can be read.
func (c *Client) openAll(kind string, records []Record, l *Listing) {
	for _, r := range records {
		if o, err := c.open(kind, r); err == nil { // else another writer's; Governed has told it
			l.Objects = append(l.Objects, o)
		}
	}
}

// open returns the object of a record and remembers its revision.
func (c *Client) open(kind string, r Record) (Object, error) {
	o, err := Open(kind, r)
	if err != nil {
		return Object{}, err
	}
	if o.Deleted {
		c.forget(kind, r.Name)
		return o, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	key := objectKey{kind, r.Name}
	if known, ok := c.stand[key]; ok && !known.at.Before(r.Revision) {
		return o, nil
	}
	if len(c.stand) >= mostRemembered {
		clear(c.stand)
	}
	kept := o
	kept.Value = nil
	c.stand[key] = standing{kept, r.Revision}
	return o, nil
}

func (c *Client) forget(kind, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.stand, objectKey{kind, name})
}
