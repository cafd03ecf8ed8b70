package objstore

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// Record is one object as the platform stores it.
type Record struct {
	Name     string
	Revision revision.Revision // of the store, at the record's last change; Number 0: the record does not exist
	Created  revision.Revision // of the store, when the record was created; it changes if the record is deleted and created again
	Spec     json.RawMessage
	// Status is written separately from Spec, by ReplaceStatus, and survives a change of Spec. It is nil if there is none.
	Status   json.RawMessage
	Deleted  bool // in the result of a watch: the record was deleted
	Deleting bool // the record will be deleted once its finalizers are removed
	// Problem is why the record can't be decoded, or nil. If it is set, only Name is valid, and
	// may be empty.
	Problem error
}

// RecordPage is one page of a listing, or the changes that a watch returned. A record of
// another program that can't be decoded has Problem set and does not affect the others.
type RecordPage struct {
	Records  []Record
	Revision revision.Revision // of the store, from which the next watch starts
	More     bool              // there is a next page; it starts after After()
}

// After returns the name after which the next page starts: the last one on this page that is not empty.
func (p RecordPage) After() string {
	for _, r := range slices.Backward(p.Records) {
		if r.Name != "" {
			return r.Name
		}
	}
	return ""
}

// Records is the platform's object API: each call is one request to the API.
// Errors are ErrNotFound, ErrCompacted, *RecordConflict,
// *Unavailable or *Unanswered.
type Records interface {
	Get(ctx context.Context, kind, name string) (Record, error)
	// List returns a page of the records of a kind, sorted by name, that follow the name after.
	List(ctx context.Context, kind, after string) (RecordPage, error)
	// Watch blocks until records of the kind change after the revision, or until
	// wait has elapsed; then it returns none. It also fails with ErrCompacted if the
	// revision is of another era than the platform's.
	Watch(ctx context.Context, kind string, after revision.Revision, wait time.Duration) (RecordPage, error)
	// Create writes a record that must not exist yet.
	Create(ctx context.Context, kind, name string, spec json.RawMessage) (Record, error)
	// Replace writes a record whose current revision must be the given one.
	Replace(ctx context.Context, kind, name string, revision uint64, spec json.RawMessage) (Record, error)
	// ReplaceStatus writes the status of a record whose current revision must be the given one, and leaves its spec
	// as it is. A write that changes nothing creates no revision.
	ReplaceStatus(ctx context.Context, kind, name string, revision uint64, status json.RawMessage) (Record, error)
	// Delete removes a record whose current revision must be the given one.
	Delete(ctx context.Context, kind, name string, revision uint64) error
	// Hosts returns the platform's list of hosts.
	Hosts(ctx context.Context) ([]ListedHost, error)
	// Now returns the platform's clock as of its newest response, and false
	// before the first one.
	Now() (time.Time, bool)
	// Era counts how often the platform was restored from an older copy, as of its newest
	// response; it is 0 if no response has reported an era.
	Era() uint64
	// Close closes idle connections.
	Close()
}

// RecordConflict means that a conditional write was rejected and not applied.
// Current is the stored record, with revision 0 if it does not exist.
type RecordConflict struct{ Current Record }

// Error names the record and its current revision.
func (c *RecordConflict) Error() string {
	return fmt.Sprintf("record %s stands at revision %d", c.Current.Name, c.Current.Revision)
}

const (
	// maxListBytes is the maximum size of all pages of a list, so that a list without an end does not use up the memory.
	maxListBytes = 32 << 20
	// recordBytes is the memory of a record in addition to what it holds.
	recordBytes = 200
)

// size returns about how much memory the records of a page take, in bytes.
func (p RecordPage) size() int {
	n := 0
	for _, r := range p.Records {
		n += recordBytes + len(r.Name) + len(r.Spec) + len(r.Status)
	}
	return n
}

// ListAll reads all pages of a kind and returns their records as one page. The revision is that
// of the first page, so that a watch from there returns the changes made while the other pages were
// read. It fails with ErrCompacted if the platform is restored from an older copy meanwhile, since
// pages from before and after a restore are not consistent. A list that exceeds maxListBytes fails with a *LimitError.
func ListAll(ctx context.Context, records Records, kind string) (RecordPage, error) {
	var all RecordPage
	after, size := "", 0
	for first := true; ; first = false {
		page, err := records.List(ctx, kind, after)
		if err != nil {
			return RecordPage{}, err
		}
		if first {
			all.Revision = page.Revision
		}
		if page.Revision.Era != all.Revision.Era {
			return RecordPage{}, ErrCompacted
		}
		if size += page.size(); size > maxListBytes {
			return RecordPage{}, &Unavailable{Cause: Error.New("list %s: %w", kind, &LimitError{Limit: LimitList, Received: int64(size), Max: maxListBytes})}
		}
		all.Records = append(all.Records, page.Records...)
		next := page.After()
		if !page.More || next <= after {
			return all, nil
		}
		after = next
	}
}
