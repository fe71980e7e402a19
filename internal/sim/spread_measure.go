package sim

import (
	"fmt"
	"math"
	"slices"
	"time"

	"pumicefront/balance"
	"pumicefront/wire"
)

// Measurement of how evenly load is spread over a fleet whose load is skewed, of which a third is then
// drained, and which is left undisturbed afterwards.

// The schedule of a measured run.
const (
	spreadSkewAt         = 60 * time.Second  // start of the skewed load; all machines are up by then
	spreadRestartAt      = 110 * time.Second // the controllers restart one after the other, with the settings under measurement
	spreadDrainAt        = 420 * time.Second // a third of the machines is drained
	spreadDrainEnd       = 450 * time.Second // the drained machines are back, and empty
	spreadEnd            = 750 * time.Second
	spreadSampleInterval = time.Second
)

// spreadMachineCores is the number of cores of a machine in a measured run: all are of the larger type.
const spreadMachineCores = 16

// Limits up to which the load of a fleet counts as even.
const (
	evenMaximum   = 1.25 // largest share divided by the mean share
	evenVariation = 0.25 // coefficient of variation of the shares
)

// loadSample holds the dominant shares of all machines at one time.
type loadSample struct {
	at             time.Duration
	machines       []string
	shares         []float64 // in the order of machines
	variation      float64   // coefficient of variation of the shares
	maximum        float64   // largest share divided by the mean share
	hotTeamMaximum float64   // largest fraction on one machine of the cores of team red, whose tasks cause the skew
}

// even reports whether the load counts as even.
func (s loadSample) even() bool {
	const rounding = 1e-9
	return s.maximum <= evenMaximum+rounding && s.variation <= evenVariation
}

// spreadOptions are the options of a run.
type spreadOptions struct {
	machines       int
	controllers    int
	seed           uint64
	enabled        bool                    // load spreading is on from spreadRestartAt on
	changeSettings func(*balance.Settings) // adjusts the settings; nil: the defaults
	arrayTaskRun   time.Duration           // run time of the tasks of arrays
	constrained    bool                    // jobs are pinned to a zone, kept in one zone, or spread over zones
	noLoad         bool                    // besides the jobs that a test submits, only the tasks that boot the machines run
}

// large reports whether the fleet is so large that the run is shortened.
func (o spreadOptions) large() bool { return o.machines > 1000 }

// spreadRun is a run with load spreading and its measurements.
type spreadRun struct {
	spreadOptions
	w               *World
	samples         []loadSample
	fetches         int                        // starts that had to fetch an image, from spreadRestartAt on
	lostReplicaTime time.Duration              // time during which replicas of services did not run, summed over the replicas, from spreadRestartAt on
	replicas        int                        // number of replicas of services
	replicaStarts   map[string][]time.Duration // by task, from spreadRestartAt on
}

// newSpreadRun prepares a fleet of equal machines, none of which is released, and its load. One team
// starts many tasks of two images, which concentrate on few machines, on top of a background load of
// another team. About seven tenths of the cores are in use.
func newSpreadRun(o spreadOptions) *spreadRun {
	cores := float64(o.machines) * spreadMachineCores
	w := New(o.seed, Shape{Controllers: o.controllers, Machines: o.machines, Scale: cores / 16, Tasks: 50})
	w.deterministic = true
	w.cloud.maxPerType = o.machines
	w.op.IdleS = 24 * 3600
	w.cfg.Facts.State.RPS, w.cfg.Facts.State.WriteRPS, w.cfg.Facts.State.TxnOps = 350, 150, 32
	if o.large() { // heartbeats are as infrequent as in deployments of that size
		w.cfg.Facts.Workers.ReportS, w.cfg.Facts.Workers.LeaseS, w.cfg.Facts.Workers.CancelS = 10, 45, 70
	}
	w.machinesAlwaysBoot = true
	for _, n := range w.controllers {
		n.boot()
	}
	r := &spreadRun{spreadOptions: o, w: w, replicaStarts: map[string][]time.Duration{}}
	r.submitLoad(cores)
	return r
}

// submitLoad schedules the submission of a run's load.
func (r *spreadRun) submitLoad(cores float64) {
	w, id := r.w, 0
	submitSpec := func(spec wire.Job, run time.Duration) {
		spec.ID, spec.MemoryGB, spec.ImageGB, spec.Types = fmt.Sprintf("req-%06d", id), 2, 1, []string{"big"}
		id++
		w.users.submitUncancelled(&simJob{spec: spec, runTime: run, done: make([]bool, spec.Tasks), saved: map[int]time.Duration{}})
	}
	coresPerTask := 2.0
	if r.large() {
		coresPerTask = 4 // fewer tasks: the cost of checking the rules grows with the square of their number
	}
	// One task that fills each machine, so that all machines are rented.
	w.after(time.Second, func() {
		for i, zone := range w.shape.zones() {
			tasks := (r.machines + i) / len(w.shape.zones())
			submitSpec(wire.Job{Class: "boot", Team: "blue", Kind: wire.KindArray, Priority: "standard", Tasks: tasks, CPUs: spreadMachineCores, Image: "img-boot", Zone: zone}, 10*time.Second)
		}
	})
	submit := func(i int, team, image string, service bool) {
		spec := wire.Job{Class: "bulk", Team: team, Kind: wire.KindArray, Priority: "standard", Tasks: 4, CPUs: coresPerTask, Image: image,
			EstimateS: r.arrayTaskRun.Seconds(), CheckpointS: 20, SaveS: 1}
		if service {
			r.replicas += spec.Tasks
			spec.Class, spec.Kind, spec.Priority, spec.EstimateS, spec.CheckpointS, spec.SaveS = "web", wire.KindService, "high", 0, 0, 0
		}
		if r.constrained {
			constrain(&spec, i)
		}
		submitSpec(spec, r.arrayTaskRun)
	}
	if r.noLoad {
		return
	}
	backgroundJobs := int(cores * 0.3 / coresPerTask / 4)
	for i := range backgroundJobs {
		w.after(spreadSkewAt+w.between(0, 20*time.Second), func() { submit(i, "blue", fmt.Sprintf("img-%d", i/2%6), i%2 == 0) })
	}
	hotJobs := int(cores * 0.4 / coresPerTask / 4)
	for i := range hotJobs {
		w.after(spreadSkewAt+20*time.Second+w.between(0, 20*time.Second), func() { submit(i, "red", fmt.Sprintf("img-hot-%d", i%2), i%4 < 2) })
	}
}

// constrain sets a constraint that depends on the job's number: all tasks in one zone, tasks spread over
// zones, pinned to a given zone, or none.
func constrain(spec *wire.Job, i int) {
	switch i / 2 % 4 {
	case 0:
		spec.OneZone = true
	case 1:
		spec.Spread = true
	case 2:
		spec.Zone = []string{"a", "b"}[i%2]
	}
}

// run runs the whole schedule: the skew, the drain of a third of the machines, their return, and the time
// after that. For a large fleet it ends before the drain.
func (r *spreadRun) run() {
	w := r.w
	w.onStart = func(h *host, t *task) {
		if w.now > spreadRestartAt && t.job.spec.Kind == wire.KindService {
			r.replicaStarts[t.id] = append(r.replicaStarts[t.id], w.now)
		}
	}
	w.onFetch = func() {
		if w.now > spreadRestartAt {
			r.fetches++
		}
	}
	for at := spreadRestartAt; at < spreadEnd; at += spreadSampleInterval {
		w.after(at, r.takeSample)
	}
	w.after(spreadRestartAt, r.restartControllers)
	end := spreadEnd
	if r.large() { // the whole schedule would take an hour
		end = spreadDrainAt
	}
	w.after(spreadDrainAt, r.drainThird)
	w.Run(end)
}

// defaultSpreadOptions returns the options of a measurement.
func defaultSpreadOptions(machines int, seed uint64, on bool) spreadOptions {
	return spreadOptions{machines: machines, controllers: 3, seed: seed, enabled: on, arrayTaskRun: 30 * time.Minute}
}

// restartControllers restarts the controllers one after the other, with load spreading if it is enabled.
func (r *spreadRun) restartControllers() {
	if r.enabled {
		r.w.enableLoadSpreading(func(s *balance.Settings) {
			s.KeepIdle = true
			if r.changeSettings != nil {
				r.changeSettings(s)
			}
		})
	}
	for i, n := range r.w.controllers {
		r.w.after(time.Duration(i)*3*time.Second, func() { n.crash(time.Second) })
	}
}

// drainThird restarts the fullest third of the machines, one after the other as for maintenance. Their
// tasks start elsewhere, and the machines return empty.
func (r *spreadRun) drainThird() {
	const down = time.Second
	up := r.w.hostsUp()
	slices.SortStableFunc(up, func(a, b *host) int { return int(b.usedCores() - a.usedCores()) })
	third := up[:len(up)/3]
	for i, h := range third {
		r.w.after(time.Duration(i)*(spreadDrainEnd-spreadDrainAt-down)/time.Duration(len(third)), func() { h.restart(down) })
	}
}

// usedCores returns the cores that the machine's unfinished tasks take.
func (h *host) usedCores() float64 {
	cores := 0.0
	for _, t := range h.tasks {
		if t.state != wire.TaskExited && t.job != nil {
			cores += t.job.spec.CPUs
		}
	}
	return cores
}

// takeSample records the shares of all machines, and adds up the replica time lost since the last sample.
func (r *spreadRun) takeSample() {
	s := loadSample{at: r.w.now}
	teamCores, runningReplicas := 0.0, 0
	teamMaximum := 0.0
	for _, h := range r.w.hostsUp() {
		s.shares = append(s.shares, h.usedCores()/spreadMachineCores)
		s.machines = append(s.machines, h.id)
		teamCoresHere := 0.0
		for _, t := range h.tasks {
			if t.state == wire.TaskExited || t.job == nil {
				continue
			}
			if t.job.spec.Team == "red" {
				teamCoresHere += t.job.spec.CPUs
			}
			if t.state == wire.TaskRunning && t.job.spec.Kind == wire.KindService {
				runningReplicas++
			}
		}
		teamCores += teamCoresHere
		teamMaximum = math.Max(teamMaximum, teamCoresHere)
	}
	s.variation, s.maximum = variationAndMaximum(s.shares)
	if teamCores > 0 {
		s.hotTeamMaximum = teamMaximum / teamCores
	}
	r.lostReplicaTime += time.Duration(r.replicas-runningReplicas) * spreadSampleInterval
	r.samples = append(r.samples, s)
}

// variationAndMaximum returns the coefficient of variation of shares, and their maximum divided by their
// mean.
func variationAndMaximum(shares []float64) (variation, maximum float64) {
	mean, squares := 0.0, 0.0
	for _, s := range shares {
		mean += s / float64(len(shares))
		maximum = math.Max(maximum, s)
	}
	if mean == 0 {
		return 0, 0
	}
	for _, s := range shares {
		squares += (s - mean) * (s - mean) / float64(len(shares))
	}
	return math.Sqrt(squares) / mean, maximum / mean
}
