package scheduler

// This file has what placement does after the loss of a zone: the order in which work starts again, and the
// limit on tasks that start in a zone at once.

// RestartPhase orders demands while work of a failed zone restarts. At all other times every demand is
// in the first phase.
type RestartPhase uint8

// The phases, in the order in which they restart.
const (
	RestartProdServices    RestartPhase = iota // services that users wait for
	RestartServices                            // other services
	RestartDeadlineBatches                     // batch jobs with a deadline, overdue or not
	RestartRest                                // everything else
)

// servicePhase returns the phase with all batch phases made equal: it orders services among each other
// and before batch jobs.
func (d *Demand) servicePhase() RestartPhase { return min(d.RestartPhase, RestartDeadlineBatches) }

// StartLimit limits how many tasks all demands together may start in one zone in a placement round.
type StartLimit struct {
	Starts     int                    // starts that are still allowed
	FetchLimit func(image string) int // starts allowed in the round on machines without the image
	PinnedOnly bool                   // only demands that can run in no other zone may start
	Throttled  bool                   // set if the limit delayed a task that had room

	fetched map[string]int // starts on machines without the image in this round, by image
}

// pinnedTo reports whether a demand can run in no zone but this one.
func (d *Demand) pinnedTo(zone string) bool {
	return d.Zone == zone || d.OnlyZone == zone || d.OneZone && d.InZone[zone] > 0
}

// pinnedToLimitedZone reports whether a demand can run only in a zone whose starts are limited. Such demands
// are ordered before others.
func (d *Demand) pinnedToLimitedZone() bool {
	for zone := range d.StartLimits {
		if d.pinnedTo(zone) {
			return true
		}
	}
	return false
}

// room returns how many more tasks of a demand may start in the zone, whatever their images.
func (l *StartLimit) room(d *Demand) int {
	if l.PinnedOnly && !d.pinnedToLimitedZone() {
		return 0
	}
	return max(l.Starts, 0)
}

// allows reports whether a task of the demand may start on a machine of the zone.
func (l *StartLimit) allows(d *Demand, m *Machine) bool {
	return l.room(d) > 0 && (m.Images[d.Image] || l.fetched[d.Image] < l.FetchLimit(d.Image))
}

// count records starts on a machine of the zone; a negative number undoes them.
func (l *StartLimit) count(d *Demand, m *Machine, starts int) {
	l.Starts -= starts
	if m.Images[d.Image] {
		return
	}
	if l.fetched == nil {
		l.fetched = map[string]int{}
	}
	l.fetched[d.Image] += starts
}

// mayStart reports whether the limit of a machine's zone, if there is one, allows a start. If it does not,
// it marks the limit as having delayed a task.
func (d *Demand) mayStart(m *Machine) bool {
	limit := d.StartLimits[m.Zone]
	if limit == nil || limit.allows(d, m) {
		return true
	}
	limit.Throttled = true
	return false
}

// countStarts records starts on a machine for the demand and for the limit of the machine's zone. A negative
// number undoes them.
func (d *Demand) countStarts(m *Machine, starts int) {
	d.InZone[m.Zone] += starts
	if d.OnMachine != nil {
		d.OnMachine[m.ID] += starts
	}
	if limit := d.StartLimits[m.Zone]; limit != nil {
		limit.count(d, m, starts)
	}
}
