package controller

import (
	"math/rand/v2"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"pumicefront/wire"
)

// Where there are more questions than reads, nobody is refused for ever: reads go
// first come first served, also for those who have stopped waiting.
func TestFinalReadsAreFair(t *testing.T) {
	c, _, _ := leading(t)
	c.lead, c.control.loaded = nil, true
	c.reads = rate.NewLimiter(1, 1)
	c.reads.AllowN(c.now, 1)
	told := []known{}
	c.lookupFinal("req-000001", func(k known) { told = append(told, k) })
	c.now = c.now.Add(finalReadTimeout + time.Millisecond)
	c.runTimers()
	if len(told) != 1 || told[0] != knownUnsure {
		t.Fatalf("told %v", told)
	}
	read := c.out[len(c.out)-1].(StateCall)
	resume(c.stateCalls, read.ID, StateReply{Status: 200, Item: wire.Item{Value: wire.Marshal(finalRecord{Tasks: 1})}})
	c.lookup("req-000001", func(k known) { told = append(told, k) })
	if told[len(told)-1] != knownFinal {
		t.Fatal("the read made for a user who had left serves nobody")
	}
}

// While the state service is not reached, requests are refused without waiting,
// and the first success ends that.
func TestUnreachedStateRefusesAtOnce(t *testing.T) {
	c, _, _ := leading(t)
	c.lead, c.control.loaded = nil, true
	c.sync(func(bool) {})
	first := c.out[len(c.out)-1].(StateCall)
	resume(c.stateCalls, first.ID, StateReply{})
	refused := false
	c.sync(func(ok bool) { refused = !ok })
	if !refused {
		t.Fatal("waits for a service that is not reached")
	}
	c.now = c.now.Add(retryPause)
	c.runTimers()
	again := c.out[len(c.out)-1].(StateCall)
	resume(c.stateCalls, again.ID, StateReply{Status: 200})
	if c.control.unreachable {
		t.Fatal("refuses for ever")
	}
}

// The answer to a report that an earlier process handed on must not reach another
// worker.
func TestRelayAnswerToAnEarlierProcess(t *testing.T) {
	ids := map[uint64]bool{}
	for seed := range uint64(20) {
		c, _, _ := leading(t)
		c = New(c.cfg, c.op, rand.New(rand.NewPCG(seed, 1)), c.now)
		ids[c.id()] = true
	}
	if len(ids) < 20 {
		t.Fatal("processes count from the same number")
	}
}
