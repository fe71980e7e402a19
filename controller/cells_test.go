package controller

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"pumicefront/cells"
	"pumicefront/config"
	"pumicefront/wire"
)

// celled is a leader of a cell that spills over, with one job that waits.
func celled(t testing.TB) (*Core, *leader, *job) {
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
	for _, copied := range []cells.Challenge{0, l.cells.challenge + 1} { // none known, and that of an earlier leader
		c.cellRequest(CellRequest{From: "b", Floor: 5, Challenge: copied})
		if l.cells.mayStart(j) {
			t.Error("starts on a call that may be a copy from before the election")
		}
	}
	c.cellRequest(CellRequest{From: "b", Floor: 5, Challenge: l.cells.challenge})
	if !l.cells.mayStart(j) {
		t.Error("does not start though its grant is open")
	}
	c.cellRequest(CellRequest{From: "b", Floor: 6, Challenge: l.cells.challenge})
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
	l.cells.restoreFloors([]wire.Item{{Key: floorKey("b"), Value: wire.Marshal(epochRecord{1}), Version: 30}})
	l.cells.restoreFences([]wire.Item{{Key: fenceKey("b", "req-000088"), Value: wire.Marshal(fence), Version: 31}})
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
	l.cells.restoreFences([]wire.Item{{Key: key, Value: wire.Marshal(fenceRecord{Epoch: 2, Result: cells.ResultDone}), Version: 31}})
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

// offers is a call of a home with one offer for each size, in cores; epochs and ids count from first.
func offers(c *Core, home cells.Cell, first int, sizes ...int) CellRequest {
	r := CellRequest{From: home, Challenge: c.lead.cells.challenge}
	for i, size := range sizes {
		spec := &wire.Job{ID: fmt.Sprintf("req-%06d", first+i), Team: "red", Class: "x", Kind: wire.KindArray, Priority: "high", Tasks: size, CPUs: 1, Image: "i"}
		r.Messages = append(r.Messages, CellMessage{Spec: spec, Message: cells.Message{Kind: cells.KindOffer, From: home, To: "a", Job: spec.ID,
			Epoch: cells.Epoch(first + i), Team: "red"}})
	}
	return r
}

// accepted lists the writes of acceptances that the core asks for, and how many cores they take together.
func accepted(c *Core) (writes []StateCall, cores int) {
	for _, o := range c.out {
		if call, ok := o.(StateCall); ok && call.Op == OpTxn {
			if h := decode[headerRecord](call.Txn.Then[0].Value); h != nil && h.Origin != nil {
				writes = append(writes, call)
				cores += h.Job.Tasks
			}
		}
	}
	c.out = nil
	return writes, cores
}

// The offers of one call together, doubled and reordered, and those of two homes at once, take no more
// than is lent: each was once judged against the same room.
func TestOffersTogetherKeepToWhatIsLent(t *testing.T) {
	c, l, _ := celled(t) // which lends 10 cores
	c.out = nil
	first := offers(c, "b", 100, 4, 4, 4, 2)
	doubled := CellRequest{From: "b", Challenge: first.Challenge}
	for _, i := range []int{1, 0, 1, 3, 2, 0, 3} {
		doubled.Messages = append(doubled.Messages, first.Messages[i])
	}
	c.cellRequest(doubled)
	c.cellRequest(offers(c, "c", 200, 3, 1))
	writes, cores := accepted(c)
	if cores != 10 || len(writes) != 3 {
		t.Fatalf("%d jobs of %d cores are accepted, 10 cores are lent", len(writes), cores)
	}
	// What got no answer may be applied later: its room stays taken, also when it is refused then.
	id := writes[0].Txn.Then[0].Put[len(headerPrefix):]
	for _, status := range []int{0, http.StatusConflict} {
		l.cells.acceptanceAnswered(id, status)
		if l.cells.lends() > 0 {
			t.Errorf("%v cores are lent after status %d of a write in doubt", l.cells.lends(), status)
		}
	}
	// It is written again when it is offered again, in the room that it has.
	delete(l.cells.rewriting, id)
	delete(l.cells.fences, fenceKey("b", id))
	c.cellRequest(first)
	if again, cores := accepted(c); len(again) != 1 || cores != 4 || l.cells.lends() > 0 {
		t.Errorf("%d jobs of %d cores are accepted once more", len(again), cores)
	}
	// What is refused for certain leaves its room to others.
	l.cells.acceptanceAnswered(writes[2].Txn.Then[0].Put[len(headerPrefix):], http.StatusConflict)
	if l.cells.lends() != 2 {
		t.Errorf("%v cores are lent after a refused write", l.cells.lends())
	}
	// Once the home says that it is over, its room is free.
	c.cellRequest(CellRequest{From: "b", Floor: 150, Challenge: l.cells.challenge})
	if l.cells.lends() != 10 {
		t.Errorf("%v cores are lent after the end of all grants", l.cells.lends())
	}
}

// Nothing is lent to a home before it has carried the challenge of this leader back, and a home learns
// of a new leader by its challenge and asks again at once.
func TestRoomIsToldInAnswerToTheChallenge(t *testing.T) {
	c, l, _ := celled(t)
	c.out = nil
	for challenge, room := range map[cells.Challenge]float64{0: 0, l.cells.challenge: 10} {
		c.cellRequest(CellRequest{Req: 3, From: "b", Challenge: challenge})
		answer := c.out[len(c.out)-1].(Answer).Body.(CellAnswer)
		if answer.Room != room || answer.Challenge != l.cells.challenge || answer.Challenge == 0 {
			t.Errorf("challenge %d: %+v", challenge, answer)
		}
	}
	link := l.cells.links["b"]
	for _, answered := range []struct {
		challenge cells.Challenge
		soon      bool
	}{{77, true}, {77, false}, {78, true}} {
		l.cells.answered(link, CellReply{OK: true, Challenge: answered.challenge})
		if soon := !c.now.Before(link.askAt); soon != answered.soon {
			t.Errorf("challenge %d: asked again at once %v", answered.challenge, soon)
		}
		c.out = nil
		link.askAt = c.now
		l.cells.ask(link, nil)
		if call, ok := c.out[len(c.out)-1].(CellCall); !ok || call.Challenge != answered.challenge {
			t.Errorf("asked with %+v", c.out)
		}
	}
}

// A cell that was declared gone hears that all it had is over, although another cell still has an older
// grant, and before the writes that take its grants back are made.
func TestFloorOfACellDeclaredGone(t *testing.T) {
	c, l, _ := celled(t)
	open := []cells.HomeRecord{{Job: "x", State: cells.HomeOffered, Holder: "c", Epoch: 2}, {Job: "y", State: cells.HomeOffered, Holder: "b", Epoch: 5}}
	c.control.epoch = 6
	c.control.gone["b"] = goneRecord{Epoch: 6, By: "operator"}
	for holder, want := range map[cells.Cell]CellCall{"b": {Floor: 6}, "c": {Floor: 1, Messages: make([]CellMessage, 1)}} {
		c.control.headers["x"], c.control.headers["y"] = &headerRecord{}, &headerRecord{}
		c.out = nil
		l.cells.ask(l.cells.links[holder], open)
		if call := c.out[len(c.out)-1].(CellCall); call.Floor != want.Floor || len(call.Messages) != len(want.Messages) {
			t.Errorf("%s is told %+v", holder, call)
		}
	}
}

// A fence is written only where the header of its job is as it was read: an acceptance that was applied
// and is not seen yet would run beside it.
func TestFenceIsConditionalOnTheHeader(t *testing.T) {
	c, _, _ := celled(t)
	c.out = nil
	recall := cells.Message{Kind: cells.KindRecall, From: "b", To: "a", Job: "req-000088", Epoch: 5}
	c.cellRequest(CellRequest{From: "b", Messages: []CellMessage{{Message: recall}}})
	for _, o := range c.out {
		if call, ok := o.(StateCall); ok && call.Op == OpTxn && call.Txn.Then[0].Put == fenceKey("b", "req-000088") {
			if !slices.Contains(call.Txn.If, wire.Cond{Key: headerKey("req-000088")}) {
				t.Errorf("conditions %+v", call.Txn.If)
			}
			return
		}
	}
	t.Error("no fence is written")
}

// The index of what is in other cells, or another cell's, is what a walk over all headers finds, whatever
// changes.
func TestCellIndex(t *testing.T) {
	c, _, _ := celled(t)
	rng := rand.New(rand.NewPCG(2, 7))
	homes := []cells.Cell{"b", "c"}
	for range 2000 {
		h := &headerRecord{Job: wire.Job{ID: fmt.Sprintf("req-%06d", 100+rng.IntN(40)), Team: "red", Kind: wire.KindArray, Priority: "high", Tasks: 1, CPUs: 1}, PerChunk: 10}
		switch rng.IntN(4) {
		case 0:
			h.Grant = &grantRecord{Holder: homes[rng.IntN(2)], Epoch: 3}
		case 1:
			h.Origin = &originRecord{Home: homes[rng.IntN(2)], Epoch: 4}
		case 2:
			c.headerChanged(h.Job.ID, nil)
			continue
		}
		c.headerChanged(h.Job.ID, h)
		granted, foreign := 0, map[cells.Cell]int{}
		for id, h := range c.control.headers {
			if h.Grant != nil {
				granted++
			}
			if (h.Grant != nil) != c.control.cells.granted[id] {
				t.Fatalf("%s is granted %v", id, h.Grant != nil)
			}
			if h.Origin != nil {
				foreign[h.Origin.Home]++
				if !c.control.cells.foreign[h.Origin.Home][id] {
					t.Fatalf("%s of %s is not in the index", id, h.Origin.Home)
				}
			}
		}
		for _, home := range homes {
			if len(c.control.cells.granted) != granted || len(c.control.cells.foreign[home]) != foreign[home] {
				t.Fatalf("%d of %d granted, %d of %d of %s", len(c.control.cells.granted), granted, len(c.control.cells.foreign[home]), foreign[home], home)
			}
		}
	}
}

// BenchmarkCellStep is a step of the cells' side and a call of another cell, beside 5,000 own jobs of which
// 50 are elsewhere and 50 of that cell.
func BenchmarkCellStep(b *testing.B) {
	c, l, _ := celled(b)
	for i := range 5000 {
		h := &headerRecord{Job: wire.Job{ID: fmt.Sprintf("req-%06d", 1000+i), Team: "red", Kind: wire.KindArray, Priority: "high", Tasks: 1, CPUs: 1}, PerChunk: 10}
		switch i % 100 {
		case 0:
			h.Grant = &grantRecord{Holder: "b", Epoch: cells.Epoch(1000 + i)}
		case 1:
			h.Origin = &originRecord{Home: "b", Epoch: cells.Epoch(1000 + i)}
		}
		c.headerChanged(h.Job.ID, h)
	}
	for b.Loop() {
		c.out = nil
		l.cells.openGrants()
		l.cells.raiseFloor("b", 1)
		l.cells.lends()
		l.cells.giveBackWaiting()
	}
}
