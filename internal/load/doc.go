// Package load is the load generator for the callers' API, and the experiments
// that measure the relays under load, failures and loss of hosts and targets.
// Load is open-loop: arrivals follow a seeded Poisson schedule independently of
// the responses, and latency is measured from the scheduled start, so that a
// stall of the system shows in the latencies. The experiments run the real
// entries and relays over stand-ins for the targets; production code doesn't
// use this package. Begin reading at Run and Experiments.
package load
