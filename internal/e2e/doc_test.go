// Package e2e tests the built binary as separate processes on loopback. The tests wait for
// conditions, never for a fixed time. Begin with process and site.
package e2e
