package discovery

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/quarantine"
)

// Any reply of a peer is either refused or applied, and leaves a consistent state.
func FuzzReplyOfAPeer(f *testing.F) {
	add := func(m *peerpb.FollowReply) {
		text, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	add(&peerpb.FollowReply{ConfigRevision: 3, Config: []byte{0x1f, 0x8b, 8}, RegistryRevision: 4, AllTargets: true})
	add(&peerpb.FollowReply{
		HeldUs: -1, ConfigAgeUs: -9, RegistryRevision: 5, OutageAgeUs: 1 << 62,
		Targets:  []*peerpb.TargetInfo{{Id: "a", Service: "s", Slots: -1, WarmupUs: 1 << 62, BornMs: 7}, {Id: "a", Gone: true}, {}},
		Findings: []*peerpb.Finding{{Target: "a", Bad: true, AgeUs: -1}, {}},
		Requests: []*peerpb.RequestRecord{{Key: make([]byte, 16), Strikes: []*peerpb.Strike{{Id: 1, Caller: make([]byte, 6), AgeUs: -1 << 62}}, Cleared: []uint64{1, 2}}, {}},
	})
	f.Fuzz(func(t *testing.T, text []byte) {
		var reply peerpb.FollowReply
		if proto.Unmarshal(text, &reply) != nil {
			t.Skip("not a message")
		}
		update, err := decodeReply(&reply, time.Now(), time.Now())
		if err != nil {
			return
		}
		s := NewState()
		s.ShareQuarantine(quarantine.NewTable(quarantine.DefaultConfig(), event.Discard()))
		s.ApplyUpdate(update)
		s.ApplyUpdate(update)
		s.mergeRequests(update.Requests)
		s.publishFindings(update.Findings)
		view := s.View()
		for _, target := range view.Targets {
			if view.RegistryRevision.Before(update.RegistryRevision) {
				t.Fatalf("target %+v of a revision newer than the cached one", target)
			}
		}
		if _, changed := s.updateSince(Cursor{}); changed == nil {
			t.Fatal("polls are not woken by the next change")
		}
	})
}
