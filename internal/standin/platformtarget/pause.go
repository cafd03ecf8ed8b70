package platformtarget

import "time"

// AdvancePauseClock advances the phase of the periodic pauses, as if the target had started earlier.
func (t *Target) AdvancePauseClock(d time.Duration) { t.pauseEpoch = t.pauseEpoch.Add(-d) }

// durationWithPauses returns the duration of work that begins now, including the pauses that fall
// into it.
func (t *Target) durationWithPauses(work time.Duration) time.Duration {
	if t.cfg.Pause <= 0 || t.cfg.PauseEvery <= t.cfg.Pause {
		return work
	}
	took := time.Duration(0)
	at := time.Since(t.pauseEpoch)
	for {
		phase := (at + took) % t.cfg.PauseEvery
		if phase < t.cfg.Pause {
			took += t.cfg.Pause - phase // no progress during a pause
			continue
		}
		untilPause := t.cfg.PauseEvery - phase
		if work <= untilPause {
			return took + work
		}
		took, work = took+untilPause, work-untilPause
	}
}
