// Package policy holds the decisions that a host takes under load: how many
// requests a target gets at once, who waits and who is refused, when to hedge
// and to retry, and which replica or relay to ask.
//
// The package is pure. Time and randomness are arguments, nothing blocks, and
// nothing starts a goroutine. Times must carry the monotonic reading of one
// process. No type is safe for concurrent use: the owner holds a lock, usually
// one for each replica set, because one decision reads several of them.
package policy
