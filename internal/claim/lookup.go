package claim

import "context"

// LookupResult is what an operator reads of a reservation.
type LookupResult struct {
	ReservationID string
	Found         bool // there is a record
	Record        Record
	HostAlive     bool // the host in the record lives, and still has the incarnation of the attempt
}

// Lookup reads the record of a reservation for an operator; it changes
// nothing. A malformed id and a platform that does not answer are errors.
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
