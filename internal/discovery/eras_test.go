package discovery

import (
	"testing"

	"pgregory.net/rapid"

	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// Every revision keeps its own era in requests and replies, era 0 included.
func TestErasAreKeptBetweenHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(kind string) revision.Revision {
			if rapid.Bool().Draw(t, kind+" is unknown") {
				return revision.Revision{}
			}
			return revision.Revision{Era: rapid.Uint64Range(0, 3).Draw(t, kind+" era"), Number: rapid.Uint64Range(1, 9).Draw(t, kind)}
		}
		known := Cursor{ConfigRevision: draw("config"), RegistryRevision: draw("registry"), EvacuationRevision: draw("evacuations")}
		var req peerpb.FollowRequest
		encodeRequestRevisions(known, &req)
		if got := decodeRequestRevisions(&req); got != known {
			t.Fatalf("encoded %+v, decoded %+v", known, got)
		}
		update := Update{ConfigRevision: known.ConfigRevision, RegistryRevision: known.RegistryRevision, EvacuationRevision: known.EvacuationRevision}
		var reply peerpb.FollowReply
		encodeReplyRevisions(update, &reply)
		var read Update
		decodeReplyRevisions(&reply, &read)
		if read.ConfigRevision != update.ConfigRevision || read.RegistryRevision != update.RegistryRevision || read.EvacuationRevision != update.EvacuationRevision {
			t.Fatalf("encoded %+v, decoded %+v", update, read)
		}
	})
}
