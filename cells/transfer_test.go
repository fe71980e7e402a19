package cells

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// model simulates one home and three cells that may hold its jobs. Messages are lost, delayed,
// duplicated and reordered, writes are lost or applied late, and cells fail.
type model struct {
	t             *testing.T
	rng           *rand.Rand
	lastEpoch     Epoch // epoch that the home allocated last
	jobs          map[string]*homeModel
	holders       map[Cell]*holderModel
	network       []Message // messages in flight; none expires
	delayedWrites []func()  // writes at home whose result is unknown
	homeDown      bool
	answers       map[string]Result // the final result that was reported to the user, by job
	runs          map[string]int    // how often each job has run to its end
	events        map[string]int    // number of occurrences by event, to show that the runs cover all of them
}

// homeModel is a job's record at home with its version.
type homeModel struct {
	HomeRecord
	version int
}

// holderModel is a cell that may hold jobs.
type holderModel struct {
	name    Cell
	records map[string]HolderRecord
	floor   Epoch
	running map[string]bool // jobs with attempts not proven to have ended: these outlive a recall for a while
	down    bool            // the cell's controllers are down: nothing is written or answered, but running tasks go on
	ownJob  string          // id of a job of the cell's own, which clashes with one of the home's
}

const (
	modelHome  = Cell("home")
	modelJobs  = 6
	modelSteps = 900
)

func newModel(t *testing.T, seed uint64) *model {
	m := &model{t: t, rng: rand.New(rand.NewPCG(seed, 5)), jobs: map[string]*homeModel{}, holders: map[Cell]*holderModel{},
		answers: map[string]Result{}, runs: map[string]int{}, events: map[string]int{}}
	for i := range modelJobs {
		id := fmt.Sprintf("req-%d", i)
		m.jobs[id] = &homeModel{HomeRecord: HomeRecord{Job: id, Team: "team-" + id}}
	}
	for i, name := range []Cell{"b", "c", "d"} {
		m.holders[name] = &holderModel{name: name, records: map[string]HolderRecord{}, running: map[string]bool{}, ownJob: fmt.Sprintf("req-%d", i)}
	}
	return m
}

// chance returns true with probability p.
func (m *model) chance(p float64) bool { return m.rng.Float64() < p }

func (m *model) job() *homeModel { return m.jobs[fmt.Sprintf("req-%d", m.rng.IntN(modelJobs))] }

func (m *model) holder() *holderModel { return m.holders[Cell('b'+rune(m.rng.IntN(3)))] }

// write stores a decision of the home, unless the home is down or its process stops first. A write whose
// result is unknown may be applied later, if the record's version has not changed by then.
func (m *model) write(r *homeModel, next HomeRecord) {
	version := r.version
	apply := func() {
		if r.version == version {
			r.HomeRecord, r.version = next, version+1
			if next.Cancelled() || next.Done() {
				m.checkAnswer(next.Job, next.Result)
			}
		}
	}
	switch {
	case m.homeDown || m.chance(0.05):
		m.events["decision at home is lost"]++
	case m.chance(0.05):
		m.events["result of a write at home is unknown"]++
		m.delayedWrites = append(m.delayedWrites, apply)
	default:
		apply()
	}
}

// checkAnswer checks that the user gets a single final answer per job, and that a job is reported as cancelled only
// if no holder may run it, and as done only if it has run.
func (m *model) checkAnswer(job string, result Result) {
	if previous, reported := m.answers[job]; reported && previous != result {
		m.t.Fatalf("%s: result %d is reported after result %d", job, result, previous)
	}
	m.answers[job] = result
	for name, h := range m.holders {
		if result == ResultCancelled && (h.running[job] || h.records[job].MayRun()) {
			m.t.Fatalf("%s is reported as cancelled while %s may run it", job, name)
		}
	}
	if result == ResultDone && m.runs[job] == 0 {
		m.t.Fatalf("%s is reported as done but has not run", job)
	}
}

// send puts a message on the network, or loses or duplicates it.
func (m *model) send(msg Message) {
	if m.chance(0.8) {
		m.network = append(m.network, msg)
	}
	if m.chance(0.2) {
		m.network = append(m.network, msg)
	}
}

// step performs one random action. If calm, the home makes no new decisions and no cell fails.
func (m *model) step(calm bool) {
	switch m.rng.IntN(8) {
	case 0:
		if !calm {
			m.decide()
		}
	case 1:
		m.sendOrRun()
	case 2, 3, 4:
		m.deliver()
	case 5:
		m.progress()
	case 6:
		if n := len(m.delayedWrites); n > 0 {
			i := m.rng.IntN(n)
			fn := m.delayedWrites[i]
			m.delayedWrites = append(m.delayedWrites[:i], m.delayedWrites[i+1:]...)
			fn()
		}
	case 7:
		if !calm && m.chance(0.2) {
			if m.chance(0.3) {
				m.homeDown = !m.homeDown
			} else {
				h := m.holder()
				h.down = !h.down
				m.events["holder is down"]++
			}
		}
	}
	m.check()
}

// recordRun records that all tasks of a job succeeded, which may happen only once over all cells.
func (m *model) recordRun(job string) {
	if m.runs[job]++; m.runs[job] > 1 {
		m.t.Fatalf("%s has run to its end %d times", job, m.runs[job])
	}
}

// sendOrRun sends the request of a home record, or completes a job that the home may run.
func (m *model) sendOrRun() {
	r := m.job()
	if m.homeDown {
		return
	}
	if msg, due := r.Message(modelHome); due {
		var records []HomeRecord
		for _, o := range m.jobs {
			records = append(records, o.HomeRecord)
		}
		msg.Floor = Floor(records, r.Holder, m.lastEpoch)
		m.send(msg)
		return
	}
	if r.MayRun() && m.chance(0.01) {
		m.recordRun(r.Job)
		r.State, r.Result, r.version = HomeEnded, ResultDone, r.version+1 // as for a job that was never granted
		m.checkAnswer(r.Job, ResultDone)
	}
}

// decide makes a random decision at home: cancel, recall or grant.
func (m *model) decide() {
	r := m.job()
	var next HomeRecord
	var err error
	switch {
	case m.chance(0.02):
		next, err = r.RequestCancel()
	case m.chance(0.3):
		next, err = r.Recall()
	default:
		m.lastEpoch++ // even if the write fails: an allocated epoch is never used again
		next, err = r.Grant(m.holder().name, m.lastEpoch)
	}
	if err == nil && next != r.HomeRecord {
		m.write(r, next)
	}
}

// deliver delivers a random message in flight, however old, and keeps half of them for another delivery.
func (m *model) deliver() {
	if len(m.network) == 0 {
		return
	}
	i := m.rng.IntN(len(m.network))
	msg := m.network[i]
	if m.chance(0.5) || len(m.network) > 300 {
		m.network[i] = m.network[len(m.network)-1]
		m.network = m.network[:len(m.network)-1]
	}
	if msg.To != modelHome {
		m.receive(m.holders[msg.To], msg)
		return
	}
	r := m.jobs[msg.Job]
	if next, changed := r.Apply(msg); changed && !m.homeDown {
		m.write(r, next)
	}
}

// receive handles a message at a holder: it updates the floor, removes records, and stores and answers the
// next record.
func (m *model) receive(h *holderModel, msg Message) {
	if h.down {
		return
	}
	h.floor = max(h.floor, msg.Floor)
	for job, r := range h.records {
		if r.Removable(h.floor) {
			m.events["ended record is removed"]++
			delete(h.records, job)
		}
	}
	next, changed := h.records[msg.Job].Receive(msg, OfferContext{KnowsJob: h.ownJob == msg.Job, KnowsTeam: true, HasRoom: m.chance(0.8), Floor: h.floor})
	if changed && m.chance(0.1) {
		return // the process stops before the write
	}
	if msg.Epoch <= h.floor || next.Epoch > msg.Epoch {
		m.events["old message arrives"]++
	}
	if changed {
		h.records[msg.Job] = next
		m.events[fmt.Sprintf("state %d with result %d at a holder", next.State, next.Result)]++
	}
	if next.State != HolderNone {
		m.send(next.Status(h.name))
	}
}

// progress lets a holder start, stop or finish a job. Tasks in a cell that is down keep running.
func (m *model) progress() {
	h, id := m.holder(), m.job().Job
	r := h.records[id]
	next, changed := r, false
	switch {
	case h.running[id] && r.State == HolderStopping:
		h.running[id] = m.chance(0.5) // proven to have ended, some time after the stop request
	case h.down:
	case r.State == HolderStopping:
		next, changed = r.Finish(false)
	case r.State == HolderHolding && h.running[id] && m.chance(0.4):
		m.recordRun(id)
		h.running[id] = false
		next, changed = r.Finish(true)
	case r.State == HolderHolding && m.chance(0.05):
		next, changed = r.ReturnJob()
	case r.State == HolderHolding:
		h.running[id] = true
	}
	if changed {
		h.records[id] = next
		m.events[fmt.Sprintf("state %d with result %d at a holder", next.State, next.Result)]++
		m.send(next.Status(h.name))
	}
}

// check verifies that at most one cell may run a job or has tasks of it running, that this cell is the
// holder in the home's record, and that both records name the same team.
func (m *model) check() {
	m.t.Helper()
	for id, r := range m.jobs {
		owners := 0
		if r.MayRun() {
			owners++
		}
		for name, h := range m.holders {
			held := h.records[id]
			if !held.MayRun() && !h.running[id] {
				continue
			}
			if h.ownJob == id {
				m.t.Fatalf("%s runs %s and has a job of its own with that id", name, id)
			}
			if owners++; r.Holder != name || r.Epoch != held.Epoch || !r.hasOpenGrant() || held.Team != r.Team {
				m.t.Fatalf("%s may run %s with record %+v, the home's record is %+v", name, id, held, r.HomeRecord)
			}
		}
		if owners > 1 {
			m.t.Fatalf("%d cells may run %s", owners, id)
		}
	}
}

// At most one cell may run a job at any step, under message loss and failures of cells. Once all cells are up
// again, every job ends.
func TestTransfersKeepOneOwner(t *testing.T) {
	counts := map[string]int{}
	for seed := range uint64(120) {
		m := newModel(t, seed)
		for range modelSteps {
			m.step(false)
		}
		m.homeDown = false
		for _, h := range m.holders {
			h.down = false
		}
		for n := 0; n < 400*modelSteps && !m.allEnded(); n++ {
			m.step(true)
		}
		for id, r := range m.jobs {
			if r.State != HomeEnded {
				t.Fatalf("seed %d: %s has not ended: %+v, %+v", seed, id, r.HomeRecord, m.holders)
			}
		}
		for event, n := range m.events {
			counts[event] += n
		}
	}
	for _, event := range []string{"decision at home is lost", "result of a write at home is unknown", "holder is down", "old message arrives",
		"ended record is removed", "state 1 with result 0 at a holder", "state 2 with result 0 at a holder",
		"state 3 with result 1 at a holder", "state 3 with result 2 at a holder", "state 3 with result 3 at a holder",
		"state 3 with result 4 at a holder"} {
		if counts[event] < 10 {
			t.Errorf("fewer than 10 times: %s (%v)", event, counts)
		}
	}
}

// allEnded reports whether every job has ended.
func (m *model) allEnded() bool {
	for _, r := range m.jobs {
		if r.State != HomeEnded {
			return false
		}
	}
	return true
}

// Each decision that a record does not allow is refused with its own error.
func TestDisallowedDecisions(t *testing.T) {
	granted, err := HomeRecord{Job: "j"}.Grant("b", 3)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := granted.Grant("c", 4); err != ErrNotLocal {
		t.Errorf("grant of a granted job: %v", err)
	}
	returned, _ := granted.Apply(Message{Kind: KindStatus, From: "b", Job: "j", Epoch: 3, State: HolderEnded, Result: ResultRefused})
	if _, err := returned.Grant("c", 3); err != ErrOldEpoch || !returned.MayRun() {
		t.Errorf("grant with a used epoch: %v, %+v", err, returned)
	}
	cancelled, _ := returned.RequestCancel()
	if _, err := cancelled.Recall(); err != ErrJobEnded || !cancelled.Cancelled() {
		t.Errorf("recall of a cancelled job: %v", err)
	}
	if _, changed := (HolderRecord{State: HolderEnded}).ReturnJob(); changed {
		t.Error("a grant that has ended is returned")
	}
}
