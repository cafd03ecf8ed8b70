package claim

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

const (
	cursorKind = objstore.KindClaim + "-cursor"
	cursorName = "sweep"
	// initialCursorLead is how many slices a new cursor starts before the slice
	// that is removeAfter old.
	initialCursorLead = timeSlice(24 * time.Hour / sliceLength)
)

// cursor is the platform object that names the next slice to sweep. It only
// moves forward and only saves work: whether a record may be removed depends on
// the time of its slice alone.
type cursor struct {
	Slice timeSlice `json:"slice"`
}

// sweepLoop removes old records while this host is one of the sweeping hosts.
// Each round makes at most MaxSweepCalls platform calls.
func (c *Claims) sweepLoop(ctx context.Context) {
	limit := rate.NewLimiter(rate.Limit(c.cfg.SweepRate), 1)
	for {
		every := c.cfg.SweepInterval.Std()
		if !await.Sleep(ctx, every/2+rand.N(every)) {
			return
		}
		rank := sweepRank(c.view, c.cfg.Sweepers)
		if rank < 0 {
			continue
		}
		if err := c.sweep(ctx, limit, rank); err != nil && ctx.Err() == nil {
			c.log.Event(evSweepFailed).Err(err).Msg("")
		}
	}
}

// sweepRank returns this host's rank among the n hosts with the lowest id
// hashes, or -1 if it is not one of them. Hosts need not agree on the result: a
// surplus sweeper only costs calls, and a missing one is missing only while the
// membership views differ.
func sweepRank(v member.View, n int) int {
	hosts := slices.Clone(v.Hosts())
	slices.SortFunc(hosts, func(a, b member.Host) int {
		return cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID))
	})
	self := v.Self().ID
	return slices.IndexFunc(hosts[:min(n, len(hosts))], func(h member.Host) bool { return h.ID == self })
}

// sweep removes records slice by slice, starting at the cursor, until it
// reaches a slice that is too recent or has used up the calls of the round.
func (c *Claims) sweep(ctx context.Context, limit *rate.Limiter, rank int) error {
	s := &sweeper{c: c, limit: limit, callsLeft: c.cfg.MaxSweepCalls, backwards: rank%2 == 1}
	cur, version, err := s.readCursor(ctx)
	if err != nil {
		return err
	}
	for s.callsLeft > 0 {
		now, known := c.store.Now()
		if !known || now.Sub(cur.Slice.end()) <= removeAfter {
			return nil
		}
		empty, err := s.sweepSlice(ctx, cur.Slice)
		if err != nil {
			return err
		}
		if !empty {
			continue // list again: the records were removed, or changed meanwhile
		}
		cur.Slice++
		cur, version, err = s.writeCursor(ctx, version, cur)
		if err != nil {
			return err
		}
	}
	return nil
}

// sweeper is the state of one sweep round.
type sweeper struct {
	c         *Claims
	limit     *rate.Limiter
	callsLeft int // platform calls that the round may still make
	// backwards is set for every second sweeper: two sweepers process a slice
	// from both ends and meet in the middle.
	backwards bool
}

// call counts a platform call and waits for the rate limiter.
func (s *sweeper) call(ctx context.Context) error {
	s.callsLeft--
	return s.limit.Wait(ctx)
}

// sweepSlice removes the records of one slice. empty is true if the slice had
// none.
func (s *sweeper) sweepSlice(ctx context.Context, slice timeSlice) (empty bool, err error) {
	if err := s.call(ctx); err != nil {
		return false, err
	}
	list, err := s.c.store.List(ctx, slice.kind())
	if err != nil {
		return false, Error.New("list old records: %w", err)
	}
	if s.backwards {
		slices.Reverse(list.Objects)
	}
	removed := 0
	for _, o := range list.Objects {
		if s.callsLeft <= 0 {
			return false, nil
		}
		gone, err := s.remove(ctx, o)
		if err != nil {
			return false, err
		}
		if gone {
			break
		}
		removed++
	}
	if removed > 0 {
		s.c.log.Event(evRecordsRemoved).Int("removed", removed).Int64("slice", int64(slice)).Msg("")
	}
	return len(list.Objects) == 0, nil
}

// remove deletes one record. gone is true if the record was removed or changed
// after it was listed, which means that another sweeper has reached the same
// position.
func (s *sweeper) remove(ctx context.Context, o objstore.Object) (gone bool, err error) {
	if err := s.call(ctx); err != nil {
		return false, err
	}
	err = s.c.store.Delete(ctx, o.Kind, o.Name, o.Version)
	var con *objstore.Conflict
	if errors.As(err, &con) || errors.Is(err, objstore.ErrNotFound) {
		return true, nil
	}
	if err != nil {
		return false, Error.New("remove old record: %w", err)
	}
	s.c.metrics.removed.Inc()
	return false, nil
}

func (s *sweeper) readCursor(ctx context.Context) (cursor, uint64, error) {
	if err := s.call(ctx); err != nil {
		return cursor{}, 0, err
	}
	obj, err := s.c.store.Get(ctx, cursorKind, cursorName)
	if errors.Is(err, objstore.ErrNotFound) {
		now, _ := s.c.store.Now()
		return cursor{Slice: timeSliceOf(now.Add(-removeAfter)) - initialCursorLead}, 0, nil
	}
	if err != nil {
		return cursor{}, 0, Error.New("read sweep cursor: %w", err)
	}
	return decodeCursor(obj)
}

// writeCursor stores the cursor. If another sweeper moved it first, it returns
// the cursor of that sweeper.
func (s *sweeper) writeCursor(ctx context.Context, version uint64, cur cursor) (cursor, uint64, error) {
	value, err := json.Marshal(cur)
	if err != nil {
		return cur, 0, Error.New("encode sweep cursor: %w", err)
	}
	if err := s.call(ctx); err != nil {
		return cur, 0, err
	}
	obj, err := s.c.store.Put(ctx, cursorKind, cursorName, version, value)
	var con *objstore.Conflict
	if errors.As(err, &con) && con.Current.Version > 0 {
		return decodeCursor(con.Current)
	}
	if err != nil {
		return cur, 0, Error.New("write sweep cursor: %w", err)
	}
	return cur, obj.Version, nil
}

func decodeCursor(obj objstore.Object) (cursor, uint64, error) {
	var cur cursor
	if err := json.Unmarshal(obj.Value, &cur); err != nil {
		return cursor{}, 0, Error.New("decode sweep cursor: %w", err)
	}
	return cur, obj.Version, nil
}
