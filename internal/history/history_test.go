package history

import (
	"slices"
	"testing"
	"time"
)

// validHistory returns a history without violations: a task moves to another machine, and the answer to an
// earlier request arrives after the final answer.
func validHistory() []Event {
	return []Event{
		{Kind: Started, At: 1, Task: "j/0", Attempt: 1, Machine: "m1"},
		{Kind: Started, At: 2, Task: "j/1", Attempt: 1, Machine: "m1"},
		{Kind: Ended, At: 3, Task: "j/0", Attempt: 1, Machine: "m1"},
		{Kind: Started, At: 4, Task: "j/0", Attempt: 2, Machine: "m2"},
		{Kind: Ended, At: 5, Task: "j/0", Attempt: 2, Machine: "m2"},
		{Kind: Answered, At: 6, Job: "j", RequestedAt: 5, State: "done", Final: true},
		{Kind: Answered, At: 7, Job: "j", RequestedAt: 4, State: "running"},
		{Kind: Answered, At: 9, Job: "j", RequestedAt: 8, State: "done", Final: true},
	}
}

func TestCheckDetectsViolations(t *testing.T) {
	if found := Check(validHistory()); len(found) > 0 {
		t.Fatalf("violations in a valid history: %v", found)
	}
	for name, c := range map[string]struct {
		corrupt func([]Event) []Event
		rule    string
	}{
		"missing end":                        {func(h []Event) []Event { return slices.Delete(h, 2, 3) }, RuleOneOwner},
		"end of another attempt":             {func(h []Event) []Event { h[2].Attempt = 7; return h }, RuleOneOwner},
		"end on another machine":             {func(h []Event) []Event { h[2].Machine = "m9"; return h }, RuleOneOwner},
		"start before the end":               {func(h []Event) []Event { h[2], h[3] = h[3], h[2]; return h }, RuleOneOwner},
		"different final answer":             {func(h []Event) []Event { h[7].State = "withdrawn"; return h }, RuleOneAnswer},
		"final answer revoked":               {func(h []Event) []Event { h[7].State, h[7].Final = "running", false; return h }, RuleOneAnswer},
		"concurrent different final answers": {func(h []Event) []Event { h[7].State, h[7].RequestedAt = "withdrawn", time.Duration(4); return h }, RuleOneAnswer},
	} {
		found := Check(c.corrupt(validHistory()))
		if len(found) != 1 || found[0].Rule != c.rule {
			t.Errorf("%s: found %v, want %s", name, found, c.rule)
		}
	}
}
