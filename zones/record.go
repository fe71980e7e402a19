package zones

import (
	"maps"
	"slices"
	"time"
)

// Record is the state of a zone that is stored so that the next leader can restore it. The names in
// the field tags are part of the stored format and must not change. Times are wall clock times in
// milliseconds.
type Record struct {
	State     string  `cbor:"s"`           // name of the zone's state
	SinceMS   int64   `cbor:"t"`           // when the zone entered that state
	Penalty   float64 `cbor:"p,omitempty"` // number of losses, decaying by half every flap window; it lengthens the hold-down
	HeldMS    int64   `cbor:"h,omitempty"` // end of the hold-down; set only while the zone is held down
	Window    int     `cbor:"w,omitempty"` // limit on the starts in progress at once; 0 if they are not limited
	WrittenMS int64   `cbor:"m"`           // when the record was made
}

// Record returns the state of a zone to store, and false if there is nothing to store.
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

// NeedsWrite reports whether a record differs enough from the stored one to be worth a write.
func (r Record) NeedsWrite(stored Record) bool {
	return r.State != stored.State || r.Window >= 2*stored.Window && r.Window > 0 || r.Penalty > stored.Penalty+minPenalty
}

// Restore sets a zone to the state that an earlier leader stored, and reports whether it did. It
// ignores a record that was written more than a flap window ago, or that far in the future. Other
// values that are out of range are replaced by the nearest valid ones.
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
		z.penalty = min(r.Penalty, maxPenalty)
	}
	// A clock that ran ahead must not lengthen a hold-down beyond the configured maximum.
	z.heldUntil = earlier(time.UnixMilli(r.HeldMS), now.Add(t.settings.HoldDownMost))
	z.throttledAt = now
	z.window.size = min(max(r.Window, t.settings.FirstStarts), maxWindow)
	return true
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Names returns the names of all known zones, sorted.
func (t *Tracker) Names() []string { return slices.Sorted(maps.Keys(t.zones)) }
