package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// TeamStatus is how a team's load lies on the machines.
type TeamStatus struct {
	Team     string  `json:"team"`     // the team's name
	Size     float64 `json:"size"`     // in cores, as scheduler.Measure has it
	Machines int     `json:"machines"` // machines that its tasks run on
	OnOne    float64 `json:"on_one"`   // the largest part of it on one machine, 0 to 1
	OnHot    float64 `json:"on_hot"`   // the part of it on hot machines
	Hot      bool    `json:"hot"`      // all machines that it runs on are hot
}

// ImageStatus is where an image is.
type ImageStatus struct {
	Image    string `json:"image"`    // the image's name
	Machines int    `json:"machines"` // machines that have it
	OnHot    int    `json:"on_hot"`   // of those, the hot ones
	Tasks    int    `json:"tasks"`    // tasks that use it
	Hot      bool   `json:"hot"`      // all machines that have it are hot: its services can't move
}

// Survey gathers how teams and images lie on the machines.
type Survey struct {
	teams  map[string]*teamSurvey
	images map[string]*ImageStatus
}

// teamSurvey is what is gathered of a team, by machine.
type teamSurvey struct {
	size, hot float64
	onMachine map[string]float64
	allHot    bool
}

// NewSurvey returns an empty survey.
func NewSurvey() *Survey {
	return &Survey{teams: map[string]*teamSurvey{}, images: map[string]*ImageStatus{}}
}

// AddImage counts an image that a machine has.
func (s *Survey) AddImage(image string, hot bool) {
	i := s.image(image)
	i.Machines++
	if hot {
		i.OnHot++
	}
}

// AddTask counts a task of a size on a machine.
func (s *Survey) AddTask(machine string, hot bool, team, image string, size float64) {
	s.image(image).Tasks++
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

func (s *Survey) image(name string) *ImageStatus {
	i := s.images[name]
	if i == nil {
		i = &ImageStatus{Image: name}
		s.images[name] = i
	}
	return i
}

// Teams lists the teams, those first of which the largest part is on one machine.
func (s *Survey) Teams() []TeamStatus {
	var all []TeamStatus
	for name, t := range s.teams {
		most := 0.0
		for _, size := range t.onMachine {
			most = math.Max(most, size)
		}
		status := TeamStatus{Team: name, Size: t.size, Machines: len(t.onMachine), Hot: t.allHot}
		if t.size > 0 {
			status.OnOne, status.OnHot = most/t.size, t.hot/t.size
		}
		all = append(all, status)
	}
	slices.SortFunc(all, func(a, b TeamStatus) int { return cmp.Or(cmp.Compare(b.OnOne, a.OnOne), cmp.Compare(a.Team, b.Team)) })
	return all
}

// HotImages lists the images of tasks that only hot machines have, those of most tasks first.
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
