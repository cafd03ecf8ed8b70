package host

// Reload puts in force what may change while the host runs.
func (h *Host) Reload(s Settings, err error) {}
