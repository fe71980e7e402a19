package controller

import (
	"maps"
	"slices"
	"time"

	"pumicefront/mesh"
	"pumicefront/scheduler"
	"pumicefront/wire"
)

// Demand hints. While the state service can take no more changes, submissions are rejected, and each is retried after
// a second or two. When many arrive at once, the rejections may go on for a long time, and a machine needs further time to
// boot if it is requested only after the acceptance. So rejected jobs are reported to the leader, which scales out for
// them, and keeps room for services among them, before they are accepted. A hint has no other effect.

const (
	demandHintInterval = 200 * time.Millisecond
	demandHintLifetime = 5 * time.Second // a hint that is not repeated expires
	maxDemandHintBytes = 256 << 10       // size of one message; jobs left out are sent when they are submitted again
)

// demandHint is a rejected submission, and when it was last seen.
type demandHint struct {
	spec *wire.Job
	at   time.Time
}

// rejectSubmission rejects a submission for now, and schedules a demand hint to the leader.
func (c *Core) rejectSubmission(r UserRequest, job *wire.Job) {
	if len(c.rejected) == 0 {
		c.after(demandHintInterval, c.sendDemandHints)
	}
	if len(job.Needs) == 0 { // a job that depends on others needs no room yet
		c.rejected[job.ID] = job
	}
	c.retryLater(r.Req, "too many submissions")
}

func (c *Core) sendDemandHints() {
	var jobs [][]byte
	size := 0
	for _, id := range slices.Sorted(maps.Keys(c.rejected)) {
		if c.lead != nil {
			c.recordDemandHint(c.rejected[id])
			continue
		}
		raw := wire.Marshal(c.rejected[id])
		if size += len(raw); size > maxDemandHintBytes {
			break
		}
		jobs = append(jobs, raw)
	}
	clear(c.rejected)
	if leader := c.leaderName(); leader != "" && len(jobs) > 0 {
		c.sendMesh(leader, &mesh.Envelope{Body: &mesh.Envelope_DemandHints{DemandHints: &mesh.DemandHints{Jobs: jobs}}})
	}
}

// recordDemandHint records on the leader that a submission was rejected.
func (c *Core) recordDemandHint(j *wire.Job) {
	if c.lead != nil {
		c.lead.autoscaler.demandHints[j.ID] = demandHint{j, c.now}
	}
}

// hintedDemands lists the demands of rejected submissions, and drops hints that are accepted or expired.
func (s *autoscaler) hintedDemands() []*scheduler.Demand {
	var ds []*scheduler.Demand
	for _, id := range slices.Sorted(maps.Keys(s.demandHints)) {
		hint := s.demandHints[id]
		if s.jobs[id] != nil || s.c.now.Sub(hint.at) > demandHintLifetime {
			delete(s.demandHints, id)
			continue
		}
		d := s.c.demandOf(hint.spec)
		d.WithinGuarantee, d.Tasks = true, placeholderTasks(d)
		ds = append(ds, d)
	}
	return ds
}

// reserveForHintedServices subtracts the room that rejected services will need from the view of the machines: lower-priority
// work placed there would be preempted for them at once.
func (s *autoscaler) reserveForHintedServices(machines []*scheduler.Machine) {
	for _, d := range s.hintedDemands() {
		if d.Service {
			d.RoomInTeam = len(d.Tasks)
			scheduler.Place(machines, d)
		}
	}
}
