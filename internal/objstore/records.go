package objstore

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// Record is one object as the platform keeps it.
type Record struct {
	Name     string
	Revision revision.Revision // of the store, at the record's last change; Number 0: there is none
	Spec     json.RawMessage
	Deleted  bool // in the answer to a watch: the record is gone
	Deleting bool // the record goes once its finalizers are gone
	// Problem is why the record can't be read; nothing but its name is known then, and that
	// may be empty.
	Problem error
}

// RecordPage is a part of a listing, or the changes that a watch found. Other writers may
// have left records in it that can't be read; they cost none of the others.
type RecordPage struct {
	Records  []Record
	Revision revision.Revision // of the store, to watch from next
	More     bool              // further records follow, after the name of the last one
}

// After returns the name after which the next page begins: the last one that can be read.
func (p RecordPage) After() string {
	for _, r := range slices.Backward(p.Records) {
		if r.Name != "" {
			return r.Name
		}
	}
	return ""
}

// Records is the platform's object API as it is on the wire: each call is one
// call of the API. Errors are ErrNotFound, ErrCompacted, *RecordConflict,
// *Unavailable or *Unanswered.
type Records interface {
	Get(ctx context.Context, kind, name string) (Record, error)
	// List returns the records of a kind, by name, that follow the name after.
	List(ctx context.Context, kind, after string) (RecordPage, error)
	// Watch waits for changes of a kind after the revision, until wait has
	// passed; then it returns none. It fails with ErrCompacted after a revision of
	// another era than the platform's, too.
	Watch(ctx context.Context, kind string, after revision.Revision, wait time.Duration) (RecordPage, error)
	// Create writes a record that must not exist.
	Create(ctx context.Context, kind, name string, spec json.RawMessage) (Record, error)
	// Replace writes a record that must stand at the revision.
	Replace(ctx context.Context, kind, name string, revision uint64, spec json.RawMessage) (Record, error)
	// Delete removes a record that must stand at the revision.
	Delete(ctx context.Context, kind, name string, revision uint64) error
	// Hosts returns what the platform lists of targets.
	Hosts(ctx context.Context) ([]LiveHost, error)
	// Now returns the platform's clock as of its newest answer, and false
	// before the first one.
	Now() (time.Time, bool)
	// Era counts the times that the platform came back from an older copy, as of its newest
	// answer; 0 if none has told it.
	Era() uint64
	// Close closes the idle connections.
	Close()
}

// RecordConflict means that a conditional write was refused: it was not
// applied. Current is the record that stands, with revision 0 if there is none.
type RecordConflict struct{ Current Record }

// Error names the record and its revision.
func (c *RecordConflict) Error() string {
	return fmt.Sprintf("record %s stands at revision %d", c.Current.Name, c.Current.Revision)
}

// ListAll returns all records of a kind, page by page. The revision is that of the first page:
// what changed while the others were read is found by a watch. It fails with ErrCompacted if the
// platform came back from an older copy meanwhile: pages of two copies make no list.
func ListAll(ctx context.Context, records Records, kind string) (RecordPage, error) {
	var all RecordPage
	after := ""
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
		all.Records = append(all.Records, page.Records...)
		next := page.After()
		if !page.More || next <= after {
			return all, nil
		}
		after = next
	}
}
