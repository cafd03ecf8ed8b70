// Package discovery keeps a host's cached state of the system around it: the configuration in
// force, the registered targets of each service, the evacuated failure domains, the rollout orders
// and the permits for cold targets. Every piece of state has the store revision it was read at and the time as of which
// it was last confirmed to be current.
//
// State holds the cache and merges what the store and other hosts report. Follower keeps a State up
// to date: a few hosts watch the store, the others long-poll those hosts. Exchange exchanges state
// with other hosts. Source is the store as this package reads it; platform implements it. The
// package does not decide where requests are sent: routing, health and quarantine decisions are
// made by the packages that subscribe to State.
//
// Begin reading with State (state.go), Follower (follower.go) and Update (update.go).
package discovery
