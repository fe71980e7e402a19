package controller

import (
	"testing"
	"time"

	"pumicefront/wire"
)

// Authority counts from the time at which the grant or renewal was sent, so it ends before the
// lease can expire.
// Without authority, the leader redirects a heartbeat (421) instead of answering it.
func TestAuthorityLapses(t *testing.T) {
	c, l, _ := newLeadingCore(t)
	ttl := c.op.LeaderLeaseTTL()
	if c.now = l.elected.Add(ttl - 200*time.Millisecond); !c.hasAuthority() {
		t.Fatal("no authority during the lease")
	}
	c.now = l.elected.Add(ttl)
	c.out = nil
	c.answerHeartbeat(ReportRequest{Req: 1, Report: wire.Report{Machine: "i-1"}})
	if a, ok := c.out[0].(Answer); !ok || a.Status != 421 {
		t.Fatalf("answered %+v without authority", c.out)
	}
}

// A controller that granted a peer lease makes no claim until that lease has expired. A process
// that has just started waits as long, because its predecessor may have granted one.
func TestPeerLeaseForbidsClaims(t *testing.T) {
	c, _, _ := newLeadingCore(t)
	c.lead = nil
	c.watchCache.token = 7
	if !c.mustHoldOff() {
		t.Fatal("a newly started process may claim at once")
	}
	c.now = c.now.Add(peerLeaseHoldOff + time.Millisecond)
	if c.mustHoldOff() {
		t.Fatal("a newly started process may not claim after a peer lease's duration")
	}
	c.peerLease.noClaimBefore = c.now.Add(time.Second)
	if !c.mustHoldOff() {
		t.Fatal("claims are allowed during a granted peer lease")
	}
}
