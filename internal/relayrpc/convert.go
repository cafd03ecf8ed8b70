package relayrpc

import (
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

func batchToWire(b *query.Batch, entry string) *peerpb.Batch {
	out := &peerpb.Batch{
		RequestId: b.RequestID, Caller: b.Caller, Workload: b.Workload, Snapshot: b.Snapshot,
		Urgency: string(b.Urgency), Text: b.Text, Limit: int64(b.Limit),
		Entry: entry, Parts: make([]*peerpb.Part, len(b.Parts)),
	}
	for i, p := range b.Parts {
		out.Parts[i] = &peerpb.Part{Service: p.Service, Shards: p.Shards}
	}
	return out
}

func batchFromWire(in *peerpb.Batch) query.Batch {
	out := query.Batch{
		RequestID: in.RequestId, Caller: in.Caller, Workload: in.Workload, Snapshot: in.Snapshot,
		Urgency: query.Urgency(in.Urgency), Text: in.Text, Limit: int(in.Limit),
		Budget: peer.FromMicros(in.BudgetUs), Parts: make([]query.ServiceShards, len(in.Parts)),
	}
	for i, p := range in.Parts {
		out.Parts[i] = query.ServiceShards{Service: p.GetService(), Shards: p.GetShards()}
	}
	return out
}

func resultToWire(requestID string, r *query.ShardResult) *peerpb.ShardResult {
	out := &peerpb.ShardResult{
		RequestId: requestID, Service: r.Key.Service, Shard: r.Key.Shard, Snapshot: r.Snapshot,
		Outcome: uint32(r.Outcome), TotalRows: int64(r.TotalRows), Reason: string(r.Reason),
		RetryAfterUs: r.RetryAfter.Microseconds(), Attempts: int64(r.Attempts),
	}
	if len(r.Rows) == 0 {
		return out
	}
	block := make([]peerpb.Row, len(r.Rows))
	out.Rows = make([]*peerpb.Row, len(r.Rows))
	for i := range r.Rows {
		row := &block[i]
		row.Key, row.Value, row.Score = r.Rows[i].Key, r.Rows[i].Value, r.Rows[i].Score
		out.Rows[i] = row
	}
	return out
}

func resultFromWire(in *peerpb.ShardResult) query.ShardResult {
	out := query.ShardResult{
		Key:      query.ShardKey{Service: in.Service, Shard: in.Shard},
		Snapshot: in.Snapshot, Outcome: parseOutcome(in.Outcome), TotalRows: int(in.TotalRows),
		Reason: query.Reason(in.Reason), RetryAfter: peer.FromMicros(in.RetryAfterUs), Attempts: int(in.Attempts),
	}
	if out.Outcome != outcome.Done {
		return out
	}
	out.Rows = make([]query.Row, len(in.Rows))
	for i, r := range in.Rows {
		out.Rows[i] = query.Row{
			Service: in.Service, Shard: in.Shard, Key: r.GetKey(), Value: r.GetValue(), Score: r.GetScore(),
		}
	}
	return out
}

// parseOutcome converts an outcome from the wire. Values of a newer version
// become Unknown.
func parseOutcome(v uint32) outcome.Outcome {
	if v > uint32(outcome.Done) {
		return outcome.Unknown
	}
	return outcome.Outcome(v)
}

func replyToWire(r *query.Reservation) *peerpb.ReserveReply {
	return &peerpb.ReserveReply{
		RequestId: r.RequestID, ReservationId: r.ReservationID, Outcome: uint32(r.Outcome),
		Granted: r.Granted, Answer: r.Answer, Target: r.Target, Repeated: r.Repeated,
		Reason: string(r.Reason), RetryAfterUs: r.RetryAfter.Microseconds(),
	}
}

func replyFromWire(in *peerpb.ReserveReply) query.Reservation {
	return query.Reservation{
		RequestID: in.RequestId, ReservationID: in.ReservationId, Outcome: parseOutcome(in.Outcome),
		Granted: in.Granted, Answer: in.Answer, Target: in.Target, Repeated: in.Repeated,
		Reason: query.Reason(in.Reason), RetryAfter: peer.FromMicros(in.RetryAfterUs),
	}
}
