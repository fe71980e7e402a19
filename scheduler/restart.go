package scheduler

// Restarts after the loss of a zone: the order in which work starts again, and how many tasks may
// start in a zone at once.

// RestartPhase orders demands while work of a failed zone restarts. Otherwise all have the first.
type RestartPhase uint8

// The phases, the first one first.
const (
	RestartProdServices  RestartPhase = iota // users wait for them
	RestartServices                          // other services
	RestartTimelyBatches                     // batches that are to finish by a time, overdue or not
	RestartRest
)

// servicePhase is the phase as far as it orders services among each other and before batches.
func (d *Demand) servicePhase() RestartPhase { return min(d.Phase, RestartTimelyBatches) }

// StartLimit bounds the starts of one zone in a round, for all demands together.
type StartLimit struct {
	Starts    int                    // that may still be made
	Fetches   func(image string) int // that may still be made on machines without the image
	BoundOnly bool                   // only for demands that can go nowhere else
	HeldBack  bool                   // a task had room and was held back

	fetched map[string]int // starts on machines without the image, in this round
}

// boundTo reports whether a demand can go nowhere but to a zone.
func (d *Demand) boundTo(zone string) bool {
	return d.Zone == zone || d.OnlyZone == zone || d.OneZone && d.InZone[zone] > 0
}

// limitedTo reports whether a demand can go nowhere but to a zone whose starts are limited: it comes
// first there.
func (d *Demand) limitedTo() bool {
	for zone := range d.Limits {
		if d.boundTo(zone) {
			return true
		}
	}
	return false
}

// room is how many tasks of a demand may still start in the zone.
func (l *StartLimit) room(d *Demand) int {
	if l.BoundOnly && !d.limitedTo() {
		return 0
	}
	return max(l.Starts, 0)
}

// allows reports whether a task may start on a machine of the zone.
func (l *StartLimit) allows(d *Demand, m *Machine) bool {
	return l.room(d) > 0 && (m.Images[d.Image] || l.fetched[d.Image] < l.Fetches(d.Image))
}

// take counts starts on a machine of the zone; a negative number gives them back.
func (l *StartLimit) take(d *Demand, m *Machine, starts int) {
	l.Starts -= starts
	if m.Images[d.Image] {
		return
	}
	if l.fetched == nil {
		l.fetched = map[string]int{}
	}
	l.fetched[d.Image] += starts
}

// mayStart reports whether the limit of a machine's zone, if it has one, allows a start.
func (d *Demand) mayStart(m *Machine) bool {
	limit := d.Limits[m.Zone]
	if limit == nil || limit.allows(d, m) {
		return true
	}
	limit.HeldBack = true
	return false
}

// countStarts counts starts on a machine against the limit of its zone.
func (d *Demand) countStarts(m *Machine, starts int) {
	d.InZone[m.Zone] += starts
	if limit := d.Limits[m.Zone]; limit != nil {
		limit.take(d, m, starts)
	}
}
