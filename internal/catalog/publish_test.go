package catalog

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/objstore/objstoretest"
)

func TestPublishAndRetireSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := objstoretest.New()
		a := testService("a")
		viewWith := func(snapshots ...Snapshot) *view {
			entries := []*entry{{object: objstore.Object{Kind: objstore.KindService, Name: "a"}, service: &a}}
			for _, s := range snapshots {
				o := objstore.Object{Kind: objstore.KindSnapshot, Name: s.ObjectName()}
				entries = append(entries, &entry{object: o, snapshot: &s})
			}
			return emptyState().view.withChanges(entries)
		}
		c := p.Client()
		one, two := testSnapshot(1, 6, a), testSnapshot(2, 6, a)
		c.LoseNextAnswers(1)
		r := newEditor(c, viewWith()).PublishSnapshot(t.Context(), one, Author{}, false)
		is.Equal(r.Status, Accepted)
		is.Equal(r.Revision, uint64(1))
		is.Equal(newEditor(c, viewWith(one)).PublishSnapshot(t.Context(), one, Author{}, false).Status, Refused) // the id must be above the newest one
		is.Equal(newEditor(c, viewWith()).PublishSnapshot(t.Context(), one, Author{}, false).Lost.Winner.ID, r.ChangeID)

		editor := newEditor(c, viewWith(one, two))
		is.Equal(editor.RetireSnapshot(t.Context(), "portal", 2, Author{}, false).Status, Refused) // the newest
		c.LoseNextAnswers(1)
		r = editor.RetireSnapshot(t.Context(), "portal", 1, Author{}, false)
		is.Equal(r.Status, Accepted)
		is.Equal(r.Revision, uint64(2))
		is.Equal(editor.RetireSnapshot(t.Context(), "portal", 1, Author{}, false).Status, Refused) // already deleted
	})
}
