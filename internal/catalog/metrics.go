package catalog

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

type metrics struct {
	revision    prometheus.Gauge
	objects     prometheus.Gauge
	unreadable  prometheus.Gauge
	watching    prometheus.Gauge
	stale       prometheus.Gauge
	applied     *prometheus.CounterVec
	pulls       *prometheus.CounterVec
	pulledBytes prometheus.Counter
	servedBytes prometheus.Counter
	changes     *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := promauto.With(reg)
	gauge := func(name, help string) prometheus.Gauge {
		return f.NewGauge(prometheus.GaugeOpts{Name: "rhubarbwood_catalog_" + name, Help: help})
	}
	counter := func(name, help string) prometheus.Counter {
		return f.NewCounter(prometheus.CounterOpts{Name: "rhubarbwood_catalog_" + name, Help: help})
	}
	vec := func(name, help, label string) *prometheus.CounterVec {
		return f.NewCounterVec(prometheus.CounterOpts{Name: "rhubarbwood_catalog_" + name, Help: help}, []string{label})
	}
	return &metrics{
		revision:    gauge("revision", "Platform revision of the newest change in force on this host."),
		objects:     gauge("objects", "Objects of the configuration held, deletions included."),
		unreadable:  gauge("unreadable_objects", "Objects whose newest version can't be read."),
		watching:    gauge("watching", "1 while this host watches the platform."),
		stale:       gauge("stale", "1 while this host has heard neither the platform nor its peers in time."),
		applied:     vec("applied_objects_total", "Objects taken over, by source.", "source"),
		pulls:       vec("pulls_total", "Pulls from peers by result.", "result"),
		pulledBytes: counter("pulled_bytes_total", "Bytes of the answers to pulls from peers."),
		servedBytes: counter("served_bytes_total", "Bytes of the answers to pulls by peers."),
		changes:     vec("changes_total", "Operators' changes by result.", "result"),
	}
}
