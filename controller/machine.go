package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pumicefront/scheduler"
	"pumicefront/wire"
)

// The leader's machine table.

// taskKey identifies one attempt of one task.
type taskKey struct {
	task    string
	attempt uint64
}

// machine is an entry of the leader's machine table: rented by this leader, known from heartbeats or
// the cloud's list, or known only from an earlier leader's placements.
type machine struct {
	id, addr, typ, zone   string
	shard                 string // the controller whose shard the scheduler counts it to, see scheduler.ShardOf
	spot                  bool
	up                    bool      // has sent a heartbeat or an answer to this leader
	session, seq, token   uint64    // of the newest status that this leader has received from it
	knownSince            time.Time // when the machine became known, less its listed age if it became known from the cloud's list
	rentedAt              time.Time // when this leader rented it; zero: rented by an earlier leader
	lastHeartbeat         time.Time // when its last heartbeat or answer arrived
	leaseRenewedAt        time.Time // latest time at which its lease may have been renewed: the last 200, the first status in its session, or the election
	idleSince             time.Time // the last time it was known to have tasks or to be booting
	reclaimNotice         bool      // the cloud has announced that it will reclaim the machine
	expectedInListSince   time.Time // from when on the cloud's list must show it; zero: not known
	releasing             bool      // it is to be released, and the cloud has not confirmed this yet
	consolidating         bool      // its replicas are being moved to other machines, and it gets no new work
	consolidationFailedAt time.Time // when its replicas last had no room elsewhere
	leaseExpired          bool
	lastCommandUnanswered bool      // the last command or probe got no answer, and no heartbeat has arrived since
	unansweredSince       time.Time // when the first command of the current series of unanswered ones was sent; zero: the last one was answered
	unreachableSince      time.Time // as unansweredSince, but without commands sent before or during a suspected network partition
	nextProbeAt           time.Time // when to probe again after an unanswered command

	attempts        map[taskKey]*attempt
	inOrder         []*attempt         // see attemptsInOrder; nil: to be built
	snapshot        *scheduler.Machine // the machine as the scheduler uses it; nil: to be rebuilt
	runToken        map[taskKey]uint64 // highest fencing token that each attempt's run command was sent with
	endedAttempts   endedAttempts
	unknownAttempts map[taskKey]bool // running attempts that are not on record
	images          map[string]bool  // images that the machine is known to have cached
	imagesAnnounced int              // how many of the images the other controllers were last notified of; -1: not notified yet
	failedJobs      map[string]bool  // jobs with a task that failed on this machine
	pendingRuns     []*attempt       // attempts whose run commands are to be sent directly
	pendingStops    []wire.Command
	queuedToSend    bool // in leader.toSend
	callInFlight    bool // a direct command waits for its answer
}

// add adds an attempt to its machine. The attempt stays there until it is proved to have ended.
func (m *machine) add(a *attempt) {
	m.attempts[a.key()] = a
	m.attemptsChanged()
}

// remove removes an attempt that has ended from its machine.
func (m *machine) remove(a *attempt) {
	delete(m.attempts, a.key())
	m.attemptsChanged()
}

// attemptsChanged drops what is derived from the attempts.
func (m *machine) attemptsChanged() { m.inOrder, m.snapshot = nil, nil }

// attemptsInOrder returns the attempts ordered by job and task. The slice stays as it is when attempts are added or
// removed, so that they can be during an iteration.
func (m *machine) attemptsInOrder() []*attempt {
	if m.inOrder == nil {
		m.inOrder = slices.SortedFunc(maps.Values(m.attempts), func(a, b *attempt) int {
			return cmp.Or(cmp.Compare(a.job.id, b.job.id), cmp.Compare(a.task, b.task), cmp.Compare(a.number, b.number))
		})
	}
	return m.inOrder
}

// machine returns the table entry of a machine and creates it if there is none.
func (l *leader) machine(id string) *machine {
	m := l.machines[id]
	if m == nil {
		m = &machine{
			id: id, shard: scheduler.ShardOf(id, l.c.members()), knownSince: l.c.now, idleSince: l.c.now, leaseRenewedAt: l.elected,
			attempts: map[taskKey]*attempt{}, runToken: map[taskKey]uint64{}, endedAttempts: newEndedAttempts(),
			unknownAttempts: map[taskKey]bool{}, images: map[string]bool{}, failedJobs: map[string]bool{},
		}
		if h := l.c.machineHints[id]; h != nil {
			for _, image := range h.Images {
				m.images[image] = true
			}
		}
		m.imagesAnnounced = -1
		l.machines[id] = m
		at, _ := slices.BinarySearchFunc(l.machinesByName, id, func(o *machine, id string) int { return cmp.Compare(o.id, id) })
		l.machinesByName = slices.Insert(l.machinesByName, at, m)
	}
	return m
}
