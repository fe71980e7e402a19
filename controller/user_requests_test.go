package controller

import (
	"math/rand/v2"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"pumicefront/wire"
)

// When lookups exceed the read rate, no lookup may be refused forever: reads are made first come,
// first served, also for users who have stopped waiting.
func TestFinalRecordReadsAreFirstComeFirstServed(t *testing.T) {
	c, _, _ := newLeadingCore(t)
	c.lead, c.watchCache.loaded = nil, true
	c.reads = rate.NewLimiter(1, 1)
	c.reads.AllowN(c.now, 1)
	results := []lookupResult{}
	c.lookupFinal("req-000001", func(k lookupResult) { results = append(results, k) })
	c.now = c.now.Add(finalReadTimeout + time.Millisecond)
	c.runTimers()
	if len(results) != 1 || results[0] != jobUndetermined {
		t.Fatalf("results of the lookup that timed out: %v, want only jobUndetermined", results)
	}
	read := c.out[len(c.out)-1].(StateCall)
	resume(c.stateCalls, read.ID, StateReply{Status: 200, Item: wire.Item{Value: wire.Marshal(finalRecord{Tasks: 1})}})
	c.lookup("req-000001", func(k lookupResult) { results = append(results, k) })
	if results[len(results)-1] != jobFinal {
		t.Fatal("the result of the read made after its user had timed out is not used for later lookups")
	}
}

// While the state service is unreachable, requests are refused without waiting. The first successful
// read ends this.
func TestUnreachableStateServiceRefusesAtOnce(t *testing.T) {
	c, _, _ := newLeadingCore(t)
	c.lead, c.watchCache.loaded = nil, true
	c.sync(func(bool) {})
	first := c.out[len(c.out)-1].(StateCall)
	resume(c.stateCalls, first.ID, StateReply{})
	refused := false
	c.sync(func(ok bool) { refused = !ok })
	if !refused {
		t.Fatal("request waits for an unreachable state service")
	}
	c.now = c.now.Add(retryPause)
	c.runTimers()
	again := c.out[len(c.out)-1].(StateCall)
	resume(c.stateCalls, again.ID, StateReply{Status: 200})
	if c.watchCache.unreachable {
		t.Fatal("requests are still refused after a successful read")
	}
}

// The answer to a heartbeat that an earlier process relayed must not be delivered to a different
// worker. Processes therefore start from different random IDs.
func TestProcessesStartFromDifferentIDs(t *testing.T) {
	ids := map[uint64]bool{}
	for seed := range uint64(20) {
		c, _, _ := newLeadingCore(t)
		c = New(c.cfg, c.op, rand.New(rand.NewPCG(seed, 1)), c.now)
		ids[c.id()] = true
	}
	if len(ids) < 20 {
		t.Fatal("processes start from the same ID")
	}
}
