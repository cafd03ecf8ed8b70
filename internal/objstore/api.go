package objstore

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// Kinds of objects.
const (
	KindService  = "service"
	KindSnapshot = "snapshot"
	KindMember   = "member"
	KindGateway  = "gateway" // gateway hosts, which forward requests
	KindClaim    = "claim"
	KindWindow   = "window" // delivery windows
	KindRecord   = "record" // single delivery records

	KindEra = "era" // one object per era, written when the era was first used

	KindQuarantine = "quarantine" // requests that are not sent to targets
	KindPermit     = "permit"     // permits to send to cold targets
	KindRollout    = "rollout"    // when a rollout order was first seen
)

// Object is one versioned object. Version counts the object's own changes
// from 1; Revision is the store-wide revision, which grows with each change to any object.
type Object struct {
	Kind     string          `json:"kind"`
	Name     string          `json:"name"`
	Version  uint64          `json:"version"`
	Revision uint64          `json:"revision"`
	Era      uint64          `json:"-"` // of the revision; see revision.Revision
	Value    json.RawMessage `json:"value,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
	Created  time.Time       `json:"created"` // by the platform's clock
	Changed  time.Time       `json:"changed"` // by the platform's clock
}

// At returns the revision, with its era, at which the object was written.
func (o Object) At() revision.Revision { return revision.Revision{Era: o.Era, Number: o.Revision} }

// Listing holds the objects of one or more kinds at a revision, or the changes up to it.
type Listing struct {
	Revision uint64   `json:"revision"`
	Era      uint64   `json:"-"` // of the revision
	Objects  []Object `json:"objects"`
}

// At returns the revision, with its era, of the listing.
func (l Listing) At() revision.Revision { return revision.Revision{Era: l.Era, Number: l.Revision} }

// ListedHost is an entry of the platform's list of hosts, which lags behind. It
// lists both the hosts of this system and those of targets.
type ListedHost struct {
	ID      string `json:"id"` // host id or target id
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// MaxValue is the largest value of an object, in bytes.
const MaxValue = 1<<20 - 1<<10 // the platform accepts 1 MiB, envelope included

// Store is the platform's object API. Errors are *Conflict, ErrNotFound,
// ErrCompacted, *Unavailable or *Unanswered.
type Store interface {
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of the kinds and the revision of the list.
	List(ctx context.Context, kinds ...string) (Listing, error)
	// Put writes the object if its current version is the given one; 0 creates it.
	Put(ctx context.Context, kind, name string, version uint64, value []byte) (Object, error)
	// Delete removes the object if its current version is the given one.
	Delete(ctx context.Context, kind, name string, version uint64) error
	// Watch blocks until objects of the kinds change after the revision, or
	// until wait has elapsed; then it returns no object and the current revision.
	// ErrCompacted means that changes since the revision are no longer available, or that
	// the revision is of an earlier era: the caller has to list again.
	Watch(ctx context.Context, after revision.Revision, wait time.Duration, kinds ...string) (Listing, error)
	// Era counts how often the platform was restored from an older copy, as of its newest
	// response; it is 0 also if the platform reports no era.
	Era() uint64
	// Hosts returns the platform's list of hosts.
	Hosts(ctx context.Context) ([]ListedHost, error)
	// Now returns the platform's clock as of its newest response, and false
	// before the first one. It never goes backwards.
	Now() (time.Time, bool)
}

// Conflict means that a conditional write was rejected and not applied.
// Current is the stored object, with Version 0 if it does not exist.
type Conflict struct{ Current Object }

// Error names the object and its current version.
func (c *Conflict) Error() string {
	return fmt.Sprintf("platform: %s/%s stands at version %d", c.Current.Kind, c.Current.Name, c.Current.Version)
}

// Unavailable means that the call was not applied: it was not sent, or the
// platform refused it.
type Unavailable struct{ Cause error }

// Error includes the cause.
func (u *Unavailable) Error() string { return "platform unavailable: " + u.Cause.Error() }

// Unwrap returns the cause.
func (u *Unavailable) Unwrap() error { return u.Cause }

// Unanswered means that the call was sent and no response was received: it may
// have been applied, or may be applied later.
type Unanswered struct{ Cause error }

// Error includes the cause.
func (u *Unanswered) Error() string { return "platform did not answer: " + u.Cause.Error() }

// Unwrap returns the cause.
func (u *Unanswered) Unwrap() error { return u.Cause }
