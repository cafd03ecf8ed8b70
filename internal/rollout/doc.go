// Package rollout holds the decisions of rollouts: the move of a service's requests from one version
// of its targets to another, which an operator orders in the store. It decides which part of the
// requests the new version gets, whether the new version is bad, when all requests are moved, and
// which versions get requests where there is no order.
//
// The package has no clock, network or store of its own: times are arguments. Package discovery
// caches the orders, gateway chooses targets by a Plan and counts Evidence, and rollouts exchanges
// both between the hosts and writes the status of orders.
//
// Begin reading with Order, Plan and Coordinator.
package rollout
