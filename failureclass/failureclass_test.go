package failureclass

import (
	"testing"
	"time"
)

// A job is broken only after it has failed on three different machines without a success.
// Repeated failures on the same machine count once.
func TestBrokenAfterThreeMachines(t *testing.T) {
	var j History
	for i, machine := range []string{"i-1", "i-1", "i-2", "i-2"} {
		if j.RecordFailure(machine, time.Second) || j.Broken() {
			t.Fatalf("broken after failure %d on %v", i+1, j.Machines())
		}
	}
	if !j.RecordFailure("i-3", 2*time.Second) {
		t.Fatal("a failure on a third machine did not make the job broken")
	}
	if j.RecordFailure("i-4", time.Second) {
		t.Fatal("becameBroken was reported twice")
	}
	if !j.Broken() {
		t.Fatal("not broken after four machines")
	}
	if got := j.Machines(); len(got) != 4 || got[0] != "i-1" || got[3] != "i-4" {
		t.Fatalf("machines %v, want i-1 to i-4 in order", got)
	}
	if attempts, lost := j.FailureCost(); attempts != 6 || lost != 7*time.Second {
		t.Fatalf("lost %d attempts and %v, want 6 and 7s", attempts, lost)
	}
}

// One success shows that the job can run, so its failures were caused by the machines.
func TestSuccessClearsBroken(t *testing.T) {
	var j History
	for _, machine := range []string{"i-1", "i-2", "i-3"} {
		j.RecordFailure(machine, 0)
	}
	j.RecordSuccess()
	if !j.HasSucceeded() || j.Broken() {
		t.Fatal("broken, or not known to have succeeded, after a success")
	}
	if j.RecordFailure("i-4", 0) || j.Broken() {
		t.Fatal("broken again after a success")
	}
}

// The retry delay of a job that is not broken doubles from 500 ms up to 16 s; that of a broken job
// doubles further, up to 30 s.
func TestRetryDelay(t *testing.T) {
	var healthy History
	want := []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second,
		8 * time.Second, 16 * time.Second, 16 * time.Second, 16 * time.Second}
	for n, w := range want {
		if got := healthy.RetryDelay(n); got != w {
			t.Errorf("not broken, failure %d: %v, want %v", n, got, w)
		}
	}
	var broken History
	for _, machine := range []string{"i-1", "i-2", "i-3"} {
		broken.RecordFailure(machine, 0)
	}
	want = []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second,
		8 * time.Second, 16 * time.Second, 30 * time.Second, 30 * time.Second, 30 * time.Second}
	for n, w := range want {
		if got := broken.RetryDelay(n); got != w {
			t.Errorf("broken, failure %d: %v, want %v", n, got, w)
		}
	}
	if got := broken.RetryDelay(1000); got != MaxBrokenRetryDelay {
		t.Errorf("broken, failure 1000: %v, want %v", got, MaxBrokenRetryDelay)
	}
	if got := healthy.RetryDelay(-1); got != BaseRetryDelay {
		t.Errorf("failure -1: %v, want %v", got, BaseRetryDelay)
	}
}
