package claim

import "context"

// LookupResult is the state of a reservation as shown to operators.
type LookupResult struct {
	ReservationID string
	Found         bool // the reservation has a record
	Record        Record
	HostAlive     bool // the host named in the record is alive, with the incarnation that made the attempt
}

// Lookup reads the record of a reservation without changing it. It returns an
// error if the id is malformed or the platform cannot be read.
func (c *Claims) Lookup(ctx context.Context, reservation string) (LookupResult, error) {
	id, err := parseID(reservation)
	if err != nil {
		return LookupResult{}, err
	}
	e, err := c.records.get(ctx, id)
	if err != nil {
		return LookupResult{}, err
	}
	s := LookupResult{ReservationID: id.String(), Found: e.version > 0, Record: e.rec}
	if s.Found {
		_, s.HostAlive = findHost(c.view, e.rec)
	}
	return s, nil
}
