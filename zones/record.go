package zones

import (
	"maps"
	"slices"
	"time"
)

// Record is what is kept of a zone across a change of leader. Its fields are stored: their names
// may not change. Times are of the wall clock, in milliseconds.
type Record struct {
	State     string  `cbor:"s"`           // the zone's state, by its name
	SinceMS   int64   `cbor:"t"`           // when the zone came into that state
	Penalty   float64 `cbor:"p,omitempty"` // losses, each halved every flap window; it lengthens the hold-down
	HeldMS    int64   `cbor:"h,omitempty"` // until when it is held down; only in that state
	Window    int     `cbor:"w,omitempty"` // starts that may be under way at once, where they are limited
	WrittenMS int64   `cbor:"m"`           // when the record was made
}

// Record returns what should be kept of a zone, and false where nothing has to be.
func (t *Tracker) Record(name string, now time.Time) (Record, bool) {
	z := t.zones[name]
	if z == nil {
		return Record{}, false
	}
	z.decay(now, t.settings.FlapWindow)
	if z.state == Suspected || z.state == Healthy && z.penalty == 0 {
		return Record{}, false
	}
	r := Record{State: z.state.String(), SinceMS: z.since.UnixMilli(), Penalty: z.penalty, WrittenMS: now.UnixMilli()}
	if z.state == HeldDown {
		r.HeldMS = z.heldUntil.UnixMilli()
	}
	if z.limited() {
		r.Window = z.window.size
	}
	return r, true
}

// Worth reports whether a record differs enough from the one that is kept to be written.
func (r Record) Worth(kept Record) bool {
	return r.State != kept.State || r.Window >= 2*kept.Window && r.Window > 0 || r.Penalty > kept.Penalty+leastPenalty
}

// Restore takes up what an earlier leader has kept of a zone, unless it is stale or makes no
// sense; it tells which.
func (t *Tracker) Restore(name string, r Record, now time.Time) bool {
	age := now.Sub(time.UnixMilli(r.WrittenMS))
	if age > t.settings.FlapWindow || age < -t.settings.FlapWindow {
		return false
	}
	z := t.zone(name, now)
	if err := z.state.UnmarshalText([]byte(r.State)); err != nil {
		return false
	}
	z.since, z.penaltyAt = earlier(time.UnixMilli(r.SinceMS), now), earlier(time.UnixMilli(r.WrittenMS), now)
	z.penalty = 0
	if r.Penalty > 0 {
		z.penalty = min(r.Penalty, mostPenalty)
	}
	// A clock that was ahead must not lengthen a hold-down beyond what is configured.
	z.heldUntil = earlier(time.UnixMilli(r.HeldMS), now.Add(t.settings.HoldDownMost))
	z.heldBackAt = now
	z.window.size = min(max(r.Window, t.settings.FirstStarts), mostStarts)
	return true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Names lists the zones that are known, sorted.
func (t *Tracker) Names() []string { return slices.Sorted(maps.Keys(t.zones)) }
