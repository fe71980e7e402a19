package controller

import (
	"net/http"
	"testing"
	"time"

	"pumicefront/cells"
	"pumicefront/config"
	"pumicefront/wire"
)

// celled is a leader of a cell that spills over, with one job that waits.
func celled(t *testing.T) (*Core, *leader, *job) {
	t.Helper()
	c, l, _ := leading(t)
	c.op.Cell = &config.Cell{Name: "a", SpillAfter: 5 * time.Second, ReturnAfter: 5 * time.Second, LendCores: 10,
		Peers: []config.CellPeer{{Name: "b"}, {Name: "c"}}}
	l.cells = newCellSide(l)
	serving(c)
	members(c, firstVersionWithCells)
	c.quotas["red"] = quotaOf(config.Team{Name: "red", CPUs: 8, CPUsMax: 12})
	l.authority = c.now.Add(time.Hour)
	spec := wire.Job{ID: "req-000077", Team: "red", Class: "x", Kind: wire.KindArray, Priority: "high", Tasks: 3, CPUs: 1}
	c.control.versions[headerKey(spec.ID)] = 4
	c.headerChanged(spec.ID, &headerRecord{Job: spec, AcceptedMS: c.now.Add(-time.Minute).UnixMilli(), PerChunk: 10})
	return c, l, l.jobs[spec.ID]
}

// headerWrites lists the transactions on headers that the core asks for.
func headerWrites(c *Core) []StateCall {
	var calls []StateCall
	for _, o := range c.out {
		if call, ok := o.(StateCall); ok && call.Op == OpTxn && len(call.Txn.Then) > 0 && call.Txn.Then[0].Put == headerKey("req-000077") {
			calls = append(calls, call)
		}
	}
	c.out = nil
	return calls
}

// run lets the cells' side act once more.
func (s *cellSide) runNow() {
	s.c.now = s.c.now.Add(cellInterval)
	s.run()
}

// A grant is written before it is offered, on the conditions that make a late copy of it harmless: no
// placement on record, the header as it was, and an epoch that nobody has taken.
func TestGrantIsConditional(t *testing.T) {
	c, l, j := celled(t)
	l.cells.links["b"].answered, l.cells.links["b"].room = c.now, 100
	c.out = nil
	l.cells.runNow()
	for _, o := range c.out {
		if call, ok := o.(CellCall); ok && len(call.Messages) > 0 {
			t.Fatalf("offered before it is on record: %+v", call)
		}
	}
	writes := headerWrites(c)
	if len(writes) != 1 {
		t.Fatalf("%d grants", len(writes))
	}
	want := map[string]uint64{leaderKey: l.version, headerKey(j.id): 4, epochKey: 0, j.chunkKey(0): 0}
	for _, cond := range writes[0].Txn.If {
		if version, listed := want[cond.Key]; !listed || version != cond.Version {
			t.Errorf("condition %+v", cond)
		}
		delete(want, cond.Key)
	}
	if len(want) > 0 {
		t.Errorf("no conditions on %v", want)
	}
	resume(c.stateCalls, writes[0].ID, StateReply{ID: writes[0].ID, Status: http.StatusOK, Txn: wire.TxnAnswer{Revision: 50}})
	if j.grant == nil || j.grant.Holder != "b" || c.control.epoch != 1 {
		t.Fatalf("granted as %+v in epoch %d", j.grant, c.control.epoch)
	}
	if ds := l.demands(); len(ds) != 1 || ds[0].Job == j.id { // the other job is the fixture's
		t.Errorf("%d demands while the job is elsewhere", len(ds))
	}
	if used := l.teamUse()["red"]; used.CPUs != 3 {
		t.Errorf("the job counts as %v cores for its team", used.CPUs)
	}
}

// granted is a header of a job that cell b may run.
func grantedHeader(c *Core) *headerRecord {
	h := *c.control.headers["req-000077"]
	h.Grant = &grantRecord{Holder: "b", Epoch: 3}
	c.control.versions[headerKey("req-000077")] = 9
	c.control.epoch = 3
	c.headerChanged("req-000077", &h)
	return &h
}

// A cancellation of what is elsewhere gets 503 at once, and is told only when the holder's word is on
// record.
func TestCancellationOfAGrantedJob(t *testing.T) {
	c, l, _ := celled(t)
	h := grantedHeader(c)
	c.out = nil
	c.abortGranted(UserRequest{Req: 8, Op: UserAbort, Job: "req-000077"}, *h)
	writes := headerWrites(c)
	if len(writes) != 1 {
		t.Fatalf("%d writes", len(writes))
	}
	resume(c.stateCalls, writes[0].ID, StateReply{ID: writes[0].ID, Status: http.StatusOK, Txn: wire.TxnAnswer{Revision: 60}})
	answer, _ := c.out[len(c.out)-1].(Answer)
	if answer.Status != http.StatusServiceUnavailable || answer.RetryAfter == 0 || c.withdrawn("req-000077") {
		t.Fatalf("%+v, withdrawn %v", answer, c.withdrawn("req-000077"))
	}
	ended := cells.Message{Kind: cells.KindStatus, From: "b", To: "a", Job: "req-000077", Epoch: 3, State: cells.HolderEnded, Result: cells.ResultCancelled}
	for from, status := range map[cells.Cell]cells.Message{"c": ended, "b": ended} {
		status.From = from
		l.cells.answered(l.cells.links[from], CellReply{OK: true, Messages: []CellMessage{{Message: status}}})
	}
	writes = headerWrites(c)
	if len(writes) != 1 {
		t.Fatalf("%d writes after the holder's word", len(writes))
	}
	if h := decode[headerRecord](writes[0].Txn.Then[0].Value); !h.Cancelled || h.Grant != nil {
		t.Errorf("written: %+v", h)
	}
}

// A holder refuses a job whose id it knows, whose team it doesn't know or that is more than it lends,
// and answers only its home, only as leader, and only what is recorded.
func TestHolderRefuses(t *testing.T) {
	for name, k := range map[string]struct {
		change func(c *Core, spec *wire.Job)
		taken  bool
	}{
		"a job that fits":    {func(*Core, *wire.Job) {}, true},
		"a job that it has":  {func(_ *Core, spec *wire.Job) { spec.ID = "req-000077" }, false},
		"an unknown team":    {func(_ *Core, spec *wire.Job) { spec.Team = "green" }, false},
		"more than it lends": {func(_ *Core, spec *wire.Job) { spec.Tasks = 11 }, false},
		"a service":          {func(_ *Core, spec *wire.Job) { spec.Kind = wire.KindService }, false},
	} {
		c, _, _ := celled(t)
		spec := wire.Job{ID: "req-000088", Team: "red", Class: "x", Kind: wire.KindArray, Priority: "high", Tasks: 2, CPUs: 1, Image: "i"}
		k.change(c, &spec)
		c.out = nil
		c.cellRequest(CellRequest{Req: 4, From: "b", Floor: 1, Messages: []CellMessage{{Spec: &spec, Message: cells.Message{Kind: cells.KindOffer,
			From: "b", To: "a", Job: spec.ID, Epoch: 5, Team: spec.Team}}}})
		accepted, refused := false, false
		for _, o := range c.out {
			switch o := o.(type) {
			case StateCall:
				accepted = accepted || o.Op == OpTxn && o.Txn.Then[0].Put == headerKey(spec.ID)
				refused = refused || o.Op == OpTxn && o.Txn.Then[0].Put == fenceKey("b", spec.ID)
			case Answer:
				if body := o.Body.(CellAnswer); o.Status != http.StatusOK || len(body.Messages) > 0 {
					t.Errorf("%s: told before it is recorded: %+v", name, o)
				}
			}
		}
		if accepted != k.taken || refused == k.taken {
			t.Errorf("%s: accepted %v, refused %v", name, accepted, refused)
		}
	}
}

// Another cell's job is nobody's here: its users are told elsewhere. It ranks below every own one, and
// a new leader starts nothing of it before its home has said that the grant is open.
func TestForeignJobs(t *testing.T) {
	c, l, _ := celled(t)
	h := &headerRecord{Job: wire.Job{ID: "req-000066", Team: "red", Kind: wire.KindArray, Priority: "prod", Tasks: 1, CPUs: 1}, PerChunk: 10,
		Origin: &originRecord{Home: "b", Epoch: 6}}
	c.headerChanged("req-000066", h)
	j := l.jobs["req-000066"]
	l.assignGuarantees()
	if j.terms.Rank != len(wire.Priorities)-1 || !j.terms.Borrowed {
		t.Errorf("ranks as %+v", j.terms)
	}
	if l.cells.mayStart(j) {
		t.Error("starts before its home was heard")
	}
	l.cells.raiseFloor("b", 5)
	if !l.cells.mayStart(j) {
		t.Error("does not start though its grant is open")
	}
	l.cells.raiseFloor("b", 6)
	if l.cells.mayStart(j) {
		t.Error("starts though its grant is over")
	}
	c.control.loaded, c.out = true, nil
	c.lookup("req-000066", func(k known) {
		if k != knownNot {
			t.Errorf("users are told of it: %d", k)
		}
	})
	_, _ = (&stateStub{}).serve(c)
}

// Without every controller's knowing of it, no job goes anywhere; and what is stored of jobs at home
// has the form that earlier versions have written.
func TestCellsWaitForAllMembers(t *testing.T) {
	c, l, _ := celled(t)
	members(c, thisVersion)
	l.cells.links["b"].answered, l.cells.links["b"].room = c.now, 100
	c.out = nil
	l.cells.runNow()
	if len(c.out) > 0 {
		t.Errorf("%+v with a controller of an earlier version", c.out)
	}
	type earlier struct {
		Job        wire.Job `cbor:"j"`
		Cancelled  bool     `cbor:"x,omitempty"`
		AcceptedMS int64    `cbor:"t"`
		PerChunk   int      `cbor:"per"`
	}
	h := headerRecord{Job: wire.Job{ID: "req-1"}, AcceptedMS: 5, PerChunk: 3}
	if string(wire.Marshal(h)) != string(wire.Marshal(earlier{Job: h.Job, AcceptedMS: 5, PerChunk: 3})) {
		t.Error("the form of a header has changed")
	}
}

// An acceptance that is applied late must find that nothing has happened to the job here meanwhile: no
// end of it on record, no fence of that epoch or a later one, and no floor that has taken a fence's place.
func TestAcceptanceIsConditional(t *testing.T) {
	c, l, _ := celled(t)
	fence := fenceRecord{Epoch: 2, Result: cells.ResultReturned}
	l.cells.restore([]wire.Item{{Key: floorKey("b"), Value: wire.Marshal(epochRecord{1}), Version: 30}},
		[]wire.Item{{Key: fenceKey("b", "req-000088"), Value: wire.Marshal(fence), Version: 31}})
	spec := wire.Job{ID: "req-000088", Team: "red", Class: "x", Kind: wire.KindArray, Priority: "high", Tasks: 2, CPUs: 1, Image: "i"}
	offer := cells.Message{Kind: cells.KindOffer, From: "b", To: "a", Job: spec.ID, Epoch: 5, Team: "red"}
	c.out = nil
	c.cellRequest(CellRequest{Req: 4, From: "b", Floor: 1, Messages: []CellMessage{{Spec: &spec, Message: offer}}})
	want := map[string]uint64{leaderKey: l.version, headerKey(spec.ID): 0, finalKey(spec.ID): 0, fenceKey("b", spec.ID): 31, floorKey("b"): 30}
	for _, o := range c.out {
		call, ok := o.(StateCall)
		if !ok || call.Op != OpTxn {
			continue
		}
		for _, cond := range call.Txn.If {
			if version, listed := want[cond.Key]; !listed || version != cond.Version {
				t.Errorf("condition %+v", cond)
			}
			delete(want, cond.Key)
		}
	}
	if len(want) > 0 {
		t.Errorf("no conditions on %v", want)
	}
}

// A floor is recorded in one transaction with the removal of the fences that it stands for; until
// then they count.
func TestFloorTakesThePlaceOfFences(t *testing.T) {
	c, l, _ := celled(t)
	key := fenceKey("b", "req-000088")
	l.cells.restore(nil, []wire.Item{{Key: key, Value: wire.Marshal(fenceRecord{Epoch: 2, Result: cells.ResultDone}), Version: 31}})
	c.out = nil
	l.cells.raiseFloor("b", 4)
	var call StateCall
	for _, o := range c.out {
		if txn, ok := o.(StateCall); ok && txn.Op == OpTxn {
			call = txn
		}
	}
	if len(call.Txn.Then) != 2 || call.Txn.Then[0].Put != floorKey("b") || call.Txn.Then[1].Delete != key || len(call.Txn.If) != 3 {
		t.Fatalf("%+v", call.Txn)
	}
	if l.cells.floor("b").epoch != 0 || l.cells.fences[key] == nil {
		t.Error("the floor holds before it is recorded")
	}
	resume(c.stateCalls, call.ID, StateReply{ID: call.ID, Status: http.StatusOK, Txn: wire.TxnAnswer{Revision: 70}})
	if l.cells.floor("b").epoch != 4 || l.cells.floor("b").version != 70 || l.cells.fences[key] != nil {
		t.Errorf("%+v, fences %v", l.cells.floor("b"), l.cells.fences)
	}
}
