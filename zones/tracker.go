package zones

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// rampCalm is how long nothing must have been held back before a returning zone is healthy.
const rampCalm = 10 * time.Second

// leastPenalty is below what a penalty no longer lengthens a hold-down worth naming.
const leastPenalty = 1.0 / 8

// mostPenalty is beyond what any hold-down can be lengthened by.
const mostPenalty = 64

// Tracker follows the state of every zone.
type Tracker struct {
	settings Settings
	zones    map[string]*zone
}

// zone is what is known of one zone.
type zone struct {
	name       string
	state      State
	since      time.Time // when it came into this state
	penalty    float64   // losses, each halved every flap window
	penaltyAt  time.Time // when the penalty was computed
	silentAt   time.Time // since when most of it is seen silent; zero: it is not
	heldUntil  time.Time // the end of the hold-down
	heldBackAt time.Time // when a start was held back last
	window     window
	fetches    map[string]*window // by image
	losses     int                // since this tracker began, for operators
}

// New returns a tracker to which all zones are healthy.
func New(settings Settings) *Tracker {
	return &Tracker{settings: settings, zones: map[string]*zone{}}
}

func (t *Tracker) zone(name string, now time.Time) *zone {
	z := t.zones[name]
	if z == nil {
		z = &zone{name: name, since: now, penaltyAt: now}
		z.resetWindows(t.settings)
		t.zones[name] = z
	}
	return z
}

// State returns what is believed of a zone.
func (t *Tracker) State(name string) State {
	if z := t.zones[name]; z != nil {
		return z.state
	}
	return Healthy
}

// Recovering reports whether any zone is not healthy.
func (t *Tracker) Recovering() bool {
	for _, z := range t.zones {
		if z.state != Healthy {
			return true
		}
	}
	return false
}

// Observe takes a look at all zones and returns what changed, by the zones' names. The caller
// vouches for its own way to the machines in general; that this look can be trusted is seen from
// at least one zone that answers. Without such a witness nothing is concluded from silence.
func (t *Tracker) Observe(now time.Time, look []Health) []Transition {
	witnesses := 0
	for _, h := range look {
		if h.mostResponsive() {
			witnesses++
		}
	}
	seen := map[string]Health{}
	for _, h := range look {
		seen[h.Zone] = h
		t.zone(h.Zone, now)
	}
	var changes []Transition
	for _, z := range t.sorted() {
		h := seen[z.name]
		before := z.state
		t.advance(now, z, h, witnesses > 0)
		if z.state != before {
			changes = append(changes, Transition{Zone: z.name, From: before, To: z.state})
		}
	}
	return changes
}

// advance moves one zone along by what is seen of it.
func (t *Tracker) advance(now time.Time, z *zone, h Health, witnessed bool) {
	z.noteSilence(now, witnessed && h.mostSilent())
	switch {
	case z.state == Healthy:
		if !z.silentAt.IsZero() {
			z.enter(Suspected, now)
		}
	case z.state == Lost:
		if t.isBack(now, z, h) {
			z.heldUntil = now.Add(t.holdDown(z))
			z.enter(HeldDown, now)
		}
	case z.silentFor(now) >= t.settings.LostAfter:
		t.lose(now, z)
	case z.state == Suspected:
		if z.silentAt.IsZero() {
			z.enter(Healthy, now)
		}
	case z.state == HeldDown:
		if !now.Before(z.heldUntil) {
			z.heldBackAt = now
			z.enter(Returning, now)
		}
	case now.Sub(z.heldBackAt) >= rampCalm:
		z.enter(Healthy, now)
		z.resetWindows(t.settings)
	}
}

// noteSilence notes since when most of a zone has been seen silent without a pause.
func (z *zone) noteSilence(now time.Time, silent bool) {
	if !silent {
		z.silentAt = time.Time{}
	} else if z.silentAt.IsZero() {
		z.silentAt = now
	}
}

// silentFor is how long most of a zone has been seen silent.
func (z *zone) silentFor(now time.Time) time.Duration {
	if z.silentAt.IsZero() {
		return 0
	}
	return now.Sub(z.silentAt)
}

// isBack reports whether a lost zone may hold work again: most of it answers, or none of its machines
// is left that could. In the second case only new machines can tell, so some must be tried.
func (t *Tracker) isBack(now time.Time, z *zone, h Health) bool {
	return h.mostResponsive() || h.empty() && now.Sub(z.since) >= t.holdDown(z)
}

// lose counts a loss.
func (t *Tracker) lose(now time.Time, z *zone) {
	z.decay(now, t.settings.FlapWindow)
	z.penalty++
	z.losses++
	z.resetWindows(t.settings)
	z.enter(Lost, now)
}

// holdDown is how long a zone is held down with its present penalty.
func (t *Tracker) holdDown(z *zone) time.Duration {
	hold := float64(t.settings.HoldDown) * math.Exp2(max(z.penalty-1, 0))
	return time.Duration(min(hold, float64(t.settings.HoldDownMost)))
}

func (z *zone) enter(s State, now time.Time) { z.state, z.since = s, now }

// decay halves the penalty once in every flap window.
func (z *zone) decay(now time.Time, halfLife time.Duration) {
	if passed := now.Sub(z.penaltyAt); passed > 0 && halfLife > 0 {
		z.penalty *= math.Exp2(-passed.Seconds() / halfLife.Seconds())
	}
	if z.penalty < leastPenalty {
		z.penalty = 0
	}
	z.penaltyAt = now
}

func (t *Tracker) sorted() []*zone {
	zones := make([]*zone, 0, len(t.zones))
	for _, z := range t.zones {
		zones = append(zones, z)
	}
	slices.SortFunc(zones, func(a, b *zone) int { return cmp.Compare(a.name, b.name) })
	return zones
}
