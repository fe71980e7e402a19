package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// TeamStatus is the distribution of a team's load over the machines.
type TeamStatus struct {
	Team     string  `json:"team"`     // the team's name
	Size     float64 `json:"size"`     // size of its running tasks in cores, as scheduler.Measure computes it
	Machines int     `json:"machines"` // number of machines that run its tasks
	OnOne    float64 `json:"on_one"`   // largest part of its size on a single machine, 0 to 1
	OnHot    float64 `json:"on_hot"`   // part of its size on hot machines, 0 to 1
	Hot      bool    `json:"hot"`      // all machines that run its tasks are hot
}

// ImageStatus counts the machines that have an image.
type ImageStatus struct {
	Image    string `json:"image"`    // the image's name
	Machines int    `json:"machines"` // number of machines that have it
	OnHot    int    `json:"on_hot"`   // number of those that are hot
	Tasks    int    `json:"tasks"`    // number of tasks that use it
	Hot      bool   `json:"hot"`      // all machines that have it are hot, so services that use it can't move to a machine that is not
}

// Survey collects the distribution of teams and images over the machines.
type Survey struct {
	teams  map[string]*teamSurvey
	images map[string]*ImageStatus
}

// teamSurvey is the size of a team's tasks in all, on hot machines and by machine.
type teamSurvey struct {
	size, hot float64
	onMachine map[string]float64
	allHot    bool
}

// NewSurvey returns an empty survey.
func NewSurvey() *Survey {
	return &Survey{teams: map[string]*teamSurvey{}, images: map[string]*ImageStatus{}}
}

// AddImage counts a machine that has an image.
func (s *Survey) AddImage(image string, hot bool) {
	i := s.imageStatus(image)
	i.Machines++
	if hot {
		i.OnHot++
	}
}

// AddTask counts a task on a machine.
func (s *Survey) AddTask(machine string, hot bool, team, image string, size float64) {
	s.imageStatus(image).Tasks++
	t := s.teams[team]
	if t == nil {
		t = &teamSurvey{onMachine: map[string]float64{}, allHot: true}
		s.teams[team] = t
	}
	t.size += size
	t.onMachine[machine] += size
	t.allHot = t.allHot && hot
	if hot {
		t.hot += size
	}
}

// imageStatus returns the status of an image and creates it if it does not exist.
func (s *Survey) imageStatus(name string) *ImageStatus {
	i := s.images[name]
	if i == nil {
		i = &ImageStatus{Image: name}
		s.images[name] = i
	}
	return i
}

// Teams returns the teams, the ones most concentrated on a single machine first.
func (s *Survey) Teams() []TeamStatus {
	var all []TeamStatus
	for name, t := range s.teams {
		largest := 0.0
		for _, size := range t.onMachine {
			largest = math.Max(largest, size)
		}
		status := TeamStatus{Team: name, Size: t.size, Machines: len(t.onMachine), Hot: t.allHot}
		if t.size > 0 {
			status.OnOne, status.OnHot = largest/t.size, t.hot/t.size
		}
		all = append(all, status)
	}
	slices.SortFunc(all, func(a, b TeamStatus) int { return cmp.Or(cmp.Compare(b.OnOne, a.OnOne), cmp.Compare(a.Team, b.Team)) })
	return all
}

// HotImages returns the images that tasks use and that only hot machines have, those with the most tasks first.
func (s *Survey) HotImages() []ImageStatus {
	var hot []ImageStatus
	for _, name := range slices.Sorted(maps.Keys(s.images)) {
		i := *s.images[name]
		i.Hot = i.Machines > 0 && i.OnHot == i.Machines
		if i.Hot && i.Tasks > 0 {
			hot = append(hot, i)
		}
	}
	slices.SortStableFunc(hot, func(a, b ImageStatus) int { return cmp.Compare(b.Tasks, a.Tasks) })
	return hot
}
