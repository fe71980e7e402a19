package scheduler

import (
	"cmp"
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// Machine is a machine as a round of placement sees it.
type Machine struct {
	ID, Type, Zone string
	Spot           bool
	Part           string
	Cap, Free      Resources
	Soon           Resources // becomes free when stopped tasks are gone
	Images         map[string]bool
	Fetching       map[string]bool // images that are being fetched; counted where load is balanced alone
	Penalty        int             // suspected faulty: taken last
	Virtual        bool            // booting, or only thought of: counts for the fleet alone
	Tasks          []Victim
}

// Assignment puts a task on a machine.
type Assignment struct {
	Task    int
	Machine *Machine
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
			d.countStarts(p.Machine, -1)
		}
		return nil
	}
	return out
}

// candidate is a machine that a demand may take, with what decides how well it
// would do; unwanted is spot or not, whichever the demand had better leave to others.
type candidate struct {
	*Machine
	uncached, unwanted, displaced int
	even                          evenness
}

func (d *Demand) candidate(m *Machine) candidate {
	return candidate{m, flag(!d.hasImage(m)), flag(d.Spot && m.Spot == d.KeepOffSpot), d.displaced(m), d.evenness(m)}
}

// prefer orders machines for one task. Alike otherwise, the one comes first where
// it costs other classes least room; of those the fullest, so that empty ones can
// be returned, or for a demand that spreads images the emptiest. Where load is balanced, a
// machine that would be hot comes after all that would not, and the smallest share first.
func (d *Demand) prefer(a, b candidate) int {
	c := cmp.Compare(a.Penalty, b.Penalty)
	if d.KeepOffSpot {
		c = cmp.Or(c, cmp.Compare(a.unwanted, b.unwanted))
	}
	if d.WaitForBooting {
		c = cmp.Or(c, cmp.Compare(a.displaced, b.displaced))
	}
	c = cmp.Or(c, a.even.compare(b.even), cmp.Compare(a.uncached, b.uncached), cmp.Compare(a.unwanted, b.unwanted),
		cmp.Compare(a.displaced, b.displaced))
	fuller := cmp.Compare(d.Measure.Of(a.Free), d.Measure.Of(b.Free))
	if d.SpreadImages {
		fuller = -fuller
	}
	if d.Balance != nil {
		fuller = cmp.Compare(a.even.share, b.even.share)
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

// suitsOthers reports whether a machine of that size takes tasks of other classes.
func (d *Demand) suitsOthers(size Resources) bool {
	return slices.ContainsFunc(d.OtherClasses, func(o Resources) bool { return size.Fits(o) > 0 })
}

// ranking is a heap of candidates, the preferred one on top.
type ranking struct {
	d  *Demand
	cs []candidate
}

func (r *ranking) Len() int { return len(r.cs) }

func (r *ranking) Less(i, j int) bool { return r.d.prefer(r.cs[i], r.cs[j]) < 0 }

func (r *ranking) Swap(i, j int) { r.cs[i], r.cs[j] = r.cs[j], r.cs[i] }

func (r *ranking) Push(x any) { r.cs = append(r.cs, x.(candidate)) }

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
		if d.spreadRoom(m.Zone) <= 0 || m.Free.Fits(d.Each) == 0 || !d.mayStart(m) {
			heap.Pop(r)
			continue
		}
		m.Free = m.Free.Add(d.Each, -1)
		d.countStarts(m, 1)
		d.noteFetch(m)
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
		if d.hasImage(m) {
			r.cached += d.coolRoom(m)
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
