// Package scheduler holds the pure decisions: which jobs come first, in which
// hashed part and on which machine a task goes, what is preempted, and which
// machines are rented or returned.
package scheduler

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"math"
	"slices"
)

// Resources are amounts of a machine.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

const epsilon = 1e-6

// Add returns r + n times o.
func (r Resources) Add(o Resources, n float64) Resources {
	return Resources{r.CPUs + n*o.CPUs, r.GPUs + n*o.GPUs, r.MemoryGB + n*o.MemoryGB}
}

// Fits counts how often demand d fits into r.
func (r Resources) Fits(d Resources) int {
	n := math.Inf(1)
	for _, p := range [...][2]float64{{r.CPUs, d.CPUs}, {r.GPUs, d.GPUs}, {r.MemoryGB, d.MemoryGB}} {
		if p[1] > 0 {
			n = math.Min(n, math.Floor((p[0]+epsilon)/p[1]))
		}
	}
	return int(math.Max(0, math.Min(n, 1<<20)))
}

// Machine is a machine as a round of placement sees it.
type Machine struct {
	ID, Type, Zone string
	Spot           bool
	Part           string
	Cap, Free      Resources
	Soon           Resources // becomes free when stopped tasks are gone
	Images         map[string]bool
	Penalty        int  // suspected faulty: taken last
	Virtual        bool // booting, or only thought of: counts for the fleet alone
	Tasks          []Victim
}

// Victim is a task that could be preempted.
type Victim struct {
	Job      string
	Task     int
	Team     string
	Rank     int  // index of its priority, 0 is the highest
	Borrowed bool // beyond its team's guarantee
	Demand   Resources
	LostS    float64 // work that stopping it loses
}

// Demand is what one job wants placed; its tasks are alike.
type Demand struct {
	Job, Class, Team string
	Tasks            []int // pending, in order
	Total            int
	Each             Resources
	Types            []string
	Zone             string
	OneZone, Spread  bool
	Spot             bool
	Image            string
	CachedOnly       bool // only where the image is
	Rank             int
	Service          bool
	Gang             bool           // all tasks at once or none
	Loose            bool           // emptiest machines first, to have images in many places
	Others           []Resources    // what tasks of other classes take
	Within           bool           // within its team's guarantee
	AgeS             float64        // since submission
	Late             int            // aims on finishing that it can't meet any more
	WorkS            float64        // what is left of it, in core seconds
	InZone           map[string]int // tasks in force by zone
	RoomInTeam       int            // tasks that the team's limit still allows
	Avoid            map[string]bool
}

// Allows tells whether the demand's fixed constraints accept a machine.
func (d *Demand) Allows(typ, zone string, spot bool) bool {
	return (len(d.Types) == 0 || slices.Contains(d.Types, typ)) && (d.Zone == "" || d.Zone == zone) && (d.Spot || !spot)
}

// takes tells whether the demand may go to a machine now.
func (d *Demand) takes(m *Machine) bool {
	return d.Allows(m.Type, m.Zone, m.Spot) && !d.Avoid[m.ID] && (!d.CachedOnly || m.Images[d.Image])
}

// zoneRoom is how many more tasks may go to a zone.
func (d *Demand) zoneRoom(zone string) int {
	if d.OneZone {
		for z, n := range d.InZone {
			if n > 0 && z != zone {
				return 0
			}
		}
	}
	if d.Spread {
		return (d.Total+1)/2 - d.InZone[zone]
	}
	return d.Total
}

// Assignment puts a task on a machine.
type Assignment struct {
	Task    int
	Machine *Machine
}

// Order sorts demands: services and prod first, then work within its team's
// guarantee, then by priority. When more is asked than can be done, the oldest
// first would make every job late: so those come first that can still meet their
// class's aims, and of them the least work.
func Order(ds []*Demand) {
	slices.SortStableFunc(ds, func(a, b *Demand) int {
		return cmp.Or(cmp.Compare(urgent(a), urgent(b)), cmp.Compare(flag(!a.Within), flag(!b.Within)),
			cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Late, b.Late), cmp.Compare(a.WorkS, b.WorkS), cmp.Compare(b.AgeS, a.AgeS), cmp.Compare(a.Job, b.Job))
	})
}

func urgent(d *Demand) int { return flag(d.Rank > 0 && !d.Service) }

func flag(b bool) int {
	if b {
		return 1
	}
	return 0
}

// PartOf hashes a machine to one of the live controllers (highest weight wins,
// so that a controller's end moves only its own machines).
func PartOf(machine string, live []string) string {
	best, most := "", uint64(0)
	for _, l := range live {
		sum := sha256.Sum256([]byte(l + "/" + machine)) // plainer hashes favour one name
		if w := binary.BigEndian.Uint64(sum[:]); best == "" || w > most {
			best, most = l, w
		}
	}
	return best
}

// Place decides on machines for the tasks of one job and takes their room. The
// job goes whole to the part with most room, rooms with its image first; what
// fits no part goes to the leader's lane, which spans all machines.
func Place(machines []*Machine, d *Demand) []Assignment {
	want := min(len(d.Tasks), d.RoomInTeam)
	if want <= 0 || d.Gang && want < len(d.Tasks) {
		return nil
	}
	var eligible []*Machine
	for _, m := range machines {
		if d.takes(m) && m.Free.Fits(d.Each) > 0 {
			eligible = append(eligible, m)
		}
	}
	if len(eligible) == 0 {
		return nil
	}
	if part := roomiest(eligible, d, want); part != nil {
		eligible = part
	}
	if d.OneZone {
		eligible = bestZone(eligible, d, want)
	}
	out := fill(eligible, d, want)
	if d.Gang && len(out) < want {
		for _, p := range out {
			p.Machine.Free = p.Machine.Free.Add(d.Each, 1)
			d.InZone[p.Machine.Zone]--
		}
		return nil
	}
	return out
}

// prefer orders machines for one task. Alike otherwise, the fullest comes first,
// so that empty ones can be returned; or, for a loose demand, the one where it
// costs other classes least room, and of those the emptiest.
func (d *Demand) prefer(a, b *Machine) int {
	c := cmp.Or(cmp.Compare(a.Penalty, b.Penalty), cmp.Compare(flag(!a.Images[d.Image]), flag(!b.Images[d.Image])),
		cmp.Compare(flag(d.Spot && !a.Spot), flag(d.Spot && !b.Spot)))
	if d.Loose {
		return cmp.Or(c, cmp.Compare(d.crowds(a), d.crowds(b)), cmp.Compare(b.Free.CPUs, a.Free.CPUs), cmp.Compare(a.ID, b.ID))
	}
	return cmp.Or(c, cmp.Compare(a.Free.CPUs, b.Free.CPUs), cmp.Compare(a.ID, b.ID))
}

// crowds counts the tasks of other classes that no longer fit on a machine once
// it has one more of this demand: two small services side by side leave room
// for one more large task than the same two on two machines.
func (d *Demand) crowds(m *Machine) int {
	n := 0
	if !m.Images[d.Image] {
		return 0 // the image had better come to many machines
	}
	after := m.Free.Add(d.Each, -1)
	for _, o := range d.Others {
		n += m.Free.Fits(o) - after.Fits(o)
	}
	return n
}

// fill takes room task by task, each time on the machine preferred then.
func fill(eligible []*Machine, d *Demand, want int) []Assignment {
	var out []Assignment
	for len(out) < want {
		var best *Machine
		for _, m := range eligible {
			if d.zoneRoom(m.Zone) > 0 && m.Free.Fits(d.Each) > 0 && (best == nil || d.prefer(m, best) < 0) {
				best = m
			}
		}
		if best == nil {
			break
		}
		best.Free = best.Free.Add(d.Each, -1)
		d.InZone[best.Zone]++
		out = append(out, Assignment{d.Tasks[len(out)], best})
	}
	return out
}

// slots counts how many tasks fit on machines, and how many of them where the
// image is cached.
func slots(machines []*Machine, d *Demand, want int) (cached, all int) {
	for _, m := range machines {
		n := m.Free.Fits(d.Each)
		all += n
		if m.Images[d.Image] && m.Penalty == 0 {
			cached += n
		}
	}
	return min(cached, want), all
}

// roomiest returns the machines of the part with most room, or nil where the
// job fits no single part.
func roomiest(eligible []*Machine, d *Demand, want int) []*Machine {
	parts := map[string][]*Machine{}
	for _, m := range eligible {
		parts[m.Part] = append(parts[m.Part], m)
	}
	var best []*Machine
	bestName, bestCached, bestAll := "", -1, -1
	for name, ms := range parts {
		cached, all := slots(ms, d, want)
		if all < want {
			continue
		}
		if cmp.Or(cmp.Compare(cached, bestCached), cmp.Compare(all, bestAll), cmp.Compare(bestName, name)) > 0 {
			best, bestName, bestCached, bestAll = ms, name, cached, all
		}
	}
	return best
}

func bestZone(eligible []*Machine, d *Demand, want int) []*Machine {
	zones := map[string][]*Machine{}
	for _, m := range eligible {
		if d.zoneRoom(m.Zone) > 0 {
			zones[m.Zone] = append(zones[m.Zone], m)
		}
	}
	var best []*Machine
	bestName, most := "", -1
	for name, ms := range zones {
		_, all := slots(ms, d, want)
		if all > most || all == most && name < bestName {
			best, bestName, most = ms, name, all
		}
	}
	return best
}

// Preempt picks tasks to stop so that one task of d fits on a machine: none where
// room is becoming free already, and not ok where no allowed choice makes room.
func Preempt(machines []*Machine, d *Demand) (victims []Victim, ok bool) {
	var best *Machine
	least := math.Inf(1)
	for _, m := range machines {
		if m.Virtual || !d.takes(m) || d.zoneRoom(m.Zone) <= 0 {
			continue
		}
		free := m.Free.Add(m.Soon, 1)
		if free.Fits(d.Each) > 0 { // room is on its way: keep it for this task
			m.Soon = m.Soon.Add(d.Each, -1)
			return nil, true
		}
		chosen, loss := choose(m, d, free)
		if chosen != nil && loss < least {
			best, victims, least = m, chosen, loss
		}
	}
	if best != nil {
		take(best, victims, d)
	}
	return victims, best != nil
}

func choose(m *Machine, d *Demand, free Resources) ([]Victim, float64) {
	vs := slices.Clone(m.Tasks)
	slices.SortFunc(vs, func(a, b Victim) int {
		return cmp.Or(cmp.Compare(b.Rank, a.Rank), cmp.Compare(a.LostS, b.LostS), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
	})
	var chosen []Victim
	loss := 0.0
	for _, v := range vs {
		if v.Rank <= d.Rank && !(d.Within && v.Borrowed && v.Team != d.Team) {
			continue
		}
		chosen = append(chosen, v)
		loss += v.LostS + 1
		if free = free.Add(v.Demand, 1); free.Fits(d.Each) > 0 {
			return chosen, loss
		}
	}
	return nil, 0
}

// take moves the victims' room to what is soon free, less what d will use.
func take(m *Machine, victims []Victim, d *Demand) {
	for _, v := range victims {
		m.Soon = m.Soon.Add(v.Demand, 1)
		m.Tasks = slices.DeleteFunc(m.Tasks, func(t Victim) bool { return t.Job == v.Job && t.Task == v.Task })
	}
	m.Soon = m.Soon.Add(d.Each, -1)
}
