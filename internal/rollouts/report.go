package rollouts

import (
	"cmp"
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/rollout"
)

// recipient is a process of another host that gets this host's evidence. The keeper's lock guards it.
type recipient struct {
	host     member.Host
	inFlight bool
	next     time.Time // when the next report is due
	cursor   int       // order whose counts come first in the next report
	// unansweredSince is when the first call began that was not answered since the last answer; the
	// zero time if there is none.
	unansweredSince time.Time
	silenceLogged   bool
	// acknowledged is the counts that the process has received.
	acknowledged map[rollout.ID]map[countsKey]rollout.Counts
	replyBytes   int // of the last reply
}

// isSilent reports whether the process has not answered for silentAfter.
func (r *recipient) isSilent(now time.Time) bool {
	return !r.unansweredSince.IsZero() && now.Sub(r.unansweredSince) >= silentAfter
}

// recipientOf returns the recipient for a process. The caller holds the lock.
func (k *Keeper) recipientOf(h member.Host) *recipient {
	p := process{h.ID, h.Incarnation}
	r := k.recipients[p]
	if r == nil {
		r = &recipient{acknowledged: map[rollout.ID]map[countsKey]rollout.Counts{}}
		k.recipients[p] = r
	}
	r.host = h
	return r
}

// chosen returns the coordinators that get the evidence on an order: the first ones that are not
// silent, this host included, and the silent ones before them, which may be back.
func (k *Keeper) chosen(now time.Time, o *order) []member.Host {
	self := k.Members.Self().ID
	var all []member.Host
	answering := 0
	for _, h := range k.Turns.Coordinators(o.Service, candidates) {
		if answering == recipients {
			break
		}
		all = append(all, h)
		if h.ID == self || !k.recipientOf(h).isSilent(now) {
			answering++
		}
	}
	return all
}

// sendReports sends the evidence on all orders that run to the coordinators for which it is due. The
// caller holds the lock.
func (k *Keeper) sendReports(ctx context.Context, now time.Time) {
	self := k.Members.Self()
	byRecipient := map[process][]*order{}
	for _, o := range k.orders {
		if o.isSettled() {
			continue
		}
		for _, h := range k.chosen(now, o) {
			if h.ID == self.ID && now.Before(o.nextOwnReport) {
				continue
			}
			if h.ID == self.ID {
				o.nextOwnReport = now.Add(minReportInterval)
				k.readEvidence(now, o)
				k.receive(now, process{self.ID, self.Incarnation}, o.hostEvidence(now))
				continue
			}
			p := process{h.ID, h.Incarnation}
			byRecipient[p] = append(byRecipient[p], o)
		}
	}
	for p, r := range k.recipients {
		if _, chosen := byRecipient[p]; !chosen && !r.inFlight {
			delete(k.recipients, p) // its evidence is sent anew if it is chosen again
		}
	}
	for p, orders := range byRecipient {
		r := k.recipients[p]
		if r.inFlight || now.Before(r.next) {
			continue
		}
		slices.SortFunc(orders, func(a, b *order) int { return cmp.Compare(a.Service, b.Service) })
		report, sent := k.report(now, r, orders, maxBytesPerSecond/len(byRecipient))
		r.inFlight = true
		bytes := proto.Size(report) + r.replyBytes + callOverheadBytes
		r.next = nextReport(now, r, reportInterval(bytes, len(byRecipient), k.Members.Count()))
		k.done.Go(func() { k.call(ctx, r, report, sent) })
	}
}

// readEvidence reads this host's evidence on an order from the gateway, at most once a tick. The caller
// holds the lock.
func (k *Keeper) readEvidence(now time.Time, o *order) {
	if !o.evidenceAt.Equal(now) {
		o.evidence, o.evidenceAt = k.Gateway.RolloutEvidence(o.ID), now
	}
}

// nextReport returns when the next report is due. Reports that are due between two ticks keep their
// mean interval.
func nextReport(now time.Time, r *recipient, interval time.Duration) time.Time {
	if r.isSilent(now) {
		return now.Add(maxReportInterval)
	}
	if late := now.Sub(r.next); late > 0 && late < interval {
		return r.next.Add(interval)
	}
	return now.Add(interval)
}

// maxReceivedPerSecond bounds the bytes of the reports that a coordinator gets from all hosts.
const maxReceivedPerSecond = 256 << 10

// reportInterval returns the time between two reports of a size to one of several coordinators, from
// one of several hosts.
func reportInterval(bytes, coordinators, hosts int) time.Duration {
	sent := time.Duration(bytes*coordinators) * time.Second / maxBytesPerSecond
	received := time.Duration(bytes*hosts) * time.Second / maxReceivedPerSecond
	return min(max(sent, received, minReportInterval), maxReportInterval)
}

// report returns a report on the orders, with the counts that the recipient has not acknowledged, and
// these counts. If they are more than fit into the bytes per second, the rest is sent later. The
// caller holds the lock.
func (k *Keeper) report(now time.Time, r *recipient, orders []*order, bytesPerSecond int) (*peerpb.RolloutReport, map[rollout.ID][]rollout.Counts) {
	self := k.Members.Self()
	report := &peerpb.RolloutReport{Host: self.ID, Incarnation: self.Incarnation}
	for _, o := range orders {
		k.readEvidence(now, o)
		report.Evidence = append(report.Evidence, encodeEvidence(o.hostEvidence(now), nil))
	}
	left := max(int(float64(bytesPerSecond)*maxReportInterval.Seconds())-proto.Size(report)-r.replyBytes-callOverheadBytes, minCountsBytes)
	sent := map[rollout.ID][]rollout.Counts{}
	for i := range orders {
		at := (r.cursor + i) % len(orders)
		o, evidence := orders[at], report.Evidence[at]
		for _, counts := range o.evidence.Counts {
			if known, ok := r.acknowledged[o.ID][keyOf(counts)]; ok && known == counts {
				continue
			}
			if left <= 0 {
				r.cursor = at
				return report, sent
			}
			encoded := encodeCounts(counts)
			left -= proto.Size(encoded) + 2
			evidence.Counts = append(evidence.Counts, encoded)
			sent[o.ID] = append(sent[o.ID], counts)
		}
	}
	return report, sent
}

// call sends a report and applies the directives in the reply.
func (k *Keeper) call(ctx context.Context, r *recipient, report *peerpb.RolloutReport, sent map[rollout.ID][]rollout.Counts) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	begun := k.Clock.Now()
	k.mu.Lock()
	host := r.host
	k.mu.Unlock()
	reply, err := k.Peers.Report(ctx, host, report)
	now := k.Clock.Now()
	k.metrics.noteReport(report, reply, err)
	k.mu.Lock()
	defer k.mu.Unlock()
	r.inFlight = false
	if err != nil {
		k.noteUnanswered(now, r, begun, len(report.Evidence), err)
		return
	}
	r.unansweredSince, r.silenceLogged, r.replyBytes = time.Time{}, false, proto.Size(reply)
	for id, counts := range sent {
		if o := k.orders[id.Service]; o == nil || o.ID != id {
			continue
		}
		if r.acknowledged[id] == nil {
			r.acknowledged[id] = map[countsKey]rollout.Counts{}
		}
		for _, c := range counts {
			r.acknowledged[id][keyOf(c)] = c
		}
	}
	for _, encoded := range reply.GetDirectives() {
		if d, ok := decodeDirective(encoded); ok {
			k.apply(now, k.rankOf(d.ID.Service, host.ID), d)
		}
	}
}

// noteUnanswered notes that a report was not answered. The caller holds the lock.
func (k *Keeper) noteUnanswered(now time.Time, r *recipient, begun time.Time, orders int, err error) {
	if r.unansweredSince.IsZero() {
		r.unansweredSince = begun
	}
	if r.isSilent(now) && !r.silenceLogged {
		r.silenceLogged = true
		k.Log.Event(evNotSent).Str("coordinator", r.host.ID).Int("orders", orders).Err(err).Msg("")
	}
}

// rankOf returns the rank of a host among the coordinators of a service.
func (k *Keeper) rankOf(service, host string) int {
	all := k.Turns.Coordinators(service, candidates)
	if i := slices.IndexFunc(all, func(h member.Host) bool { return h.ID == host }); i >= 0 {
		return i
	}
	return len(all)
}

// apply applies a directive of a coordinator. The caller holds the lock.
func (k *Keeper) apply(now time.Time, rank int, d rollout.Directive) {
	o := k.orders[d.ID.Service]
	if o == nil || o.ID != d.ID {
		return
	}
	k.learnAge(now, o, d.Age)
	k.advance(o, d.Phase, d.Reason)
	o.noteDirective(now, rank, d)
}

// minAgeDifference is the difference between two hosts' ages of one order from which on the greater
// one is taken over. Smaller ones arise from the time of the messages.
const minAgeDifference = 500 * time.Millisecond

// learnAge takes over the age that another host knows, if this host knows none or a lower one. The
// caller holds the lock.
func (k *Keeper) learnAge(now time.Time, o *order, age time.Duration) {
	if own := o.ageAt(now); age < 0 || own >= 0 && age < own+minAgeDifference {
		return
	}
	o.FirstSeen = now.Add(-age)
	k.Orders.NoteOrderSeen(o.ID, o.FirstSeen)
}
