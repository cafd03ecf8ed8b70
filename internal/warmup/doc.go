// Package warmup divides the requests that cold targets can serve among the hosts.
//
// A cold target fails at more than a few requests per second from all hosts together, and no host knows
// what the others send. So each cold target gets one permit, which names some hosts and the number of
// requests that each may send in any second. The permit is written to the store once, conditionally, and
// never changed, so the sum holds whatever hosts a writer knows. After the store was restored from an
// older copy, no permit is written until those that the restore may have lost apply on no host any more.
//
// The package writes, finds and removes permits. It does not limit requests: policy.DivideCold computes
// the parts, discovery distributes permits, and the gateway enforces them with policy.ColdWindow. Begin
// with Keeper.
package warmup
