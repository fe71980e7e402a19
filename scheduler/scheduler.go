// Package scheduler holds the pure decisions: which jobs come first, in which
// hashed part and on which machine a task goes, what is preempted, and which
// machines are rented or returned.
package scheduler

import (
	"cmp"
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"
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

// Measure tells the size of what differs in kind: the dominant share, in cores. It is
// how many cores come with one GPU; 0 where there are no GPUs, and cores alone count.
type Measure float64

// Of returns the size of r.
func (m Measure) Of(r Resources) float64 { return math.Max(r.CPUs, r.GPUs*float64(m)) }

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

// Terms are what a job's tasks have in common when something must give way.
type Terms struct {
	Job, Team   string
	Rank        int  // index of its priority, 0 is the highest
	Borrowed    bool // beyond its team's guarantee
	Each        Resources
	CheckpointS float64
}

// Victim is a task that could be preempted.
type Victim struct {
	*Terms
	Task        int
	Since       time.Time // running since; zero: not running
	PlacedByAge bool      // came after waiting its turn: gives way to higher priority alone
}

// lost is the work, in seconds, that stopping the task now loses.
func (v *Victim) lost(now time.Time) float64 {
	if v.Since.IsZero() {
		return 0
	}
	s := now.Sub(v.Since).Seconds()
	if v.CheckpointS > 0 {
		s = math.Min(s, v.CheckpointS)
	}
	return s
}

// Demand is what one job wants placed; its tasks are alike.
type Demand struct {
	Job, Class, Team string
	Tasks            []int // pending, in order
	Total            int
	Each             Resources
	Measure          Measure
	Types            []string
	Zone             string
	OneZone, Spread  bool
	Spot             bool
	Image            string
	CachedOnly       bool // only where the image is
	Rank             int
	Service          bool
	Gang             bool           // all tasks at once or none
	WaitForBooting   bool           // too late for its aim on starting: what suits others counts before speed
	SpreadImages     bool           // emptiest machines first, to have images in many places
	OtherClasses     []Resources    // what tasks of other classes take
	WithinGuarantee  bool           // within its team's guarantee
	AgeS             float64        // since submission
	Begun            bool           // a task has run
	Aged             bool           // for so long that waiting wins, see OrderWithAging
	Late             int            // aims on finishing that it can't meet any more
	WorkS            float64        // what is left of it: sizes of tasks times seconds
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
// class's aims, and of them the least work. What has waited its turn comes before
// the others, the oldest first.
func Order(ds []*Demand) {
	slices.SortStableFunc(ds, func(a, b *Demand) int {
		return cmp.Or(cmp.Compare(urgent(a), urgent(b)), cmp.Compare(b.agedBy(), a.agedBy()), cmp.Compare(flag(!a.WithinGuarantee), flag(!b.WithinGuarantee)),
			cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Late, b.Late), cmp.Compare(a.WorkS, b.WorkS), cmp.Compare(b.AgeS, a.AgeS), cmp.Compare(a.Job, b.Job))
	})
}

// agedBy is the age of a demand that has waited its turn.
func (d *Demand) agedBy() float64 {
	if d.Aged {
		return d.AgeS
	}
	return 0
}

// OrderWithAging orders demands so that nobody is starved: least work first would put off
// the largest jobs for as long as smaller ones come. What has waited for too long
// comes first, but takes no more than the reserve, a size, that is left for
// such work, or one task to begin with; the rest of it keeps its place.
func OrderWithAging(ds []*Demand, reserve float64) []*Demand {
	var out []*Demand
	slices.SortStableFunc(ds, func(a, b *Demand) int { return cmp.Compare(b.agedBy(), a.agedBy()) })
	for _, d := range ds {
		n, size := len(d.Tasks), d.Measure.Of(d.Each)
		if d.Aged && urgent(d) > 0 && !d.Gang && size > 0 {
			n = min(n, max(int(reserve/size), 1-flag(d.Begun)))
			reserve -= float64(n) * size
		}
		if n < len(d.Tasks) {
			rest := *d
			rest.Tasks, rest.Aged = d.Tasks[n:], false
			out = append(out, &rest)
			d.Tasks = d.Tasks[:n]
		}
		if n > 0 {
			out = append(out, d)
		}
	}
	Order(out)
	return out
}

// ReserveFor keeps machines free of other work until a demand that can't start
// piecemeal, all tasks of a gang or one task that needs most of a machine, fits:
// smaller work would take every core as it comes free.
func ReserveFor(machines []*Machine, d *Demand) {
	want := 1
	if d.Gang {
		want = len(d.Tasks)
	}
	var fit []*Machine
	for _, m := range machines {
		if !m.Virtual && d.takes(m) && m.Cap.Fits(d.Each) > 0 && d.zoneRoom(m.Zone) > 0 {
			fit = append(fit, m)
		}
	}
	// The freest first: what is held only becomes freer, so the choice stays.
	slices.SortStableFunc(fit, func(a, b *Machine) int {
		return cmp.Or(cmp.Compare(d.Measure.Of(b.Free), d.Measure.Of(a.Free)), cmp.Compare(a.ID, b.ID))
	})
	zone := ""
	for _, m := range fit {
		if want <= 0 {
			break
		}
		if d.OneZone && zone != "" && m.Zone != zone {
			continue
		}
		zone = m.Zone
		want -= m.Cap.Fits(d.Each)
		m.Free = Resources{}
	}
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

// candidate is a machine that a demand may take, with what decides how well it
// would do.
type candidate struct {
	*Machine
	uncached, ordinary, displaced int
}

func (d *Demand) candidate(m *Machine) candidate {
	return candidate{m, flag(!m.Images[d.Image]), flag(d.Spot && !m.Spot), d.displaced(m)}
}

// prefer orders machines for one task. Alike otherwise, the one comes first where
// it costs other classes least room; of those the fullest, so that empty ones can
// be returned, or for a loose demand the emptiest.
func (d *Demand) prefer(a, b candidate) int {
	c := cmp.Compare(a.Penalty, b.Penalty)
	if d.WaitForBooting {
		c = cmp.Or(c, cmp.Compare(a.displaced, b.displaced))
	}
	c = cmp.Or(c, cmp.Compare(a.uncached, b.uncached), cmp.Compare(a.ordinary, b.ordinary),
		cmp.Compare(a.displaced, b.displaced))
	fuller := cmp.Compare(d.Measure.Of(a.Free), d.Measure.Of(b.Free))
	if d.SpreadImages {
		fuller = -fuller
	}
	return cmp.Or(c, fuller, cmp.Compare(a.ID, b.ID))
}

// displaced counts the tasks of other classes that no longer fit on a machine once
// it has one more of this demand: two small services side by side leave room
// for one more large task than the same two on two machines. Where the image is
// missing it had better come to many machines, of a type that others can't use.
func (d *Demand) displaced(m *Machine) int {
	n := 0
	if d.WaitForBooting || d.SpreadImages && !m.Images[d.Image] {
		return flag(d.suitsOthers(m.Cap))
	}
	after := m.Free.Add(d.Each, -1)
	for _, o := range d.OtherClasses {
		n += m.Free.Fits(o) - after.Fits(o)
	}
	return n
}

// suitsOthers tells whether a machine of that size takes tasks of other classes.
func (d *Demand) suitsOthers(size Resources) bool {
	return slices.ContainsFunc(d.OtherClasses, func(o Resources) bool { return size.Fits(o) > 0 })
}

// ranking is a heap of candidates, the preferred one on top.
type ranking struct {
	d  *Demand
	cs []candidate
}

func (r *ranking) Len() int           { return len(r.cs) }
func (r *ranking) Less(i, j int) bool { return r.d.prefer(r.cs[i], r.cs[j]) < 0 }
func (r *ranking) Swap(i, j int)      { r.cs[i], r.cs[j] = r.cs[j], r.cs[i] }
func (r *ranking) Push(x any)         { r.cs = append(r.cs, x.(candidate)) }
func (r *ranking) Pop() any {
	last := len(r.cs) - 1
	c := r.cs[last]
	r.cs = r.cs[:last]
	return c
}

// fill takes room task by task, each time on the machine preferred then. Taking
// room changes the place of that machine alone.
func fill(eligible []*Machine, d *Demand, want int) []Assignment {
	r := &ranking{d: d, cs: make([]candidate, 0, len(eligible))}
	for _, m := range eligible {
		r.cs = append(r.cs, d.candidate(m))
	}
	heap.Init(r)
	var out []Assignment
	for len(out) < want && len(r.cs) > 0 {
		m := r.cs[0].Machine
		if d.zoneRoom(m.Zone) <= 0 || m.Free.Fits(d.Each) == 0 {
			heap.Pop(r)
			continue
		}
		m.Free = m.Free.Add(d.Each, -1)
		d.InZone[m.Zone]++
		out = append(out, Assignment{d.Tasks[len(out)], m})
		r.cs[0] = d.candidate(m)
		heap.Fix(r, 0)
	}
	return out
}

// room is how many tasks fit on some machines.
type room struct {
	apart  int // where no other class could use the room, and the image is or need not be
	cached int // where the image is
	all    int
}

func (d *Demand) room(machines []*Machine, want int) room {
	var r room
	for _, m := range machines {
		n := m.Free.Fits(d.Each)
		r.all += n
		if m.Penalty > 0 {
			continue
		}
		if m.Images[d.Image] {
			r.cached += n
		}
		if len(d.OtherClasses) > 0 && (d.WaitForBooting || m.Images[d.Image]) && !d.suitsOthers(m.Cap) {
			r.apart += n
		}
	}
	r.apart, r.cached = min(r.apart, want), min(r.cached, want)
	return r
}

// roomiest returns the machines of the part with most room, or nil where the
// job fits no single part.
func roomiest(eligible []*Machine, d *Demand, want int) []*Machine {
	parts := map[string][]*Machine{}
	for _, m := range eligible {
		parts[m.Part] = append(parts[m.Part], m)
	}
	var best []*Machine
	bestName, most := "", room{-1, -1, -1}
	for name, ms := range parts {
		r := d.room(ms, want)
		if r.all < want {
			continue
		}
		if cmp.Or(cmp.Compare(r.apart, most.apart), cmp.Compare(r.cached, most.cached), cmp.Compare(r.all, most.all),
			cmp.Compare(bestName, name)) > 0 {
			best, bestName, most = ms, name, r
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
		all := d.room(ms, want).all
		if all > most || all == most && name < bestName {
			best, bestName, most = ms, name, all
		}
	}
	return best
}

// preemption is what a machine would lose by taking one more task.
type preemption struct {
	m    *Machine
	loss float64
}

// Excess is what each team's running tasks use beyond its guarantee: no more than that
// may be stopped to give others theirs.
type Excess map[string]Resources

// covers tells whether a team would still have its guarantee, in each resource that
// the task takes, once it is stopped and the chosen ones with it.
func (e Excess) covers(chosen []Victim, t *Terms) bool {
	left := e[t.Team]
	left.MemoryGB = math.Inf(1) // nobody is guaranteed memory
	for _, v := range chosen {
		if v.Team == t.Team {
			left = left.Add(v.Each, -1)
		}
	}
	return left.Fits(t.Each) > 0
}

// Use counts a running task.
func (e Excess) Use(t *Terms) { e[t.Team] = e[t.Team].Add(t.Each, 1) }

// spend takes a stopped task off.
func (e Excess) spend(t *Terms) { e[t.Team] = e[t.Team].Add(t.Each, -1) }

// Preempt picks tasks to stop so that up to missing tasks of d fit, and counts
// those that get room: by it, or because it is becoming free already. What it stops
// is taken off the excess.
func Preempt(machines []*Machine, d *Demand, missing int, excess Excess, now time.Time) (victims []Victim, room int) {
	var yields []preemption
	consider := func(m *Machine) {
		if vs, loss := choose(m, d, m.Free.Add(m.Soon, 1), excess, now); vs != nil {
			yields = append(yields, preemption{m, loss})
		}
	}
	inZone := maps.Clone(d.InZone)
	defer func() { d.InZone = inZone }() // none of these is placed yet
	for _, m := range machines {
		if m.Virtual || !d.takes(m) {
			continue
		}
		// Room that is on its way is kept for these tasks.
		for room < missing && d.zoneRoom(m.Zone) > 0 && m.Free.Add(m.Soon, 1).Fits(d.Each) > 0 {
			m.Soon = m.Soon.Add(d.Each, -1)
			d.InZone[m.Zone]++
			room++
		}
		consider(m)
	}
	for room < missing {
		best := -1
		for i, y := range yields {
			if d.zoneRoom(y.m.Zone) > 0 && (best < 0 || y.loss < yields[best].loss) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		y := yields[best]
		yields = slices.Delete(yields, best, best+1)
		// What was stopped elsewhere since may have used up a team's excess.
		vs, loss := choose(y.m, d, y.m.Free.Add(y.m.Soon, 1), excess, now)
		if loss > y.loss {
			yields = append(yields, preemption{y.m, loss})
		}
		if vs == nil || loss > y.loss {
			continue
		}
		take(y.m, vs, d)
		for _, v := range vs {
			excess.spend(v.Terms)
		}
		d.InZone[y.m.Zone]++
		victims = append(victims, vs...)
		room++
		consider(y.m)
	}
	return victims, room
}

// choose picks what a machine stops first: of those that d may stop, the lowest
// priority, then the least work lost.
func choose(m *Machine, d *Demand, free Resources, excess Excess, now time.Time) ([]Victim, float64) {
	var vs []Victim
	for _, v := range m.Tasks {
		if v.Rank > d.Rank || d.WithinGuarantee && v.Borrowed && !v.PlacedByAge && v.Team != d.Team {
			vs = append(vs, v)
		}
	}
	slices.SortFunc(vs, func(a, b Victim) int {
		return cmp.Or(cmp.Compare(b.Rank, a.Rank), cmp.Compare(a.lost(now), b.lost(now)), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
	})
	var chosen []Victim
	loss := 0.0
	for _, v := range vs {
		if v.Rank <= d.Rank && !excess.covers(chosen, v.Terms) {
			continue
		}
		chosen = append(chosen, v)
		loss += v.lost(now) + 1
		if free = free.Add(v.Each, 1); free.Fits(d.Each) > 0 {
			return chosen, loss
		}
	}
	return nil, 0
}

// take moves the victims' room to what is soon free, less what d will use.
func take(m *Machine, victims []Victim, d *Demand) {
	left := make([]Victim, 0, len(m.Tasks))
	for _, t := range m.Tasks {
		if !slices.Contains(victims, t) {
			left = append(left, t)
		}
	}
	m.Tasks = left // a new list: the old one is the leader's
	for _, v := range victims {
		m.Soon = m.Soon.Add(v.Each, 1)
	}
	m.Soon = m.Soon.Add(d.Each, -1)
}
