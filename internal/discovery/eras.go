package discovery

import (
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// Each kind of state is sent with an era of its own: a host may have read one kind after a restore
// of the store and another kind before it. As they are nearly always equal, a message has one
// common era and an override for each revision that differs.

// commonEra returns the latest era of the revisions.
func commonEra(all ...revision.Revision) uint64 {
	era := uint64(0)
	for _, r := range all {
		era = max(era, r.Era)
	}
	return era
}

// eraOverride returns the era of a revision if it differs from the common one and has to be sent
// with it.
func eraOverride(r revision.Revision, common uint64) *uint64 {
	if r.Era == common || r.Number == 0 {
		return nil
	}
	return &r.Era
}

// decodeRevision decodes a revision of a message. Number 0 means that the sender has none.
func decodeRevision(number uint64, own *uint64, common uint64) revision.Revision {
	switch {
	case number == 0:
		return revision.Revision{}
	case own != nil:
		return revision.Revision{Era: *own, Number: number}
	}
	return revision.Revision{Era: common, Number: number}
}

// encodeRequestRevisions writes the revisions of a cursor into a request.
func encodeRequestRevisions(k Cursor, out *peerpb.FollowRequest) {
	out.Era = commonEra(k.ConfigRevision, k.RegistryRevision, k.EvacuationRevision, k.RolloutRevision)
	out.ConfigRevision, out.ConfigEra = k.ConfigRevision.Number, eraOverride(k.ConfigRevision, out.Era)
	out.RegistryRevision, out.RegistryEra = k.RegistryRevision.Number, eraOverride(k.RegistryRevision, out.Era)
	out.EvacuationRevision, out.EvacuationEra = k.EvacuationRevision.Number, eraOverride(k.EvacuationRevision, out.Era)
	out.RolloutRevision, out.RolloutEra = k.RolloutRevision.Number, eraOverride(k.RolloutRevision, out.Era)
	if k.FollowsRollouts && k.RolloutRevision.Number == 0 {
		out.RolloutEra = &k.RolloutRevision.Era // shows that the host follows rollouts, though it has none yet
	}
}

// decodeRequestRevisions returns the revisions in a request.
func decodeRequestRevisions(in *peerpb.FollowRequest) Cursor {
	return Cursor{
		ConfigRevision:     decodeRevision(in.ConfigRevision, in.ConfigEra, in.Era),
		RegistryRevision:   decodeRevision(in.RegistryRevision, in.RegistryEra, in.Era),
		EvacuationRevision: decodeRevision(in.EvacuationRevision, in.EvacuationEra, in.Era),
		RolloutRevision:    decodeRevision(in.RolloutRevision, in.RolloutEra, in.Era),
		FollowsRollouts:    in.RolloutRevision > 0 || in.RolloutEra != nil,
	}
}

// encodeReplyRevisions writes the revisions of an update into a reply.
func encodeReplyRevisions(u Update, out *peerpb.FollowReply) {
	out.Era = commonEra(u.ConfigRevision, u.RegistryRevision, u.EvacuationRevision, u.RolloutRevision)
	out.ConfigRevision, out.ConfigEra = u.ConfigRevision.Number, eraOverride(u.ConfigRevision, out.Era)
	out.RegistryRevision, out.RegistryEra = u.RegistryRevision.Number, eraOverride(u.RegistryRevision, out.Era)
	out.EvacuationRevision, out.EvacuationEra = u.EvacuationRevision.Number, eraOverride(u.EvacuationRevision, out.Era)
	out.RolloutRevision, out.RolloutEra = u.RolloutRevision.Number, eraOverride(u.RolloutRevision, out.Era)
}

// decodeReplyRevisions sets the revisions of an update from a reply.
func decodeReplyRevisions(in *peerpb.FollowReply, u *Update) {
	u.ConfigRevision = decodeRevision(in.ConfigRevision, in.ConfigEra, in.Era)
	u.RegistryRevision = decodeRevision(in.RegistryRevision, in.RegistryEra, in.Era)
	u.EvacuationRevision = decodeRevision(in.EvacuationRevision, in.EvacuationEra, in.Era)
	u.RolloutRevision = decodeRevision(in.RolloutRevision, in.RolloutEra, in.Era)
}
