package controller

import (
	"testing"
	"time"

	"pumicefront/wire"
)

// Authority ends before the lease can: it counts from before the renewal was
// sent. Without it a report is sent on, not answered.
func TestAuthorityLapses(t *testing.T) {
	c, l, _ := leading(t)
	life := c.op.LeaderLifetime()
	if c.now = l.elected.Add(life - 200*time.Millisecond); !c.entitled() {
		t.Fatal("no authority within the lease")
	}
	c.now = l.elected.Add(life)
	c.out = nil
	c.answerHeartbeat(ReportRequest{Req: 1, Report: wire.Report{Machine: "i-1"}})
	if a, ok := c.out[0].(Answer); !ok || a.Status != 421 {
		t.Fatalf("answered %+v without authority", c.out)
	}
}

// A promise binds for its life, and a process that may have promised before it
// started waits that long before it claims.
func TestPromisesBind(t *testing.T) {
	c, _, _ := leading(t)
	c.lead = nil
	c.control.token = 7
	if !c.promiseBinds() {
		t.Fatal("a fresh process claims at once")
	}
	c.now = c.now.Add(bindFor + time.Millisecond)
	if c.promiseBinds() {
		t.Fatal("bound for ever")
	}
	c.promises.bound = c.now.Add(time.Second)
	if !c.promiseBinds() {
		t.Fatal("a promise does not bind")
	}
}
