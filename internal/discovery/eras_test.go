package discovery

import (
	"testing"

	"pgregory.net/rapid"

	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// Every belief keeps its own era on the way between hosts, era 0 too.
func TestErasAreToldBetweenHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(kind string) revision.Revision {
			if rapid.Bool().Draw(t, kind+" is unknown") {
				return revision.Revision{}
			}
			return revision.Revision{Era: rapid.Uint64Range(0, 3).Draw(t, kind+" era"), Number: rapid.Uint64Range(1, 9).Draw(t, kind)}
		}
		known := Known{ConfigRevision: draw("config"), RegistryRevision: draw("registry"), EvacuationRevision: draw("evacuations")}
		var req peerpb.FollowRequest
		writeKnown(known, &req)
		if got := readKnown(&req); got != known {
			t.Fatalf("told %+v, read %+v", known, got)
		}
		news := News{ConfigRevision: known.ConfigRevision, RegistryRevision: known.RegistryRevision, EvacuationRevision: known.EvacuationRevision}
		var reply peerpb.FollowReply
		writeRevisions(news, &reply)
		var read News
		readRevisions(&reply, &read)
		if read.ConfigRevision != news.ConfigRevision || read.RegistryRevision != news.RegistryRevision || read.EvacuationRevision != news.EvacuationRevision {
			t.Fatalf("told %+v, read %+v", news, read)
		}
	})
}
