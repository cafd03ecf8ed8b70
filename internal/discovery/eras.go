package discovery

import (
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// Hosts tell each other the era of each belief, not one of the host: a host may have read one kind since the store came
// back from an older copy, and another one before. They are nearly always the same, so that one is told for all.

// commonEra returns the latest era of revisions.
func commonEra(all ...revision.Revision) uint64 {
	era := uint64(0)
	for _, r := range all {
		era = max(era, r.Era)
	}
	return era
}

// ownEra returns the era of a revision if it has to be told beside the common one.
func ownEra(r revision.Revision, common uint64) *uint64 {
	if r.Era == common || r.Number == 0 {
		return nil
	}
	return &r.Era
}

// readRevision reads a revision that a host told. One without a number is not known.
func readRevision(number uint64, own *uint64, common uint64) revision.Revision {
	switch {
	case number == 0:
		return revision.Revision{}
	case own != nil:
		return revision.Revision{Era: *own, Number: number}
	}
	return revision.Revision{Era: common, Number: number}
}

// writeKnown writes the revisions that a host holds into a request.
func writeKnown(k Known, out *peerpb.FollowRequest) {
	out.Era = commonEra(k.ConfigRevision, k.RegistryRevision, k.EvacuationRevision)
	out.ConfigRevision, out.ConfigEra = k.ConfigRevision.Number, ownEra(k.ConfigRevision, out.Era)
	out.RegistryRevision, out.RegistryEra = k.RegistryRevision.Number, ownEra(k.RegistryRevision, out.Era)
	out.EvacuationRevision, out.EvacuationEra = k.EvacuationRevision.Number, ownEra(k.EvacuationRevision, out.Era)
}

// readKnown reads the revisions that the host of a request holds.
func readKnown(in *peerpb.FollowRequest) Known {
	return Known{
		ConfigRevision:     readRevision(in.ConfigRevision, in.ConfigEra, in.Era),
		RegistryRevision:   readRevision(in.RegistryRevision, in.RegistryEra, in.Era),
		EvacuationRevision: readRevision(in.EvacuationRevision, in.EvacuationEra, in.Era),
	}
}

// writeRevisions writes the revisions of news into a reply.
func writeRevisions(n News, out *peerpb.FollowReply) {
	out.Era = commonEra(n.ConfigRevision, n.RegistryRevision, n.EvacuationRevision)
	out.ConfigRevision, out.ConfigEra = n.ConfigRevision.Number, ownEra(n.ConfigRevision, out.Era)
	out.RegistryRevision, out.RegistryEra = n.RegistryRevision.Number, ownEra(n.RegistryRevision, out.Era)
	out.EvacuationRevision, out.EvacuationEra = n.EvacuationRevision.Number, ownEra(n.EvacuationRevision, out.Era)
}

// readRevisions reads the revisions of a reply into news.
func readRevisions(in *peerpb.FollowReply, n *News) {
	n.ConfigRevision = readRevision(in.ConfigRevision, in.ConfigEra, in.Era)
	n.RegistryRevision = readRevision(in.RegistryRevision, in.RegistryEra, in.Era)
	n.EvacuationRevision = readRevision(in.EvacuationRevision, in.EvacuationEra, in.Era)
}
