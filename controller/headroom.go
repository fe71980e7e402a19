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

// Headroom: machines kept ready beyond what runs, from what came lately.

// peak is how much of a class was wanted lately.
type peak struct {
	spec  wire.Job
	tasks float64
	at    time.Time
}

// headroom asks for room beyond what runs, class by class: the more, the longer
// a machine takes to boot against what the class's service-level objectives allow, but no more
// than may be missing before a machine that is requested now is up.
func (s *autoscaler) headroom() []*scheduler.Demand {
	s.trackPeaks()
	var ds []*scheduler.Demand
	for _, class := range slices.Sorted(maps.Keys(s.peaks)) {
		p := s.peaks[class]
		n := int(math.Ceil(math.Min(p.tasks*s.headroomShare(&p.spec), s.surge(&p.spec))))
		if n == 0 {
			continue
		}
		d := s.c.demandOf(&p.spec)
		d.Job, d.Zone, d.OneZone, d.Spread, d.Gang = "headroom/"+class, "", false, false, false
		d.Total, d.RoomInTeam, d.AgeS, d.OtherClasses = n, n, -1, s.otherClasses(class)
		d.Tasks = make([]int, n)
		ds = append(ds, d)
	}
	return ds
}

func (s *autoscaler) trackPeaks() {
	now := map[string]float64{}
	for _, j := range s.order {
		if j.cancelled || s.blocked(j) || j.grant != nil || j.origin != nil {
			continue
		}
		class := j.spec.Class
		now[class] += float64(j.state.Count(reduction.Pending) + j.state.Count(reduction.Running))
		if s.peaks[class] == nil {
			s.peaks[class] = &peak{spec: j.spec, at: s.c.now}
		}
	}
	for class, p := range s.peaks {
		p.tasks *= math.Exp2(-s.c.now.Sub(p.at).Seconds() / peakHalfLife)
		p.tasks, p.at = math.Max(p.tasks, now[class]), s.c.now
		if p.tasks < 0.5 {
			delete(s.peaks, class)
		}
	}
}

// surgeWindow is over how long arrivals are counted.
const surgeWindow = 90 * time.Second

// arrival is a job that came lately.
type arrival struct {
	class string
	tasks int
	at    time.Time
}

// arrived notes a job that is ready.
func (s *autoscaler) arrived(j *job) {
	s.arrivals = append(s.arrivals, arrival{j.spec.Class, j.spec.Tasks, j.ready})
}

// surge is by how many tasks the arrivals of a class may exceed their mean while
// a machine boots. Jobs come one by one and bring all their tasks at once, so the
// variance is that of the sum of their sizes: many small jobs need far less room
// in proportion than few large ones.
func (s *autoscaler) surge(j *wire.Job) float64 {
	s.arrivals = slices.DeleteFunc(s.arrivals, func(a arrival) bool { return s.c.now.Sub(a.at) > surgeWindow })
	boot, squares := 0.0, 0.0
	for _, t := range s.c.types {
		boot = math.Max(boot, t.BootS)
	}
	for _, a := range s.arrivals {
		if a.class == j.Class {
			squares += float64(a.tasks) * float64(a.tasks)
		}
	}
	deviations := s.c.op.Surge
	if j.Kind != wire.KindService {
		deviations = s.c.op.SurgeBatch
	}
	return deviations * math.Sqrt(squares*boot/surgeWindow.Seconds())
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

// soonestBoot is how many seconds a machine that a job may use takes to boot at least.
func (c *Core) soonestBoot(j *wire.Job) float64 {
	boot := math.Inf(1)
	for _, t := range c.typesFor(j) {
		boot = math.Min(boot, t.BootS)
	}
	return boot
}

// headroomShare weighs boot time against the tightest service-level objective on starting: where
// a machine can be requested in time, no room need be kept.
func (s *autoscaler) headroomShare(j *wire.Job) float64 {
	boot := s.c.soonestBoot(j)
	within := s.startAim(j)
	if math.IsInf(boot, 1) || math.IsInf(within, 1) {
		return 0
	}
	beyond := math.Max(0, boot/math.Max(within, 0.1)-1)
	return math.Min(s.c.op.HeadroomMost, s.c.op.Headroom*beyond*beyond)
}
