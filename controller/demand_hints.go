package controller

import (
	"maps"
	"slices"
	"time"

	"pumicefront/mesh"
	"pumicefront/scheduler"
	"pumicefront/wire"
)

// A submission that is rejected for now, since the state service takes no more changes for the
// moment, comes again in a second or two. When many come at once this goes on for
// long, and a machine takes longer to boot: so the leader is told of such jobs and
// scales out for them before they are accepted. Nothing else follows from it.

const (
	demandHintInterval = 200 * time.Millisecond
	demandHintLifetime = 5 * time.Second // one that doesn't come again is forgotten
	demandHintBytes    = 256 << 10       // bytes told at once; what is left out comes again
)

// demandHint is a rejected submission, and when it came last.
type demandHint struct {
	spec *wire.Job
	at   time.Time
}

// rejectSubmission refuses a submission for now and has the leader told of it.
func (c *Core) rejectSubmission(r UserRequest, job *wire.Job) {
	if len(c.rejected) == 0 {
		c.after(demandHintInterval, c.sendDemandHints)
	}
	if len(job.Needs) == 0 { // what waits for others wants no room yet
		c.rejected[job.ID] = job
	}
	c.retryLater(r.Req, "too many submissions")
}

func (c *Core) sendDemandHints() {
	var jobs [][]byte
	size := 0
	for _, id := range slices.Sorted(maps.Keys(c.rejected)) {
		if c.lead != nil {
			c.noteDemandHint(c.rejected[id])
			continue
		}
		raw := wire.Marshal(c.rejected[id])
		if size += len(raw); size > demandHintBytes {
			break
		}
		jobs = append(jobs, raw)
	}
	clear(c.rejected)
	if leader := c.leaderName(); leader != "" && len(jobs) > 0 {
		c.sendMesh(leader, &mesh.Envelope{Body: &mesh.Envelope_DemandHints{DemandHints: &mesh.DemandHints{Jobs: jobs}}})
	}
}

// noteDemandHint notes, as leader, that a submission was rejected.
func (c *Core) noteDemandHint(j *wire.Job) {
	if c.lead != nil {
		c.lead.autoscaler.demandHints[j.ID] = demandHint{j, c.now}
	}
}

// hintedDemands lists what rejected submissions will want.
func (s *autoscaler) hintedDemands() []*scheduler.Demand {
	var ds []*scheduler.Demand
	for _, id := range slices.Sorted(maps.Keys(s.demandHints)) {
		hint := s.demandHints[id]
		if s.jobs[id] != nil || s.c.now.Sub(hint.at) > demandHintLifetime {
			delete(s.demandHints, id)
			continue
		}
		d := s.c.demandOf(hint.spec)
		d.WithinGuarantee, d.Tasks = true, make([]int, d.Total)
		ds = append(ds, d)
	}
	return ds
}

// reserveForHinted takes the room that rejected services will want off the view of
// the machines: lower work that is placed there would be stopped for them at once.
func (s *autoscaler) reserveForHinted(machines []*scheduler.Machine) {
	for _, d := range s.hintedDemands() {
		if d.Service {
			d.RoomInTeam = len(d.Tasks)
			scheduler.Place(machines, d)
		}
	}
}
