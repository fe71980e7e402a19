package controller

import (
	"maps"
	"slices"
	"time"

	"pumicefront/mesh"
	"pumicefront/scheduler"
	"pumicefront/wire"
)

// A job that is turned away, since the state service takes no more changes for the
// moment, comes again in a second or two. When many come at once this goes on for
// long, and a machine takes longer to boot: so the leader is told of such jobs and
// rents for them before they are accepted. Nothing else follows from it.

const (
	knocksEvery = 200 * time.Millisecond
	knockFor    = 5 * time.Second // one that doesn't come again is forgotten
	knocksMost  = 256 << 10       // bytes told at once; what is left out comes again
)

// knock is a job at the door, and when it was there last.
type knock struct {
	spec *wire.Job
	at   time.Time
}

// turnAway refuses a submission for now and has the leader told of it.
func (c *Core) turnAway(r UserRequest, job *wire.Job) {
	if len(c.knocks) == 0 {
		c.after(knocksEvery, c.tellKnocks)
	}
	if len(job.Needs) == 0 { // what waits for others wants no room yet
		c.knocks[job.ID] = job
	}
	c.later(r.Req, "too many submissions")
}

func (c *Core) tellKnocks() {
	var jobs [][]byte
	size := 0
	for _, id := range slices.Sorted(maps.Keys(c.knocks)) {
		if c.lead != nil {
			c.knocked(c.knocks[id])
			continue
		}
		raw := wire.Marshal(c.knocks[id])
		if size += len(raw); size > knocksMost {
			break
		}
		jobs = append(jobs, raw)
	}
	clear(c.knocks)
	if leader := c.leaderName(); leader != "" && len(jobs) > 0 {
		c.sendMesh(leader, &mesh.Envelope{Body: &mesh.Envelope_Knocks{Knocks: &mesh.Knocks{Jobs: jobs}}})
	}
}

// knocked takes in, as leader, that a job was turned away.
func (c *Core) knocked(j *wire.Job) {
	if c.lead != nil {
		c.lead.door[j.ID] = knock{j, c.now}
	}
}

// atDoor lists what the jobs at the door will want.
func (l *lead) atDoor() []*scheduler.Demand {
	var ds []*scheduler.Demand
	for _, id := range slices.Sorted(maps.Keys(l.door)) {
		k := l.door[id]
		if l.jobs[id] != nil || l.c.now.Sub(k.at) > knockFor {
			delete(l.door, id)
			continue
		}
		d := l.c.demandOf(k.spec)
		d.Within, d.Tasks = true, make([]int, d.Total)
		ds = append(ds, d)
	}
	return ds
}

// keepForDoor takes the room that services at the door will want off the picture of
// the machines: lower work that is placed there would be stopped for them at once.
func (l *lead) keepForDoor(machines []*scheduler.Machine) {
	for _, d := range l.atDoor() {
		if d.Service {
			d.RoomInTeam = len(d.Tasks)
			scheduler.Place(machines, d)
		}
	}
}
