package scheduler

import "slices"

// Demand describes the pending tasks of one job. All its tasks have the same resources and constraints.
type Demand struct {
	Job, Class, Team string
	Tasks            []int     // indexes of the pending tasks, in order
	Unlisted         int       // further pending tasks that are not in Tasks, since they can't start now
	Total            int       // number of all tasks of the job, pending or not
	TaskResources    Resources // resources of one task
	Measure          Measure   // converts resources into a size in cores
	Types            []string  // permitted machine types; empty: all
	Zone             string    // required zone; empty: any
	OneZone, Spread  bool      // OneZone: all tasks run in the same zone; Spread: no zone runs more than half of them, rounded up
	Spot             bool      // spot machines are permitted
	Image            string
	CachedOnly       bool // only machines that have the image
	PreferNonSpot    bool // prefer non-spot machines even over image locality: a lost task would delay a chain of jobs with a deadline
	Rank             int  // index in wire.Priorities; 0 is the highest. A job that needs this one can raise it above the job's own priority
	Service          bool
	Gang             bool                   // all tasks are placed at once or none is
	WaitForBooting   bool                   // the start objective is missed: tasks may wait for booting machines, and prefer machines that OtherClasses can't use
	SpreadImages     bool                   // least loaded machines first, so that many machines get the image
	OtherClasses     []Resources            // resources of one task of each other class with recent demand, to leave room for them; empty: not considered
	WithinGuarantee  bool                   // the job runs within its team's guarantee
	AgeS             float64                // seconds since the job became ready
	Started          bool                   // a task of the job has run
	Aged             bool                   // it has waited long enough to be ordered by age, see OrderWithAging
	MissedObjectives int                    // objectives on its finishing time that it can no longer meet
	WorkS            float64                // remaining work in core-seconds: the size of the unfinished tasks times the estimated run time
	InZone           map[string]int         // tasks with an active attempt, by zone
	OnMachine        map[string]int         // task slots that the job takes, by machine; nil: MaxOnMachine does not apply
	MaxOnMachine     int                    // task slots that the job may take on one machine
	RoomInTeam       int                    // further tasks that the team's limit allows
	Avoid            map[string]bool        // IDs of machines that must not be used
	RestartPhase     RestartPhase           // restart priority while work of a failed zone restarts
	OnlyZone         string                 // the only zone with machines that fit; empty if there are several or it was not determined
	StartLimits      map[string]*StartLimit // limits on starts by zone; a zone without an entry is unlimited
	Balance          *Balance               // nil: load is not balanced, and the most loaded machine comes first unless SpreadImages is set
}

// Allows reports whether the demand's fixed constraints permit a machine of the given type and zone.
func (d *Demand) Allows(typ, zone string, spot bool) bool {
	return (len(d.Types) == 0 || slices.Contains(d.Types, typ)) && (d.Zone == "" || d.Zone == zone) && (d.Spot || !spot)
}

// accepts reports whether the demand's tasks may be placed on a machine now, regardless of free resources.
func (d *Demand) accepts(m *Machine) bool {
	return d.Allows(m.Type, m.Zone, m.Spot) && !d.Avoid[m.ID] && (!d.CachedOnly || m.Images[d.Image])
}

// roomOn returns how many more of the demand's tasks have room on a machine, regardless of its zone.
func (d *Demand) roomOn(m *Machine) int {
	room := m.Free.Fits(d.TaskResources)
	if d.OnMachine == nil {
		return room
	}
	return min(room, d.ownRoomOn(m))
}

// ownRoomOn returns how many more tasks the limit on the job's own tasks allows on a machine.
func (d *Demand) ownRoomOn(m *Machine) int {
	if d.OnMachine == nil {
		return maxFits
	}
	return max(d.MaxOnMachine-d.OnMachine[m.ID], 0)
}

// zoneRoom returns how many more of the demand's tasks may be placed in a zone.
func (d *Demand) zoneRoom(zone string) int {
	room := d.spreadRoom(zone)
	if limit := d.StartLimits[zone]; limit != nil {
		return min(room, limit.room(d))
	}
	return room
}

// spreadRoom returns how many more tasks the job's own zone constraints (OneZone, Spread) allow in a zone.
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
