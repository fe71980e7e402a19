package zones

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// throttleQuietPeriod is the time without a throttled start after which a returning zone is healthy.
const throttleQuietPeriod = 10 * time.Second

// minPenalty is the penalty below which a loss no longer lengthens hold-downs noticeably; a lower one is set to 0.
const minPenalty = 1.0 / 8

// maxPenalty limits a restored penalty; it is beyond any penalty that still lengthens a hold-down.
const maxPenalty = 64

// Tracker tracks the state of every zone.
type Tracker struct {
	settings Settings
	zones    map[string]*zone
}

// zone is the tracked state of one zone.
type zone struct {
	name         string
	state        State
	since        time.Time // when it entered this state
	penalty      float64   // number of losses, decaying by half every flap window
	penaltyAt    time.Time // when the penalty was last updated
	silentSince  time.Time // since when most of its machines have been silent; zero if they are not
	heldUntil    time.Time // end of the hold-down
	throttledAt  time.Time // when a start was last throttled, that is, delayed by the limit
	window       window
	fetchWindows map[string]*window // limits on starts in progress that fetch an image, by image
	losses       int                // number of losses since the tracker was created, for operators
}

// New returns a tracker in which all zones are healthy.
func New(settings Settings) *Tracker {
	return &Tracker{settings: settings, zones: map[string]*zone{}}
}

// zone returns a zone and adds it as healthy if it is not known.
func (t *Tracker) zone(name string, now time.Time) *zone {
	z := t.zones[name]
	if z == nil {
		z = &zone{name: name, since: now, penaltyAt: now}
		z.resetWindows(t.settings)
		t.zones[name] = z
	}
	return z
}

// State returns the state of a zone. An unknown zone is healthy.
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

// Observe updates the state of all zones from the failure detector's observations and returns the
// changes, sorted by zone name. The caller must make sure that its own connection to the machines
// works in general. The observations count as reliable if most machines of at least one zone, the
// witness, respond; without a witness, silence does not count against any zone.
func (t *Tracker) Observe(now time.Time, observations []Health) []Transition {
	witnesses := 0
	for _, h := range observations {
		if h.majorityResponsive() {
			witnesses++
		}
	}
	byZone := map[string]Health{}
	for _, h := range observations {
		byZone[h.Zone] = h
		t.zone(h.Zone, now)
	}
	var changes []Transition
	for _, z := range t.sortedZones() {
		h := byZone[z.name]
		before := z.state
		t.advance(now, z, h, witnesses > 0)
		if z.state != before {
			changes = append(changes, Transition{Zone: z.name, From: before, To: z.state})
		}
	}
	return changes
}

// advance updates the state of one zone from its observation.
func (t *Tracker) advance(now time.Time, z *zone, h Health, witnessed bool) {
	z.trackSilence(now, witnessed && h.majoritySilent())
	switch {
	case z.state == Healthy:
		if !z.silentSince.IsZero() {
			z.enter(Suspected, now)
		}
	case z.state == Lost:
		if t.hasReturned(now, z, h) {
			z.heldUntil = now.Add(t.holdDownDuration(z))
			z.enter(HeldDown, now)
		}
	case z.silentFor(now) >= t.settings.LostAfter:
		t.markLost(now, z)
	case z.state == Suspected:
		if z.silentSince.IsZero() {
			z.enter(Healthy, now)
		}
	case z.state == HeldDown:
		if !now.Before(z.heldUntil) {
			z.throttledAt = now
			z.enter(Returning, now)
		}
	case now.Sub(z.throttledAt) >= throttleQuietPeriod: // the zone is returning
		z.enter(Healthy, now)
		z.resetWindows(t.settings)
	}
}

// trackSilence records since when most of a zone's machines have been silent without interruption.
func (z *zone) trackSilence(now time.Time, silent bool) {
	if !silent {
		z.silentSince = time.Time{}
	} else if z.silentSince.IsZero() {
		z.silentSince = now
	}
}

// silentFor returns how long most of a zone's machines have been silent.
func (z *zone) silentFor(now time.Time) time.Duration {
	if z.silentSince.IsZero() {
		return 0
	}
	return now.Sub(z.silentSince)
}

// hasReturned reports whether a lost zone may run work again: most of its machines respond, or it has no
// machines and has been lost for the hold-down time. In the second case only new machines can show
// whether the zone works, so some must be tried there.
func (t *Tracker) hasReturned(now time.Time, z *zone, h Health) bool {
	return h.majorityResponsive() || h.empty() && now.Sub(z.since) >= t.holdDownDuration(z)
}

// markLost counts a loss of a zone and marks it as lost.
func (t *Tracker) markLost(now time.Time, z *zone) {
	z.decay(now, t.settings.FlapWindow)
	z.penalty++
	z.losses++
	z.resetWindows(t.settings)
	z.enter(Lost, now)
}

// holdDownDuration returns how long a zone with its current penalty is held down.
func (t *Tracker) holdDownDuration(z *zone) time.Duration {
	hold := float64(t.settings.HoldDown) * math.Exp2(max(z.penalty-1, 0))
	return time.Duration(min(hold, float64(t.settings.HoldDownMost)))
}

func (z *zone) enter(s State, now time.Time) { z.state, z.since = s, now }

// decay lets the penalty decay by half every flap window.
func (z *zone) decay(now time.Time, halfLife time.Duration) {
	if elapsed := now.Sub(z.penaltyAt); elapsed > 0 && halfLife > 0 {
		z.penalty *= math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	}
	if z.penalty < minPenalty {
		z.penalty = 0
	}
	z.penaltyAt = now
}

// sortedZones returns all zones sorted by name.
func (t *Tracker) sortedZones() []*zone {
	zones := make([]*zone, 0, len(t.zones))
	for _, z := range t.zones {
		zones = append(zones, z)
	}
	slices.SortFunc(zones, func(a, b *zone) int { return cmp.Compare(a.name, b.name) })
	return zones
}
