// Package api serves the HTTP API that the goa design describes: one listener
// for callers and the balancer, one for operators. It decodes and authorizes
// requests and encodes answers and refusals; the requests themselves are run by
// the Entry and the Executor that it is given. Start reading at NewCallerServer and
// NewOperatorServer in server.go; refusal.go maps refusals to HTTP statuses.
package api
