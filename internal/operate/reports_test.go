package operate

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/delivery"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// recordDeliveries records deliveries on the first host and stops it, so that it
// writes its window. The second host never writes one.
func (h *testHost) recordDeliveries() {
	windows := delivery.New(delivery.DefaultConfig(), h.client, h, event.Discard(), prometheus.NewRegistry())
	_ = windows.Start(h.t.Context())
	for i := range 10 {
		windows.Record(delivery.Delivery{
			RequestID: "r", Caller: "shop-a", Service: "guest-01", Outcome: outcome.Done, Coverage: 1 - float64(i/8)/10,
			Latency: 20 * time.Millisecond, Attempts: 11, Needed: 10,
		})
	}
	windows.Record(delivery.Delivery{
		RequestID: "refused-1", Caller: "shop-b", Service: "guest-01", Outcome: outcome.Rejected, Reason: query.ReasonOverload,
	})
	windows.Record(delivery.Delivery{
		RequestID: "reserve-1", ReservationID: "01JE3W2S6P8N0Q4T7V9X1Z3B5D", Caller: "shop-b", Service: "desk", Outcome: outcome.Done,
	})
	time.Sleep(time.Minute)
	_ = windows.Stop(h.t.Context())
}

func TestShowReports(t *testing.T) {
	runWithHost(t, func(t *testing.T, is *is.I, h *testHost) {
		h.create("guest-01")
		h.recordDeliveries()

		a := h.mustRun("show answers since 1h by caller, outcome")
		is.Equal(a.Columns, []string{"caller", "outcome", "answers", "p50", "p99", "attempts_per_needed"})
		is.Equal(a.Rows[0][:3], []string{"shop-a", "done", "10"})
		is.Equal(a.cell(0, "attempts_per_needed"), "1.100")
		is.True(strings.Contains(a.Message, "missing: host h1, incarnation 1 (unseen): nothing is known"))
		is.Equal(len(h.mustRun("show answers where caller = shop-b and outcome != done").Rows), 1)

		c := h.mustRun("show coverage")
		is.Equal(len(c.Rows), 1) // reservations have no coverage
		is.Equal(c.Rows[0], []string{"guest-01", "11", "8", "0", "2", "0", "0", "1"})

		r := h.mustRun("show answers by request")
		is.Equal(len(r.Rows), 4) // the refusal, the reservation and two partial answers
		is.Equal(h.mustRun("show answers where request = refused-1").cell(0, "reason"), "overload")
		is.Equal(h.mustRun("show answers where reservation = 01JE3W2S6P8N0Q4T7V9X1Z3B5D").cell(0, "request"), "reserve-1")
		is.True(strings.Contains(h.mustRun("show answers by request limit 1").Message, "1 of 4 rows"))

		b := h.mustRun("show burn where service = guest-01 and objective = latency")
		is.Equal(b.cell(0, "target"), "99% within 110ms")
		is.Equal(b.cell(0, "bad_1h"), "1")
		is.Equal(b.cell(0, "burn_1h"), "9.09") // 1 of 11 requests is bad, the objective allows 1 of 100
		is.Equal(len(h.mustRun("show burn").Rows), 4)

		is.Equal(h.mustRefuse("asha", "show answers by colour").Reason, query.ReasonBadRequest)
		is.Equal(h.mustRefuse("asha", "show burn since 1h").Reason, query.ReasonBadRequest)
		h.platform.SetDown(true)
		is.Equal(h.mustRefuse("asha", "show answers").Reason, query.ReasonPlatform)
	})
}
