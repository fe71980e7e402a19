package history

import (
	"slices"
	"testing"
	"time"
)

// sound is a history that breaks nothing: a task moves, and an answer that was asked for before
// the final one comes after it.
func sound() []Event {
	return []Event{
		{Kind: Started, At: 1, Task: "j/0", Attempt: 1, Machine: "m1"},
		{Kind: Started, At: 2, Task: "j/1", Attempt: 1, Machine: "m1"},
		{Kind: Ended, At: 3, Task: "j/0", Attempt: 1, Machine: "m1"},
		{Kind: Started, At: 4, Task: "j/0", Attempt: 2, Machine: "m2"},
		{Kind: Ended, At: 5, Task: "j/0", Attempt: 2, Machine: "m2"},
		{Kind: Answered, At: 6, Job: "j", Asked: 5, State: "done", Final: true},
		{Kind: Answered, At: 7, Job: "j", Asked: 4, State: "running"},
		{Kind: Answered, At: 9, Job: "j", Asked: 8, State: "done", Final: true},
	}
}

func TestCheckFindsWhatIsBroken(t *testing.T) {
	if found := Check(sound()); len(found) > 0 {
		t.Fatalf("%v in a sound history", found)
	}
	for name, c := range map[string]struct {
		breakIt func([]Event) []Event
		rule    string
	}{
		"an end goes missing":          {func(h []Event) []Event { return slices.Delete(h, 2, 3) }, RuleOneOwner},
		"the end of another attempt":   {func(h []Event) []Event { h[2].Attempt = 7; return h }, RuleOneOwner},
		"the end on another machine":   {func(h []Event) []Event { h[2].Machine = "m9"; return h }, RuleOneOwner},
		"a start comes too early":      {func(h []Event) []Event { h[2], h[3] = h[3], h[2]; return h }, RuleOneOwner},
		"another final answer":         {func(h []Event) []Event { h[7].State = "withdrawn"; return h }, RuleOneAnswer},
		"a final answer is taken back": {func(h []Event) []Event { h[7].State, h[7].Final = "running", false; return h }, RuleOneAnswer},
		"two final answers at once":    {func(h []Event) []Event { h[7].State, h[7].Asked = "withdrawn", time.Duration(4); return h }, RuleOneAnswer},
	} {
		found := Check(c.breakIt(sound()))
		if len(found) != 1 || found[0].Rule != c.rule {
			t.Errorf("%s: found %v, want %s", name, found, c.rule)
		}
	}
}
