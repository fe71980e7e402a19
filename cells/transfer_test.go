package cells

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// model is one home and three cells that may hold its jobs, with messages that are lost, late,
// doubled and overtaken, writes that are lost or applied late, and cells that are out.
type model struct {
	t        *testing.T
	rng      *rand.Rand
	last     Epoch // the home's counter
	jobs     map[string]*homeModel
	holders  map[Cell]*holderModel
	network  []Message // under way; none is dropped for its age
	late     []func()  // writes in doubt at home
	homeOut  bool
	told     map[string]Result // what a user was told for good
	runs     map[string]int    // how often a job has run to its end
	happened map[string]int
}

// homeModel is a job's record at home.
type homeModel struct {
	HomeRecord
	version int
}

// holderModel is a cell that may hold jobs.
type holderModel struct {
	name    Cell
	records map[string]HolderRecord
	floor   Epoch
	running map[string]bool // attempts that are not proved gone: they outlive a recall for a while
	out     bool            // nothing is written, nothing is answered; what runs runs on
	knows   string          // the id of a job of its own
}

const (
	modelHome  = Cell("home")
	modelJobs  = 6
	modelSteps = 900
)

func newModel(t *testing.T, seed uint64) *model {
	m := &model{t: t, rng: rand.New(rand.NewPCG(seed, 5)), jobs: map[string]*homeModel{}, holders: map[Cell]*holderModel{},
		told: map[string]Result{}, runs: map[string]int{}, happened: map[string]int{}}
	for i := range modelJobs {
		id := fmt.Sprintf("req-%d", i)
		m.jobs[id] = &homeModel{HomeRecord: HomeRecord{Job: id, Team: "team-" + id}}
	}
	for i, name := range []Cell{"b", "c", "d"} {
		m.holders[name] = &holderModel{name: name, records: map[string]HolderRecord{}, running: map[string]bool{}, knows: fmt.Sprintf("req-%d", i)}
	}
	return m
}

func (m *model) chance(p float64) bool { return m.rng.Float64() < p }

func (m *model) job() *homeModel { return m.jobs[fmt.Sprintf("req-%d", m.rng.IntN(modelJobs))] }

func (m *model) holder() *holderModel { return m.holders[Cell('b'+rune(m.rng.IntN(3)))] }

// write records a decision of the home, unless it is out or its process ends first; what is in doubt
// may be applied later, on the condition that nothing was written meanwhile.
func (m *model) write(r *homeModel, next HomeRecord) {
	version := r.version
	apply := func() {
		if r.version == version {
			r.HomeRecord, r.version = next, version+1
			if next.Cancelled() || next.Done() {
				m.tell(next.Job, next.Result)
			}
		}
	}
	switch {
	case m.homeOut || m.chance(0.05):
		m.happened["a decision at home is lost"]++
	case m.chance(0.05):
		m.happened["a write at home is in doubt"]++
		m.late = append(m.late, apply)
	default:
		apply()
	}
}

// tell checks that a user is told one final answer, and a cancellation only when nothing may run.
func (m *model) tell(job string, result Result) {
	if was, told := m.told[job]; told && was != result {
		m.t.Fatalf("%s is told %d after %d", job, result, was)
	}
	m.told[job] = result
	for name, h := range m.holders {
		if result == ResultCancelled && (h.running[job] || h.records[job].MayRun()) {
			m.t.Fatalf("%s is called cancelled while %s has it", job, name)
		}
	}
	if result == ResultDone && m.runs[job] == 0 {
		m.t.Fatalf("%s is called done and has not run", job)
	}
}

// send puts a message, and now and then a copy, on its way.
func (m *model) send(msg Message) {
	if m.chance(0.8) {
		m.network = append(m.network, msg)
	}
	if m.chance(0.2) {
		m.network = append(m.network, msg)
	}
}

// step does one thing; when calm, nothing new is decided and nothing fails.
func (m *model) step(calm bool) {
	switch m.rng.IntN(8) {
	case 0:
		if !calm {
			m.decide()
		}
	case 1:
		m.pursue()
	case 2, 3, 4:
		m.deliver()
	case 5:
		m.work()
	case 6:
		if n := len(m.late); n > 0 {
			i := m.rng.IntN(n)
			fn := m.late[i]
			m.late = append(m.late[:i], m.late[i+1:]...)
			fn()
		}
	case 7:
		if !calm && m.chance(0.2) {
			if m.chance(0.3) {
				m.homeOut = !m.homeOut
			} else {
				h := m.holder()
				h.out = !h.out
				m.happened["a holder is out"]++
			}
		}
	}
	m.check()
}

// run notes that all tasks of a job have ended well: that happens once, wherever it is.
func (m *model) run(job string) {
	if m.runs[job]++; m.runs[job] > 1 {
		m.t.Fatalf("%s has run to its end %d times", job, m.runs[job])
	}
}

// pursue repeats what a record at home asks for, or runs what is there.
func (m *model) pursue() {
	r := m.job()
	if m.homeOut {
		return
	}
	if msg, due := r.Message(modelHome); due {
		var records []HomeRecord
		for _, o := range m.jobs {
			records = append(records, o.HomeRecord)
		}
		msg.Floor = Floor(records, r.Holder, m.last)
		m.send(msg)
		return
	}
	if r.MayRun() && m.chance(0.01) {
		m.run(r.Job)
		r.State, r.Result, r.version = HomeOver, ResultDone, r.version+1 // by the ordinary way
		m.tell(r.Job, ResultDone)
	}
}

// decide makes a decision at home.
func (m *model) decide() {
	r := m.job()
	var next HomeRecord
	var err error
	switch {
	case m.chance(0.02):
		next, err = r.AskCancel()
	case m.chance(0.3):
		next, err = r.Recall()
	default:
		m.last++ // also when the write fails: an epoch that was taken is never used again
		next, err = r.Grant(m.holder().name, m.last)
	}
	if err == nil && next != r.HomeRecord {
		m.write(r, next)
	}
}

// deliver delivers any message under way, old ones too, and keeps half of them for once more.
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
	if next, changed := r.Apply(msg); changed && !m.homeOut {
		m.write(r, next)
	}
}

func (m *model) receive(h *holderModel, msg Message) {
	if h.out {
		return
	}
	h.floor = max(h.floor, msg.Floor)
	for job, r := range h.records {
		if r.Droppable(h.floor) {
			m.happened["a fence is dropped"]++
			delete(h.records, job)
		}
	}
	next, changed := h.records[msg.Job].Receive(msg, Facts{KnowsJob: h.knows == msg.Job, KnowsTeam: true, Willing: m.chance(0.8), Floor: h.floor})
	if changed && m.chance(0.1) {
		return // the process ends before the write
	}
	if msg.Epoch <= h.floor || next.Epoch > msg.Epoch {
		m.happened["an old message arrives"]++
	}
	if changed {
		h.records[msg.Job] = next
		m.happened[fmt.Sprintf("state %d with result %d at a holder", next.State, next.Result)]++
	}
	if next.State != HolderNone {
		m.send(next.Status(h.name))
	}
}

// work lets a holder start, stop or finish what it holds. What runs in a cell that is out runs on.
func (m *model) work() {
	h, id := m.holder(), m.job().Job
	r := h.records[id]
	next, changed := r, false
	switch {
	case h.running[id] && r.State == HolderStopping:
		h.running[id] = m.chance(0.5) // proved gone, later than it was asked to stop
	case h.out:
	case r.State == HolderStopping:
		next, changed = r.Finish(false)
	case r.State == HolderHolding && h.running[id] && m.chance(0.4):
		m.run(id)
		h.running[id] = false
		next, changed = r.Finish(true)
	case r.State == HolderHolding && m.chance(0.05):
		next, changed = r.GiveBack()
	case r.State == HolderHolding:
		h.running[id] = true
	}
	if changed {
		h.records[id] = next
		m.happened[fmt.Sprintf("state %d with result %d at a holder", next.State, next.Result)]++
		m.send(next.Status(h.name))
	}
}

// check checks that at most one cell may run a job or has something of it running, that it is the
// cell that the home's record names, and that the team is the home's.
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
			if h.knows == id {
				m.t.Fatalf("%s has %s, and a job of its own by that name", name, id)
			}
			if owners++; r.Holder != name || r.Epoch != held.Epoch || !r.open() || held.Team != r.Team {
				m.t.Fatalf("%s has %s as %+v, the home's record is %+v", name, id, held, r.HomeRecord)
			}
		}
		if owners > 1 {
			m.t.Fatalf("%d cells may run %s", owners, id)
		}
	}
}

// At every step at most one cell may run a job; when all is well again every job comes to one end.
func TestTransfersKeepOneOwner(t *testing.T) {
	happened := map[string]int{}
	for seed := range uint64(120) {
		m := newModel(t, seed)
		for range modelSteps {
			m.step(false)
		}
		m.homeOut = false
		for _, h := range m.holders {
			h.out = false
		}
		for n := 0; n < 400*modelSteps && !m.over(); n++ {
			m.step(true)
		}
		for id, r := range m.jobs {
			if r.State != HomeOver {
				t.Fatalf("seed %d: %s has not come to an end: %+v, %+v", seed, id, r.HomeRecord, m.holders)
			}
		}
		for what, n := range m.happened {
			happened[what] += n
		}
	}
	for _, what := range []string{"a decision at home is lost", "a write at home is in doubt", "a holder is out", "an old message arrives",
		"a fence is dropped", "state 1 with result 0 at a holder", "state 2 with result 0 at a holder",
		"state 3 with result 1 at a holder", "state 3 with result 2 at a holder", "state 3 with result 3 at a holder",
		"state 3 with result 4 at a holder"} {
		if happened[what] < 10 {
			t.Errorf("hardly ever: %s (%v)", what, happened)
		}
	}
}

// over reports whether every job has come to its end.
func (m *model) over() bool {
	for _, r := range m.jobs {
		if r.State != HomeOver {
			return false
		}
	}
	return true
}

// What a record does not allow is refused, and told apart.
func TestDecisionsThatARecordDoesNotAllow(t *testing.T) {
	granted, err := HomeRecord{Job: "j"}.Grant("b", 3)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := granted.Grant("c", 4); err != ErrNotLocal {
		t.Errorf("a second grant: %v", err)
	}
	back, _ := granted.Apply(Message{Kind: KindStatus, From: "b", Job: "j", Epoch: 3, State: HolderEnded, Result: ResultRefused})
	if _, err := back.Grant("c", 3); err != ErrOldEpoch || !back.MayRun() {
		t.Errorf("an epoch for the second time: %v, %+v", err, back)
	}
	over, _ := back.AskCancel()
	if _, err := over.Recall(); err != ErrOver || !over.Cancelled() {
		t.Errorf("a recall of what is over: %v", err)
	}
	if _, changed := (HolderRecord{State: HolderEnded}).GiveBack(); changed {
		t.Error("what has ended is given back")
	}
}
