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

// newSpilloverLeader returns a leader of a cell with spillover configured, and one waiting job of it.
func newSpilloverLeader(t testing.TB) (*Core, *leader, *job) {
	t.Helper()
	c, l, _ := newLeadingCore(t)
	c.op.Cell = &config.Cell{Name: "a", SpillAfter: 5 * time.Second, ReturnAfter: 5 * time.Second, LendCores: 10,
		Peers: []config.CellPeer{{Name: "b"}, {Name: "c"}}}
	l.spillover = newSpilloverManager(l)
	acceptSubmissions(c)
	setMemberVersions(c, firstVersionWithCells)
	c.quotas["red"] = quotaOf(config.Team{Name: "red", CPUs: 8, CPUsMax: 12})
	l.authority = c.now.Add(time.Hour)
	spec := wire.Job{ID: "req-000077", Team: "red", Class: "x", Kind: wire.KindArray, Priority: "high", Tasks: 3, CPUs: 1}
	c.watchCache.versions[headerKey(spec.ID)] = 4
	c.headerChanged(spec.ID, &headerRecord{Job: spec, AcceptedMS: c.now.Add(-time.Minute).UnixMilli(), TasksPerChunk: 10})
	return c, l, l.jobs[spec.ID]
}

// headerWrites returns the writes of the waiting job's header that the core has emitted, and clears its output.
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

// reconcileNow runs reconciliation once more, after its interval.
func (s *spilloverManager) reconcileNow() {
	s.c.now = s.c.now.Add(cellReconcileInterval)
	s.reconcile()
}

// A grant is written before it is offered. The write is conditional on no placement on record, an unchanged
// header and an unused epoch, so that a copy that is applied late changes nothing.
func TestGrantIsConditional(t *testing.T) {
	c, l, j := newSpilloverLeader(t)
	l.spillover.links["b"].lastReplyAt, l.spillover.links["b"].availableCores = c.now, 100
	c.out = nil
	l.spillover.reconcileNow()
	for _, o := range c.out {
		if call, ok := o.(CellCall); ok && len(call.Messages) > 0 {
			t.Fatalf("offered before the grant is recorded: %+v", call)
		}
	}
	writes := headerWrites(c)
	if len(writes) != 1 {
		t.Fatalf("%d writes of a grant, want 1", len(writes))
	}
	want := map[string]uint64{leaderKey: l.version, headerKey(j.id): 4, epochKey: 0, j.chunkKey(0): 0}
	for _, cond := range writes[0].Txn.If {
		if version, listed := want[cond.Key]; !listed || version != cond.Version {
			t.Errorf("unexpected condition %+v", cond)
		}
		delete(want, cond.Key)
	}
	if len(want) > 0 {
		t.Errorf("missing conditions on %v", want)
	}
	resume(c.stateCalls, writes[0].ID, StateReply{ID: writes[0].ID, Status: http.StatusOK, Txn: wire.TxnAnswer{Revision: 50}})
	if j.grant == nil || j.grant.Holder != "b" || c.watchCache.epoch != 1 {
		t.Fatalf("grant %+v, epoch counter %d", j.grant, c.watchCache.epoch)
	}
	if ds := l.demands(); len(ds) != 1 || ds[0].Job == j.id { // the fixture has another job
		t.Errorf("%d demands while the job is granted to another cell", len(ds))
	}
	if used := l.teamUse()["red"]; used.CPUs != 3 {
		t.Errorf("the granted job counts as %v cores for its team, want 3", used.CPUs)
	}
}

// grantToCellB replaces the waiting job's header by one that grants the job to cell b, and returns it.
func grantToCellB(c *Core) *headerRecord {
	h := *c.watchCache.headers["req-000077"]
	h.Grant = &grantRecord{Holder: "b", Epoch: 3}
	c.watchCache.versions[headerKey("req-000077")] = 9
	c.watchCache.epoch = 3
	c.headerChanged("req-000077", &h)
	return &h
}

// A request to cancel a granted job is recorded and answered with 503. The job counts as cancelled only after its
// holder, and no other cell, has reported the recorded end.
func TestCancelGrantedJob(t *testing.T) {
	c, l, _ := newSpilloverLeader(t)
	h := grantToCellB(c)
	c.out = nil
	c.cancelGranted(UserRequest{Req: 8, Op: UserCancel, Job: "req-000077"}, *h)
	writes := headerWrites(c)
	if len(writes) != 1 {
		t.Fatalf("%d writes", len(writes))
	}
	resume(c.stateCalls, writes[0].ID, StateReply{ID: writes[0].ID, Status: http.StatusOK, Txn: wire.TxnAnswer{Revision: 60}})
	answer, _ := c.out[len(c.out)-1].(Answer)
	if answer.Status != http.StatusServiceUnavailable || answer.RetryAfter == 0 || c.effectivelyCancelled("req-000077") {
		t.Fatalf("answer %+v, effectively cancelled %v", answer, c.effectivelyCancelled("req-000077"))
	}
	ended := cells.Message{Kind: cells.KindStatus, From: "b", To: "a", Job: "req-000077", Epoch: 3, State: cells.HolderEnded, Result: cells.ResultCancelled}
	for from, status := range map[cells.Cell]cells.Message{"c": ended, "b": ended} {
		status.From = from
		l.spillover.handleReply(l.spillover.links[from], CellReply{OK: true, Messages: []CellMessage{{Message: status}}})
	}
	writes = headerWrites(c)
	if len(writes) != 1 {
		t.Fatalf("%d writes after the holder has reported the end, want 1", len(writes))
	}
	if h := decode[headerRecord](writes[0].Txn.Then[0].Value); !h.Cancelled || h.Grant != nil {
		t.Errorf("header written after the holder has reported the end: %+v", h)
	}
}

// A holder refuses an offer of a job whose ID it knows, whose team it doesn't know, that is larger than the cores it
// lends, or that is not an array. Its answer contains no status before the decision is recorded.
func TestHolderAcceptsOnlyFittingOffers(t *testing.T) {
	for name, test := range map[string]struct {
		change       func(c *Core, spec *wire.Job)
		wantAccepted bool
	}{
		"a job that fits":          {func(*Core, *wire.Job) {}, true},
		"a known job ID":           {func(_ *Core, spec *wire.Job) { spec.ID = "req-000077" }, false},
		"an unknown team":          {func(_ *Core, spec *wire.Job) { spec.Team = "green" }, false},
		"more than the lent cores": {func(_ *Core, spec *wire.Job) { spec.Tasks = 11 }, false},
		"a service":                {func(_ *Core, spec *wire.Job) { spec.Kind = wire.KindService }, false},
	} {
		c, _, _ := newSpilloverLeader(t)
		spec := wire.Job{ID: "req-000088", Team: "red", Class: "x", Kind: wire.KindArray, Priority: "high", Tasks: 2, CPUs: 1, Image: "i"}
		test.change(c, &spec)
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
					t.Errorf("%s: status sent before the decision is recorded: %+v", name, o)
				}
			}
		}
		if accepted != test.wantAccepted || refused == test.wantAccepted {
			t.Errorf("%s: accepted %v, refused %v", name, accepted, refused)
		}
	}
}

// A job of another cell ranks below every own job, and is unknown to this cell's user API. A new leader starts
// none of its tasks before the home has confirmed, with the leader's challenge, that the grant is open.
func TestForeignJobs(t *testing.T) {
	c, l, _ := newSpilloverLeader(t)
	h := &headerRecord{Job: wire.Job{ID: "req-000066", Team: "red", Kind: wire.KindArray, Priority: "prod", Tasks: 1, CPUs: 1}, TasksPerChunk: 10,
		Origin: &originRecord{Home: "b", Epoch: 6}}
	c.headerChanged("req-000066", h)
	j := l.jobs["req-000066"]
	l.assignGuarantees()
	if j.terms.Rank != len(wire.Priorities)-1 || !j.terms.Borrowed {
		t.Errorf("terms %+v", j.terms)
	}
	if l.spillover.mayStart(j) {
		t.Error("may start before its home has confirmed the grant")
	}
	for _, stale := range []cells.Challenge{0, l.spillover.challenge + 1} { // none, and that of an earlier leader
		c.cellRequest(CellRequest{From: "b", Floor: 5, Challenge: stale})
		if l.spillover.mayStart(j) {
			t.Error("may start after a call that may be a copy from before the election")
		}
	}
	c.cellRequest(CellRequest{From: "b", Floor: 5, Challenge: l.spillover.challenge})
	if !l.spillover.mayStart(j) {
		t.Error("may not start though its grant is open")
	}
	c.cellRequest(CellRequest{From: "b", Floor: 6, Challenge: l.spillover.challenge})
	if l.spillover.mayStart(j) {
		t.Error("may start though its grant has ended")
	}
	c.watchCache.loaded, c.out = true, nil
	c.lookup("req-000066", func(k lookupResult) {
		if k != jobUnknown {
			t.Errorf("the user API knows the job: %d", k)
		}
	})
	_, _ = (&stateServiceStub{}).serve(c)
}

// No job is granted to another cell before every controller runs a version that supports spillover, and the
// header of a job that is not transferred is encoded as by earlier versions.
func TestCellsRequireAllMembersUpgraded(t *testing.T) {
	c, l, _ := newSpilloverLeader(t)
	setMemberVersions(c, thisVersion)
	l.spillover.links["b"].lastReplyAt, l.spillover.links["b"].availableCores = c.now, 100
	c.out = nil
	l.spillover.reconcileNow()
	if len(c.out) > 0 {
		t.Errorf("output %+v with a controller of an earlier version", c.out)
	}
	type earlier struct {
		Job        wire.Job `cbor:"j"`
		Cancelled  bool     `cbor:"x,omitempty"`
		AcceptedMS int64    `cbor:"t"`
		PerChunk   int      `cbor:"per"`
	}
	h := headerRecord{Job: wire.Job{ID: "req-1"}, AcceptedMS: 5, TasksPerChunk: 3}
	if string(wire.Marshal(h)) != string(wire.Marshal(earlier{Job: h.Job, AcceptedMS: 5, PerChunk: 3})) {
		t.Error("the encoding of a header has changed")
	}
}

// The write of an acceptance is conditional on an unchanged header, final record, fence and floor of the job, so that
// a copy that is applied late fails if the job or its epoch has ended here meanwhile.
func TestAcceptanceIsConditional(t *testing.T) {
	c, l, _ := newSpilloverLeader(t)
	fence := fenceRecord{Epoch: 2, Result: cells.ResultReturned}
	l.spillover.restoreFloors([]wire.Item{{Key: floorKey("b"), Value: wire.Marshal(epochRecord{1}), Version: 30}})
	l.spillover.restoreFences([]wire.Item{{Key: fenceKey("b", "req-000088"), Value: wire.Marshal(fence), Version: 31}})
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
				t.Errorf("unexpected condition %+v", cond)
			}
			delete(want, cond.Key)
		}
	}
	if len(want) > 0 {
		t.Errorf("missing conditions on %v", want)
	}
}

// A floor is recorded, and the fences that it replaces are removed, in one transaction; until that is confirmed
// the fences remain in effect.
func TestFloorReplacesFences(t *testing.T) {
	c, l, _ := newSpilloverLeader(t)
	key := fenceKey("b", "req-000088")
	l.spillover.restoreFences([]wire.Item{{Key: key, Value: wire.Marshal(fenceRecord{Epoch: 2, Result: cells.ResultDone}), Version: 31}})
	c.out = nil
	l.spillover.raiseFloor("b", 4)
	var call StateCall
	for _, o := range c.out {
		if txn, ok := o.(StateCall); ok && txn.Op == OpTxn {
			call = txn
		}
	}
	if len(call.Txn.Then) != 2 || call.Txn.Then[0].Put != floorKey("b") || call.Txn.Then[1].Delete != key || len(call.Txn.If) != 3 {
		t.Fatalf("transaction %+v, want a put of the floor and a delete of the fence", call.Txn)
	}
	if l.spillover.floor("b").epoch != 0 || l.spillover.fences[key] == nil {
		t.Error("the floor replaces the fence before it is recorded")
	}
	resume(c.stateCalls, call.ID, StateReply{ID: call.ID, Status: http.StatusOK, Txn: wire.TxnAnswer{Revision: 70}})
	if l.spillover.floor("b").epoch != 4 || l.spillover.floor("b").version != 70 || l.spillover.fences[key] != nil {
		t.Errorf("floor %+v, fences %v", l.spillover.floor("b"), l.spillover.fences)
	}
}

// offerRequest returns a call of a home with one offer for each size, in cores. Epochs and job IDs count from first.
func offerRequest(c *Core, home cells.Cell, first int, sizes ...int) CellRequest {
	r := CellRequest{From: home, Challenge: c.lead.spillover.challenge}
	for i, size := range sizes {
		spec := &wire.Job{ID: fmt.Sprintf("req-%06d", first+i), Team: "red", Class: "x", Kind: wire.KindArray, Priority: "high", Tasks: size, CPUs: 1, Image: "i"}
		r.Messages = append(r.Messages, CellMessage{Spec: spec, Message: cells.Message{Kind: cells.KindOffer, From: home, To: "a", Job: spec.ID,
			Epoch: cells.Epoch(first + i), Team: "red"}})
	}
	return r
}

// acceptanceWrites returns the writes of acceptances that the core has emitted and their total size in cores, and
// clears its output.
func acceptanceWrites(c *Core) (writes []StateCall, cores int) {
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

// The offers of one call, duplicated and reordered, and those of two homes at once must together not exceed the lent
// cores. Checking each offer against the same available cores would accept too many.
func TestConcurrentOffersStayWithinLentCores(t *testing.T) {
	c, l, _ := newSpilloverLeader(t) // lends 10 cores
	c.out = nil
	first := offerRequest(c, "b", 100, 4, 4, 4, 2)
	doubled := CellRequest{From: "b", Challenge: first.Challenge}
	for _, i := range []int{1, 0, 1, 3, 2, 0, 3} {
		doubled.Messages = append(doubled.Messages, first.Messages[i])
	}
	c.cellRequest(doubled)
	c.cellRequest(offerRequest(c, "c", 200, 3, 1))
	writes, cores := acceptanceWrites(c)
	if cores != 10 || len(writes) != 3 {
		t.Fatalf("%d jobs with %d cores in total are accepted, want 3 jobs with the 10 lent cores", len(writes), cores)
	}
	// A write without an answer may be applied later: its cores stay reserved, even if a later write of the same
	// acceptance is refused.
	id := writes[0].Txn.Then[0].Put[len(headerPrefix):]
	for _, status := range []int{0, http.StatusConflict} {
		l.spillover.handleAcceptanceReply(id, status)
		if l.spillover.availableCores() > 0 {
			t.Errorf("%v cores are available after status %d of a write whose outcome is unknown", l.spillover.availableCores(), status)
		}
	}
	// A repeated offer is accepted again, within the cores reserved for it.
	delete(l.spillover.headerWriteInFlight, id)
	delete(l.spillover.fences, fenceKey("b", id))
	c.cellRequest(first)
	if again, cores := acceptanceWrites(c); len(again) != 1 || cores != 4 || l.spillover.availableCores() > 0 {
		t.Errorf("after a repeated offer %d jobs with %d cores in total are accepted again, want 1 job with 4 cores", len(again), cores)
	}
	// A write that is certainly refused releases its cores.
	l.spillover.handleAcceptanceReply(writes[2].Txn.Then[0].Put[len(headerPrefix):], http.StatusConflict)
	if l.spillover.availableCores() != 2 {
		t.Errorf("%v cores are available after a refused write, want 2", l.spillover.availableCores())
	}
	// A floor of the home that ends the grants releases their cores.
	c.cellRequest(CellRequest{From: "b", Floor: 150, Challenge: l.spillover.challenge})
	if l.spillover.availableCores() != 10 {
		t.Errorf("%v cores are available after the end of all grants, want 10", l.spillover.availableCores())
	}
}

// A holder reports no available cores to a home that has not sent this leader's challenge back. A home recognizes a
// new leader by its challenge and calls again at once.
func TestCapacityRequiresCurrentChallenge(t *testing.T) {
	c, l, _ := newSpilloverLeader(t)
	c.out = nil
	for challenge, room := range map[cells.Challenge]float64{0: 0, l.spillover.challenge: 10} {
		c.cellRequest(CellRequest{Req: 3, From: "b", Challenge: challenge})
		answer := c.out[len(c.out)-1].(Answer).Body.(CellAnswer)
		if answer.AvailableCores != room || answer.Challenge != l.spillover.challenge || answer.Challenge == 0 {
			t.Errorf("challenge %d: %+v", challenge, answer)
		}
	}
	link := l.spillover.links["b"]
	for _, reply := range []struct {
		challenge cells.Challenge
		soon      bool
	}{{77, true}, {77, false}, {78, true}} {
		l.spillover.handleReply(link, CellReply{OK: true, Challenge: reply.challenge})
		if soon := !c.now.Before(link.nextCallAt); soon != reply.soon {
			t.Errorf("challenge %d: next call due at once %v", reply.challenge, soon)
		}
		c.out = nil
		link.nextCallAt = c.now
		l.spillover.call(link, nil)
		if call, ok := c.out[len(c.out)-1].(CellCall); !ok || call.Challenge != reply.challenge {
			t.Errorf("output %+v, want a call with the challenge", c.out)
		}
	}
}

// A call to a cell that was declared gone carries a floor at which all its grants have ended, even while another
// cell holds an older grant, and before the writes that take the grants back are made.
func TestFloorOfCellDeclaredGone(t *testing.T) {
	c, l, _ := newSpilloverLeader(t)
	open := []cells.HomeRecord{{Job: "x", State: cells.HomeOffered, Holder: "c", Epoch: 2}, {Job: "y", State: cells.HomeOffered, Holder: "b", Epoch: 5}}
	c.watchCache.epoch = 6
	c.watchCache.declaredGone["b"] = goneRecord{Epoch: 6, By: "operator"}
	for holder, want := range map[cells.Cell]CellCall{"b": {Floor: 6}, "c": {Floor: 1, Messages: make([]CellMessage, 1)}} {
		c.watchCache.headers["x"], c.watchCache.headers["y"] = &headerRecord{}, &headerRecord{}
		c.out = nil
		l.spillover.call(l.spillover.links[holder], open)
		if call := c.out[len(c.out)-1].(CellCall); call.Floor != want.Floor || len(call.Messages) != len(want.Messages) {
			t.Errorf("call to %s is %+v", holder, call)
		}
	}
}

// The write of a fence is conditional on an unchanged header of its job. Otherwise it could end an epoch whose
// acceptance was applied but is not observed yet, and the job would go on running here.
func TestFenceIsConditionalOnTheHeader(t *testing.T) {
	c, _, _ := newSpilloverLeader(t)
	c.out = nil
	recall := cells.Message{Kind: cells.KindRecall, From: "b", To: "a", Job: "req-000088", Epoch: 5}
	c.cellRequest(CellRequest{From: "b", Messages: []CellMessage{{Message: recall}}})
	for _, o := range c.out {
		if call, ok := o.(StateCall); ok && call.Op == OpTxn && call.Txn.Then[0].Put == fenceKey("b", "req-000088") {
			if !slices.Contains(call.Txn.If, wire.Cond{Key: headerKey("req-000088")}) {
				t.Errorf("conditions %+v, want one on the header", call.Txn.If)
			}
			return
		}
	}
	t.Error("no fence was written")
}

// After any sequence of header changes the transfer index contains the same jobs as a scan of all headers.
func TestTransferIndex(t *testing.T) {
	c, _, _ := newSpilloverLeader(t)
	rng := rand.New(rand.NewPCG(2, 7))
	homes := []cells.Cell{"b", "c"}
	for range 2000 {
		h := &headerRecord{Job: wire.Job{ID: fmt.Sprintf("req-%06d", 100+rng.IntN(40)), Team: "red", Kind: wire.KindArray, Priority: "high", Tasks: 1, CPUs: 1}, TasksPerChunk: 10}
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
		for id, h := range c.watchCache.headers {
			if h.Grant != nil {
				granted++
			}
			if (h.Grant != nil) != c.watchCache.transfers.granted[id] {
				t.Fatalf("%s: granted %v, which the index contradicts", id, h.Grant != nil)
			}
			if h.Origin != nil {
				foreign[h.Origin.Home]++
				if !c.watchCache.transfers.foreign[h.Origin.Home][id] {
					t.Fatalf("%s with home %s is not in the index", id, h.Origin.Home)
				}
			}
		}
		for _, home := range homes {
			if len(c.watchCache.transfers.granted) != granted || len(c.watchCache.transfers.foreign[home]) != foreign[home] {
				t.Fatalf("index has %d of %d granted jobs and %d of %d jobs with home %s", len(c.watchCache.transfers.granted), granted, len(c.watchCache.transfers.foreign[home]), foreign[home], home)
			}
		}
	}
}

// BenchmarkCellStep measures the parts of a reconciliation, and of the handling of a call from another cell,
// that iterate over jobs. Of 5,000 jobs 50 are granted to that cell, and 50 are accepted from it.
func BenchmarkCellStep(b *testing.B) {
	c, l, _ := newSpilloverLeader(b)
	for i := range 5000 {
		h := &headerRecord{Job: wire.Job{ID: fmt.Sprintf("req-%06d", 1000+i), Team: "red", Kind: wire.KindArray, Priority: "high", Tasks: 1, CPUs: 1}, TasksPerChunk: 10}
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
		l.spillover.openGrants()
		l.spillover.raiseFloor("b", 1)
		l.spillover.availableCores()
		l.spillover.returnWaitingJobs()
	}
}
