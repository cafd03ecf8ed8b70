// Package policy holds the decisions that a host takes under load: how many
// requests a target gets at once, who waits and who is refused, when to hedge
// and to retry, and which replica or relay to ask.
//
// The package is pure. Time and randomness are arguments, nothing blocks, and
// nothing starts a goroutine. Times must carry the monotonic reading of one
// process. No type is safe for concurrent use: the owner holds a lock, usually
// one for each replica set, because one decision reads several of them.
//
// A relay keeps, for each replica set, a Queue, a Hedger, a retry Budget and
// the Replicas, and for each shard of a batch
//
//   - calls Queue.Push; a refusal is answered at once with RetryAfter, and so
//     are those of Queue.Evictions;
//   - whenever something changed (Push, Replica.Done, a timer after
//     Limiter.Wait), calls Queue.Expire, and Queue.Pop with a function that
//     asks Pick, until Pop returns nil; for each grant Replica.Send,
//     Hedger.First and Budget.First;
//   - after Hedger.Delay asks Hedger.Take, with Queue.Saturated, then Pick with
//     Hedge;
//   - after an attempt that may be repeated asks Budget.Take, then Pick with
//     Retry;
//   - at the end of each attempt calls Replica.Done, and for a valid answer
//     Hedger.Observe and Queue.Served.
//
// A query that is refused in one queue must be withdrawn from the others at
// once: what Queue refuses is chosen in the belief that it is.
package policy
