package spreadview

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"pumicefront/balance"
)

// The text of a status that was encoded as JSON and decoded again contains the hot machines, the reasons why
// their tasks are not moved, the moves, and the reason why no further moves start.
func TestRender(t *testing.T) {
	s := balance.Status{Member: "n1", Leading: true, HotShare: 0.8, Block: balance.WorkPending, Others: 5,
		Distribution: balance.Distribution{Machines: 42, Mean: 0.7, Variation: 0.31, Maximum: 1.43},
		Machines: []balance.MachineStatus{{ID: "i-1", Zone: "a", Share: 1, Hot: true, Tasks: 8, Movable: 2,
			Staying: []balance.ReasonCount{{Reason: balance.Gang, Tasks: 4}, {Reason: balance.RecentlyStarted, Tasks: 2}}}},
		Teams:  []balance.TeamStatus{{Team: "red", Size: 96, Machines: 9, OnOne: 0.25, OnHot: 0.5}},
		Images: []balance.ImageStatus{{Image: "img-2", Machines: 3, OnHot: 3, Tasks: 11, Hot: true}},
		Moves:  []balance.MoveStatus{{Job: "req-9", Task: 3, From: "i-1", To: "i-2", Phase: balance.Waiting, Reserved: true, ForS: 2}},
		Counts: balance.Counts{Started: 7, Outcomes: map[balance.Outcome]int{balance.Moved: 5, balance.Diverted: 1}},
	}
	for i := range maxListedMachines + 10 {
		s.Machines = append(s.Machines, balance.MachineStatus{ID: fmt.Sprintf("cool-%d", i), Share: 0.5, Tasks: 4})
	}
	raw, err := json.Marshal(s)
	var decoded balance.Status
	if err != nil || json.Unmarshal(raw, &decoded) != nil {
		t.Fatal(err)
	}
	shown := Render(decoded)
	for _, want := range []string{"leader n1, 42 machines: mean share 0.70, variation 0.31, maximum 1.43", "no moves are begun: work waits", "7 begun diverted 1 moved 5",
		"i-1      a     1.00   yes  8      2        4 one of a gang; 2 has run for too short a time", "and 16 more", "red 96 9 25% 50% -", "img-2 3 11", "req-9/3  i-1   i-2    waiting  yes"} {
		if !strings.Contains(strings.Join(strings.Fields(shown), " "), strings.Join(strings.Fields(want), " ")) {
			t.Errorf("no %q in\n%s", want, shown)
		}
	}
	if shown := Render(balance.Status{Member: "n0", Leader: "n1"}); !strings.Contains(shown, `n0 does not lead; its leader is "n1"`) {
		t.Error(shown)
	}
}
