package controller

import (
	"cmp"
	"slices"
	"time"

	"pumicefront/scheduler"
	"pumicefront/wire"
)

// Machines in the leader's ledger.

// taskKey names one attempt of one task.
type taskKey struct {
	task    string
	attempt uint64
}

// machine is a machine in the leader's ledger: rented, reporting, or known only
// from an earlier leader's placements.
type machine struct {
	id, addr, typ, zone string
	part                string // the controller whose part it is hashed to
	spot                bool
	up                  bool // has reported to us
	session, seq, token uint64
	since               time.Time // first known
	rented              time.Time // by us; zero: by an earlier leader
	reported            time.Time // its last report or answer
	answered            time.Time // our last 200, which may have renewed its lease
	idle                time.Time // without tasks since
	notice              bool      // the cloud will take it away
	listed              time.Time // since when the cloud's list must show it; zero: not known
	releasing           bool
	consolidating       bool      // its replicas move elsewhere, it takes nothing
	immovableAt         time.Time // when there was no room elsewhere for its replicas
	leaseOut            bool
	unanswered          bool      // the last command got no answer, and no report came since
	unansweredSince     time.Time // when the first of the commands was sent that got no answer; zero: the last got one
	unreachableSince    time.Time // the same, but of those that were not sent during a cut
	probeAt             time.Time // when it is worth asking again

	attempts        map[taskKey]*attempt
	list            []*attempt         // the same in order; never changed in place, so that it can be walked meanwhile
	snapshot        *scheduler.Machine // as a round of placement sees it; nil: to be made anew
	runToken        map[taskKey]uint64 // highest token that a run was sent with
	ended           map[taskKey]time.Time
	unknownAttempts map[taskKey]bool // live attempts that are in nobody's record
	images          map[string]bool
	imagesTold      int             // how many of them the other controllers know
	faults          map[string]bool // jobs that failed here
	outbox          []*attempt
	stops           []wire.Command
	queuedToSend    bool // listed among those with something to send
	callInFlight    bool
}

// add puts an attempt in force on its machine.
func (m *machine) add(a *attempt) {
	m.attempts[a.key()] = a
	at, _ := slices.BinarySearchFunc(m.list, a, func(x, y *attempt) int {
		return cmp.Or(cmp.Compare(x.job.id, y.job.id), cmp.Compare(x.task, y.task))
	})
	m.list = slices.Insert(slices.Clone(m.list), at, a)
	m.snapshot = nil
}

// remove takes an attempt out of force.
func (m *machine) remove(a *attempt) {
	delete(m.attempts, a.key())
	m.list = slices.DeleteFunc(slices.Clone(m.list), func(o *attempt) bool { return o == a })
	m.snapshot = nil
}

// machine returns the ledger's entry, made when it is first heard of.
func (l *leader) machine(id string) *machine {
	m := l.machines[id]
	if m == nil {
		m = &machine{
			id: id, part: scheduler.PartOf(id, l.c.members()), since: l.c.now, idle: l.c.now, answered: l.elected,
			attempts: map[taskKey]*attempt{}, runToken: map[taskKey]uint64{}, ended: map[taskKey]time.Time{},
			unknownAttempts: map[taskKey]bool{}, images: map[string]bool{}, faults: map[string]bool{},
		}
		if h := l.c.hints[id]; h != nil {
			for _, image := range h.Images {
				m.images[image] = true
			}
		}
		m.imagesTold = -1
		l.machines[id] = m
		at, _ := slices.BinarySearchFunc(l.fleetOrder, id, func(o *machine, id string) int { return cmp.Compare(o.id, id) })
		l.fleetOrder = slices.Insert(l.fleetOrder, at, m)
	}
	return m
}
