// Package platformtarget is a stand-in for a target on the users' platform: it serves any path
// over HTTP, signs its responses, sheds load, rejects requests that are addressed to another
// target, and injects faults. It records the requests that it ran, in memory only. Begin with
// Target; Site is a set of targets with routes to them.
package platformtarget
