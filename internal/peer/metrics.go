package peer

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// class is the traffic class of a call. Control traffic has a limit and
// connections of its own, so that a probe never waits behind a large reply.
type class string

const (
	classControl class = "control"
	classData    class = "data"
)

// classOf returns the class of a call by its service.
func classOf(rpc string) class {
	if strings.HasPrefix(rpc, "/rhubarbwood.peer.Members/") || strings.HasPrefix(rpc, "/rhubarbwood.peer.Configuration/") {
		return classControl
	}
	return classData
}

// Values of the label "side" of the metrics.
const (
	sideClient = "client"
	sideServer = "server"
)

// Metrics counts the traffic between hosts; a Server and a Pool share one.
type Metrics struct {
	calls       *prometheus.CounterVec
	bytes       *prometheus.CounterVec
	connections *prometheus.GaugeVec
	dials       *prometheus.CounterVec
}

// NewMetrics registers the metrics with reg, or leaves them unregistered if reg
// is nil.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	f := promauto.With(reg)
	return &Metrics{
		calls: f.NewCounterVec(prometheus.CounterOpts{
			Name: "rhubarbwood_peer_calls_total", Help: "Calls between hosts that ended, by side, method and result.",
		}, []string{"side", "method", "result"}),
		bytes: f.NewCounterVec(prometheus.CounterOpts{
			Name: "rhubarbwood_peer_bytes_total", Help: "Bytes over TCP between hosts, without TCP/IP headers, by class and direction.",
		}, []string{"class", "direction"}),
		connections: f.NewGaugeVec(prometheus.GaugeOpts{
			Name: "rhubarbwood_peer_connections", Help: "Open connections between hosts, by side.",
		}, []string{"side"}),
		dials: f.NewCounterVec(prometheus.CounterOpts{
			Name: "rhubarbwood_peer_dials_total", Help: "Connections tried, by class and result.",
		}, []string{"class", "result"}),
	}
}

func resultLabel(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}
