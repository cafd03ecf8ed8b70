package gatherrpc

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

// Any message of another host is decoded completely or rejected with an error.
func FuzzMessages(f *testing.F) {
	for _, m := range []proto.Message{
		&peerpb.GatherRequest{RequestId: "r", Shards: []string{"s"}, Header: []*peerpb.HeaderField{nil, {Name: "X"}}, TopK: 1 << 31, BudgetUs: -1},
		&peerpb.GatherReply{Outcome: "done", Signatures: []string{"x"}, Records: []byte("short"), Failed: 1 << 31, Known: []*peerpb.RequestRecord{{}}},
	} {
		text, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var request peerpb.GatherRequest
		if proto.Unmarshal(text, &request) == nil {
			q := queryFromWire(&request)
			if len(q.Route.Shards) != len(request.Shards) || !q.Route.Idempotent {
				t.Fatalf("read %+v", q)
			}
		}
		var reply peerpb.GatherReply
		if proto.Unmarshal(text, &reply) != nil {
			return
		}
		got, err := gatheredFromWire(&reply, time.Now())
		if _, known := outcome.Parse(reply.Outcome); known != (err == nil) {
			t.Fatalf("read %+v: %v", got, err)
		}
	})
}
