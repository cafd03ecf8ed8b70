// Package policy implements the load-dependent decisions of a host: concurrency
// limits per target, queueing and refusal, hedging and retries, and the choice
// of a replica, relay or helper host.
//
// The package is pure. Time and randomness are arguments, nothing blocks, and
// no goroutine is started. Times must carry the monotonic clock reading of one
// process. Types are not safe for concurrent use: the owner holds a lock,
// usually one per replica set, because one decision reads several of them. The
// package sends no requests and stores no configuration; that is the work of
// the gateway and relay packages.
//
// Begin with Queue (admission), Limiter (concurrency per target), Outlier
// (health of a target), Hedger and Budget (extra attempts) and Pick (choice of
// a replica).
//
// For each replica set a relay has a Queue, a Hedger, a retry Budget and the
// Replicas, and for each shard of a batch it
//
//   - calls Queue.Push; a refusal is answered at once with RetryAfter, and
//     so are the requests that Queue.Evictions returns;
//   - on every change (Push, Replica.Done, a timer set to Limiter.Wait)
//     calls Queue.Expire, then Queue.Pop with a function that calls Pick,
//     until Pop returns nil; for each grant it calls Replica.Send,
//     Hedger.First and Budget.First;
//   - after Hedger.Delay calls Hedger.Take with the result of
//     Queue.Saturated, then Pick with Hedge;
//   - after an attempt that may be repeated calls Budget.Take, then Pick
//     with Retry;
//   - at the end of each attempt calls Replica.Done, and for a valid answer
//     Hedger.Observe and Queue.Served.
//
// A query that one queue refuses must be withdrawn from the others at once:
// Queue chooses which requests to refuse on that assumption.
package policy
