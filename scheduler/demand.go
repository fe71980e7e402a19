package scheduler

import "slices"

// Demand is what one job wants placed; its tasks are alike.
type Demand struct {
	Job, Class, Team string
	Tasks            []int // pending, in order
	Total            int
	Each             Resources
	Measure          Measure
	Types            []string
	Zone             string
	OneZone, Spread  bool
	Spot             bool
	Image            string
	CachedOnly       bool // only where the image is
	KeepOffSpot      bool // ordinary machines first, wherever its image is: a lost task delays more than its job
	Rank             int
	Service          bool
	Gang             bool           // all tasks at once or none
	WaitForBooting   bool           // too late for its aim on starting: what suits others counts before speed
	SpreadImages     bool           // emptiest machines first, to have images in many places
	OtherClasses     []Resources    // what tasks of other classes take
	WithinGuarantee  bool           // within its team's guarantee
	AgeS             float64        // since submission
	Begun            bool           // a task has run
	Aged             bool           // for so long that waiting wins, see OrderWithAging
	Late             int            // aims on finishing that it can't meet any more
	WorkS            float64        // what is left of it: sizes of tasks times seconds
	InZone           map[string]int // tasks in force by zone
	RoomInTeam       int            // tasks that the team's limit still allows
	Avoid            map[string]bool
	Phase            RestartPhase           // while work of a failed zone restarts
	OnlyZone         string                 // the only one that has machines for it, as far as that was asked
	Limits           map[string]*StartLimit // by zone; none: anything may start there
	Balance          *Balance               // nil: the fullest machine first
}

// Allows reports whether the demand's fixed constraints accept a machine.
func (d *Demand) Allows(typ, zone string, spot bool) bool {
	return (len(d.Types) == 0 || slices.Contains(d.Types, typ)) && (d.Zone == "" || d.Zone == zone) && (d.Spot || !spot)
}

// takes reports whether the demand may go to a machine now.
func (d *Demand) takes(m *Machine) bool {
	return d.Allows(m.Type, m.Zone, m.Spot) && !d.Avoid[m.ID] && (!d.CachedOnly || m.Images[d.Image])
}

// zoneRoom is how many more tasks may go to a zone.
func (d *Demand) zoneRoom(zone string) int {
	room := d.spreadRoom(zone)
	if limit := d.Limits[zone]; limit != nil {
		return min(room, limit.room(d))
	}
	return room
}

// spreadRoom is how many more tasks a job's own constraints allow in a zone.
func (d *Demand) spreadRoom(zone string) int {
	if d.OneZone {
		for z, n := range d.InZone {
			if n > 0 && z != zone {
				return 0
			}
		}
	}
	if d.Spread {
		return (d.Total+1)/2 - d.InZone[zone]
	}
	return d.Total
}
