// Package rollouts lets the hosts carry out the rollout orders in the store together: each host
// gives its gateway the plans of how to treat the versions of a service, and sends the evidence that the gateway
// counts to the coordinators of the order; the coordinators send back what was decided, and write the
// status of the order.
//
// The package decides nothing about versions: rollout.Coordinator has the verdict, the share and the
// phases. It does not read the orders either: discovery caches them. Begin with Keeper; order.go has
// how far one host is with one order, and docs/design/new-deployments.md the whole design.
package rollouts
