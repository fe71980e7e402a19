package balance

import (
	"reflect"
	"testing"
)

// Teams are ordered by the largest part on a single machine. Images are listed only if tasks use them and all
// machines that have them are hot.
func TestSurvey(t *testing.T) {
	s := NewSurvey()
	for machine, hot := range map[string]bool{"a": true, "b": true, "c": false} {
		s.AddImage("everywhere", hot)
		if hot {
			s.AddImage("hot", hot)
			s.AddImage("unused", hot)
		}
		for range map[string]int{"a": 6, "b": 2, "c": 0}[machine] {
			s.AddTask(machine, hot, "concentrated", "hot", 2)
		}
		s.AddTask(machine, hot, "even", "everywhere", 4)
	}
	teams := []TeamStatus{{Team: "concentrated", Size: 16, Machines: 2, OnOne: 0.75, OnHot: 1, Hot: true}, {Team: "even", Size: 12, Machines: 3, OnOne: 1.0 / 3, OnHot: 2.0 / 3}}
	if got := s.Teams(); !reflect.DeepEqual(got, teams) {
		t.Errorf("%+v", got)
	}
	images := []ImageStatus{{Image: "hot", Machines: 2, OnHot: 2, Tasks: 8, Hot: true}}
	if got := s.HotImages(); !reflect.DeepEqual(got, images) {
		t.Errorf("%+v", got)
	}
}
