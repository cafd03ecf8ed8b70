package discovery

import "rhubarbwood.example/rhubarbwood/internal/revision"

func (f *Follower) logTargets(changes []TargetChange, from string) {
	at := f.state.Cursor().RegistryRevision
	for _, c := range changes {
		if c.Problem != "" {
			f.logUnusable(c, at)
			continue
		}
		if c.Gone {
			f.log.Event(evTargetGone).Str("target", c.Target.ID).Str("service", c.Target.Service).
				Uint64("era", at.Era).Uint64("revision", at.Number).Str("from", from).Msg("")
			continue
		}
		f.log.Event(evTargetRegistered).Str("target", c.Target.ID).Str("service", c.Target.Service).
			Str("address", c.Target.Address).Str("failure_domain", c.Target.Domain).
			Bool("draining", c.Target.Draining).Uint64("era", at.Era).Uint64("revision", at.Number).Str("from", from).Msg("")
	}
}

// unusableLogsPerSecond and unusableLogBurst limit the log entries about unusable registrations and
// about evacuation entries and rollout orders that can't be read.
const (
	unusableLogsPerSecond = 1
	unusableLogBurst      = 50
)

func (f *Follower) logUnusable(c TargetChange, at revision.Revision) {
	f.metrics.unusable.Inc()
	if f.unusableLogs.Allow() {
		f.log.Event(evUnusable).Str("registration", c.Target.ID).Str("problem", c.Problem).
			Uint64("era", at.Era).Uint64("revision", at.Number).Msg("")
	}
}
