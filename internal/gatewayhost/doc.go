// Package gatewayhost assembles a gateway host: a process that forwards requests
// by the configuration in the platform's object store. It builds the modules,
// wires them by name, and starts and stops them; it contains the HTTP listeners,
// but no forwarding logic, which is in internal/gateway. Begin reading at Host
// (host.go): register lists the modules and their dependencies.
package gatewayhost
