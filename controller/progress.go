package controller

import (
	"maps"
	"slices"
	"time"

	"pumicefront/mesh"
	"pumicefront/reduction"
)

// Broadcasts of the leader to the other controllers: task counts and machine hints.

// allHintsInterval is the interval between broadcasts of the hints of all machines. They are repeated
// because the other controllers lose them when they restart.
const allHintsInterval = 10 * time.Second

// broadcastProgress sends the other controllers the task counts that have changed, for display, and
// the hints.
func (l *leader) broadcastProgress() {
	const every = 500 * time.Millisecond
	if l.c.now.Sub(l.progressSentAt) < every {
		return
	}
	l.progressSentAt = l.c.now
	var jobs []*mesh.JobProgress
	for _, j := range l.jobsByAcceptance {
		n := jobCount{done: j.state.Count(reduction.Completed)}
		for _, a := range j.attempts {
			if a.phase == attemptRunning {
				n.running++
			}
		}
		if l.progressSent[j.id] != n {
			l.progressSent[j.id] = n
			l.c.progress[j.id] = n
			jobs = append(jobs, &mesh.JobProgress{Job: j.id, Done: uint32(n.done), Running: uint32(n.running)})
		}
	}
	hints := l.hints()
	workersUnreachable := l.partitions.active[allZones]
	if len(jobs)+len(hints) > 0 || workersUnreachable {
		l.c.broadcast(&mesh.Envelope{Body: &mesh.Envelope_Progress{Progress: &mesh.Progress{Jobs: jobs, Hints: hints, WorkersUnheard: workersUnreachable}}})
	}
}

// hints lists the hints for the next leader about machines that have changed, and about all machines
// every allHintsInterval: their addresses, since workers take seconds to find a new leader, and their
// images, which reports don't contain.
func (l *leader) hints() []*mesh.Hint {
	all := l.c.now.Sub(l.allHintsSentAt) > allHintsInterval
	if all {
		l.allHintsSentAt = l.c.now
	}
	var hs []*mesh.Hint
	for _, m := range l.machinesByName {
		if !m.up || !all && len(m.images) == m.imagesAnnounced {
			continue
		}
		m.imagesAnnounced = len(m.images)
		h := &mesh.Hint{Machine: m.id, Addr: m.addr, Images: slices.Sorted(maps.Keys(m.images))}
		l.c.hints[m.id] = h
		hs = append(hs, h)
	}
	return hs
}
