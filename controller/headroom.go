package controller

import (
	"maps"
	"math"
	"slices"
	"time"

	"pumicefront/reduction"
	"pumicefront/scheduler"
	"pumicefront/wire"
)

// Headroom: machines kept ready beyond the current use, sized by recent demand.

// peak is the recent peak demand of a job class, in tasks; it decays with peakHalfLife. spec is that of a job of the class.
type peak struct {
	spec  wire.Job
	tasks float64
	at    time.Time
}

// headroom lists demands for room beyond the current use, one for each job class. The longer a machine takes to boot
// compared to the class's service-level objectives, the more headroom; but no more than may be missing before a machine
// requested now would be up, nor than the limits of the teams allow to be used.
func (s *autoscaler) headroom() []*scheduler.Demand {
	s.updatePeaks()
	var ds []*scheduler.Demand
	used := s.teamUse()
	for _, class := range slices.Sorted(maps.Keys(s.peaks)) {
		p := s.peaks[class]
		d := s.c.demandOf(&p.spec)
		n := tasksUpTo(math.Min(p.tasks*s.headroomShare(&p.spec), s.surge(&p.spec)), s.roomInTeams(d, used))
		if n == 0 {
			continue
		}
		d.Job, d.Zone, d.OneZone, d.Spread, d.Gang = "headroom/"+class, "", false, false, false
		d.Total, d.RoomInTeam, d.AgeS, d.OtherClasses = n, n, -1, s.otherClasses(class)
		d.Tasks = make([]int, n)
		ds = append(ds, d)
	}
	return ds
}

// tasksUpTo rounds an estimated number of tasks up, to at most a limit. An estimate that is not a number gives 0.
func tasksUpTo(estimate float64, limit int) int {
	if !(estimate > 0) {
		return 0
	}
	return int(math.Min(math.Ceil(estimate), float64(limit)))
}

// roomInTeams returns how many more tasks of a demand the limits of all teams together allow.
func (s *autoscaler) roomInTeams(d *scheduler.Demand, used map[string]scheduler.Resources) int {
	room := 0
	for team, q := range s.c.quotas {
		room += q.room(used[team], d.TaskResources)
	}
	return room
}

func (s *autoscaler) updatePeaks() {
	current := map[string]float64{}
	for _, j := range s.jobsByAcceptance {
		if j.cancelled || s.blocked(j) || j.grant != nil || j.origin != nil {
			continue
		}
		class := j.spec.Class
		current[class] += float64(j.state.Count(reduction.Pending) + j.state.Count(reduction.Running))
		if s.peaks[class] == nil {
			s.peaks[class] = &peak{spec: j.spec, at: s.c.now}
		}
	}
	for class, p := range s.peaks {
		p.tasks *= math.Exp2(-s.c.now.Sub(p.at).Seconds() / peakHalfLife)
		p.tasks, p.at = math.Max(p.tasks, current[class]), s.c.now
		if p.tasks < 0.5 {
			delete(s.peaks, class)
		}
	}
}

// arrivalWindow is the period over which arrivals are counted.
const arrivalWindow = 90 * time.Second

// arrival is a job that has recently become ready.
type arrival struct {
	class string
	tasks int
	at    time.Time
}

// recordArrival records that a job has become ready.
func (s *autoscaler) recordArrival(j *job) {
	s.arrivals = append(s.arrivals, arrival{j.spec.Class, j.spec.Tasks, j.ready})
}

// surge estimates by how many tasks the arrivals of a class may exceed their mean while a machine boots: a configured
// number of standard deviations. Jobs arrive one by one, each with all its tasks, so the variance is that of the sum of
// their sizes: many small jobs need far less room in proportion than a few large ones.
func (s *autoscaler) surge(j *wire.Job) float64 {
	s.arrivals = slices.DeleteFunc(s.arrivals, func(a arrival) bool { return s.c.now.Sub(a.at) > arrivalWindow })
	boot, sumOfSquares := 0.0, 0.0
	for _, t := range s.c.types {
		boot = math.Max(boot, t.BootS)
	}
	for _, a := range s.arrivals {
		if a.class == j.Class {
			sumOfSquares += float64(a.tasks) * float64(a.tasks)
		}
	}
	deviations := s.c.op.Surge
	if j.Kind != wire.KindService {
		deviations = s.c.op.SurgeBatch
	}
	return deviations * math.Sqrt(sumOfSquares*boot/arrivalWindow.Seconds())
}

// typesFor lists the machine types that a job may use.
func (c *Core) typesFor(j *wire.Job) []wire.MachineType {
	var ts []wire.MachineType
	for _, t := range c.types {
		if len(j.Types) == 0 || slices.Contains(j.Types, t.Name) {
			ts = append(ts, t)
		}
	}
	return ts
}

// shortestBootForS is the shortest boot time of the machine types that a job may use, in seconds; infinite if there
// is none.
func (c *Core) shortestBootForS(j *wire.Job) float64 {
	boot := math.Inf(1)
	for _, t := range c.typesFor(j) {
		boot = math.Min(boot, t.BootS)
	}
	return boot
}

// headroomShare is the share of a class's peak to keep as headroom. It grows with the boot time relative to the
// tightest start objective; where a machine that is requested on demand boots in time, it is 0.
func (s *autoscaler) headroomShare(j *wire.Job) float64 {
	boot := s.c.shortestBootForS(j)
	within := s.startObjectiveS(j)
	if math.IsInf(boot, 1) || math.IsInf(within, 1) {
		return 0
	}
	beyond := math.Max(0, boot/math.Max(within, 0.1)-1)
	return math.Min(s.c.op.HeadroomMost, s.c.op.Headroom*beyond*beyond)
}
