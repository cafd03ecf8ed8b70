// Package design describes the HTTP API of rhubarbwood in goa's language.
// The code under gen is generated from it; see tools/generate.sh.
package design

//lint:file-ignore ST1001 goa's design language is made to be imported into the name space

import (
	. "goa.design/goa/v3/dsl"
)

var _ = API("rhubarbwood", func() {
	Title("rhubarbwood")
	Description("Query tier over many shards. Answers state their coverage; refusals state whether the request ran.")
	Server("callers", func() {
		Description("What callers and the balancer use.")
		Services("query", "health")
	})
	Server("operators", func() {
		Description("What operators use; a listener of its own.")
		Services("operate")
	})
})

// Refusal is the body of every refusal, whatever its status.
var Refusal = Type("Refusal", func() {
	Description("A request that has no answer. outcome tells whether it ran.")
	ErrorName("name", String, "Class of the refusal, which fixes the HTTP status")
	Attribute("request_id", String, "Id of the request, as sent by the caller or made by the host")
	Attribute("reason", String, "Typed reason, such as overload")
	Attribute("outcome", String, "not_sent or rejected: did not run. failed: ran in vain. unknown: may have run", func() {
		Enum("not_sent", "rejected", "failed", "unknown", "done")
	})
	Attribute("not_run", Boolean, "Whether the request certainly did not run and will not")
	Attribute("retry_after_ms", Int64, "When to come back, in milliseconds; absent if never")
	Attribute("retry_after_s", Int64, "The same in whole seconds, for the Retry-After header")
	Attribute("detail", String, "For a person")
	Attribute("coverage", Coverage, "What a search reached before it was refused")
	Required("name", "request_id", "reason", "outcome", "not_run", "detail")
})

// Coverage is the set of shards answered over those of the snapshot.
var Coverage = Type("Coverage", func() {
	Attribute("shards", Int, "Shards of the snapshot's map")
	Attribute("answered", Int, "Distinct shards that answered")
	Attribute("fraction", Float64, "answered over shards")
	Attribute("complete", Boolean, "Every shard answered")
	Attribute("missing", ArrayOf(String), "Shards that did not answer, service/shard, sorted")
	Required("shards", "answered", "fraction", "complete", "missing")
})

var row = Type("Row", func() {
	Attribute("service", String)
	Attribute("shard", UInt32)
	Attribute("key", String)
	Attribute("value", String)
	Attribute("score", Float64)
	Required("service", "shard", "key", "value", "score")
})

var searchAnswer = Type("SearchAnswer", func() {
	Attribute("request_id", String)
	Attribute("workload", String)
	Attribute("snapshot", UInt64, "Snapshot that every row is of")
	Attribute("rows", ArrayOf(row), "Best first")
	Attribute("total_rows", Int, "Rows found before the limit")
	Attribute("coverage", Coverage)
	Attribute("attempts", Int, "Shard attempts sent to targets")
	Attribute("needed", Int, "Shard answers needed")
	Attribute("elapsed_ms", Float64)
	Required("request_id", "workload", "snapshot", "rows", "total_rows", "coverage", "attempts", "needed", "elapsed_ms")
})

var reservationAnswer = Type("ReservationAnswer", func() {
	Attribute("request_id", String)
	Attribute("reservation_id", String)
	Attribute("granted", Boolean, "Whether the target granted the reservation")
	Attribute("answer", String, "The target's own words")
	Attribute("target", String)
	Attribute("repeated", Boolean, "The answer is that of an earlier request with this id")
	Required("request_id", "reservation_id", "granted", "answer", "target", "repeated")
})

// refusals adds the classes of refusal and their statuses to a method.
func refusals() {
	Error("bad_request", Refusal, "Malformed, or a reservation id used for something else")
	Error("unauthorized", Refusal, "No valid operator token")
	Error("unknown_service", Refusal, "No such service or workload")
	Error("conflict", Refusal, "A write lost a race")
	Error("timeout", Refusal, "The budget that came with the request had run out")
	Error("too_large", Refusal, "The body is over the limit")
	Error("expired", Refusal, "The reservation id is past the horizon; says nothing about whether it ran")
	Error("overload", Refusal, "Shed; come back after Retry-After")
	Error("failed", Refusal, "A target ran it in vain, or it may have run")
	Error("unavailable", Refusal, "No target, relay, snapshot or platform; come back after Retry-After")
	Error("deadline", Refusal, "The budget ended before the minimum coverage was reached")
}

func refusalStatuses() {
	Response("bad_request", StatusBadRequest)
	Response("unauthorized", StatusUnauthorized)
	Response("unknown_service", StatusNotFound)
	Response("conflict", StatusConflict)
	Response("timeout", StatusRequestTimeout)
	Response("too_large", StatusRequestEntityTooLarge)
	Response("expired", StatusGone)
	Response("overload", StatusTooManyRequests, func() { Header("retry_after_s:Retry-After") })
	Response("failed", StatusBadGateway, func() { Header("retry_after_s:Retry-After") })
	Response("unavailable", StatusServiceUnavailable, func() { Header("retry_after_s:Retry-After") })
	Response("deadline", StatusGatewayTimeout, func() { Header("retry_after_s:Retry-After") })
}

func callerAttributes() {
	Attribute("request_id", String, "Echoed in the answer; made by the host if absent", func() {
		Pattern("^[A-Za-z0-9._-]*$")
		MaxLength(64)
	})
	Attribute("caller", String, "Who asks", func() {
		Pattern("^[A-Za-z0-9._-]*$")
		MaxLength(64)
	})
	Attribute("budget_ms", Float64, "Remaining time for the request in milliseconds; the service's default if absent")
}

func callerHeaders() {
	Header("request_id:X-Request-Id")
	Header("caller:X-Caller")
	Header("budget_ms:X-Budget-Ms")
}

var _ = Service("query", func() {
	Description("Searches and reservations.")
	Method("search", func() {
		Description("Search one service, or every service of a workload, in one snapshot.")
		Payload(func() {
			callerAttributes()
			Attribute("service", String, "Service to ask; or workload", func() { MaxLength(128) })
			Attribute("workload", String, "Workload to ask whole", func() { MaxLength(128) })
			Attribute("text", String, "What to look for; empty matches all", func() { MaxLength(1024) })
			Attribute("limit", Int, "Rows wanted, best first; 0 for all", func() {
				Minimum(0)
				Maximum(10000)
				Default(20)
			})
			Attribute("min_coverage", Float64, "Least fraction of shards to accept", func() {
				Minimum(0)
				Maximum(1)
				Default(1)
			})
		})
		Result(searchAnswer)
		refusals()
		HTTP(func() {
			POST("/v1/search")
			callerHeaders()
			Response(StatusOK)
			refusalStatuses()
		})
	})
	Method("reserve", func() {
		Description("Make one reservation, at most once for each reservation id.")
		Payload(func() {
			callerAttributes()
			Attribute("reservation_id", String, "The caller's ULID; repeat with the same one", func() { MaxLength(64) })
			Attribute("service", String, func() { MaxLength(128) })
			Attribute("item", String, func() {
				MinLength(1)
				MaxLength(256)
			})
			Required("reservation_id", "service", "item")
		})
		Result(reservationAnswer)
		refusals()
		HTTP(func() {
			POST("/v1/reservations")
			callerHeaders()
			Response(StatusOK)
			refusalStatuses()
		})
	})
})

var _ = Service("health", func() {
	Description("For the balancer.")
	Method("live", func() {
		Result(String)
		HTTP(func() {
			GET("/healthz")
			Response(StatusOK, func() { ContentType("text/plain") })
		})
	})
	Method("ready", func() {
		Result(String)
		Error("not_ready", String, "Why the host takes no callers")
		HTTP(func() {
			GET("/readyz")
			Response(StatusOK, func() { ContentType("text/plain") })
			Response("not_ready", StatusServiceUnavailable)
		})
	})
})

var _ = Service("operate", func() {
	Description("Statements of the command language.")
	Method("statement", func() {
		Payload(func() {
			Attribute("authorization", String, "Bearer token of the operator")
			Attribute("request_id", String, func() { MaxLength(64) })
			Attribute("statement", String, func() {
				MinLength(1)
				MaxLength(1 << 20)
			})
			Attribute("dry_run", Boolean, "Check and tell, change nothing", func() { Default(false) })
			Required("statement")
		})
		Result(func() {
			Attribute("columns", ArrayOf(String))
			Attribute("rows", ArrayOf(ArrayOf(String)))
			Attribute("message", String)
			Required("columns", "rows", "message")
		})
		refusals()
		HTTP(func() {
			POST("/v1/statements")
			Header("authorization:Authorization")
			Header("request_id:X-Request-Id")
			Response(StatusOK)
			refusalStatuses()
		})
	})
})
