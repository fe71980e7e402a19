package controller

import (
	"maps"
	"slices"
	"time"

	"pumicefront/mesh"
	"pumicefront/reduction"
)

// Broadcasts of the leader to the other controllers: the task counts of jobs, and hints that help the next
// leader: for each machine, its worker's address and the images that it has.

// allHintsInterval is the interval between broadcasts of the hints for all machines. The broadcasts are
// repeated because the other controllers lose the hints when they restart.
const allHintsInterval = 10 * time.Second

// broadcastProgress sends the other controllers the task counts that have changed and the hints. Other
// controllers answer job status requests from the counts, and lookupOutcomes skips its reads for a job with
// running or done tasks. While more than a quarter of all machines are silent (see partitions.observe), a
// message is sent even without counts and hints, so that the other controllers relay the reports of workers at
// once.
func (l *leader) broadcastProgress() {
	const interval = 500 * time.Millisecond
	if l.c.now.Sub(l.progressSentAt) < interval {
		return
	}
	l.progressSentAt = l.c.now
	var jobs []*mesh.JobProgress
	for _, j := range l.jobsByAcceptance {
		count := jobCount{done: j.state.Count(reduction.Completed)}
		for _, a := range j.attempts {
			if a.phase == attemptRunning {
				count.running++
			}
		}
		if l.progressSent[j.id] != count {
			l.progressSent[j.id] = count
			l.c.progress[j.id] = count
			jobs = append(jobs, &mesh.JobProgress{Job: j.id, Done: uint32(count.done), Running: uint32(count.running)})
		}
	}
	hints := l.hints()
	workersUnreachable := l.partitions.active[allZones]
	if len(jobs)+len(hints) > 0 || workersUnreachable {
		l.c.broadcast(&mesh.Envelope{Body: &mesh.Envelope_Progress{Progress: &mesh.Progress{Jobs: jobs, Hints: hints, WorkersUnheard: workersUnreachable}}})
	}
}

// hints returns the hints to broadcast, and caches them as this controller's own: those for machines that
// are up and new or whose number of images has changed since their last hint, and every
// allHintsInterval those for all machines that are up. A hint contains the address, since workers take
// seconds to find a new leader, and the images, which reports don't contain.
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
		l.c.machineHints[m.id] = h
		hs = append(hs, h)
	}
	return hs
}
