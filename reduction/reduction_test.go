package reduction

import (
	"math/rand/v2"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// drawGraph draws an acyclic graph with at least one edge: every edge goes from a lower to a
// higher node.
func drawGraph(t *rapid.T) (*Graph, [][2]int) {
	n := rapid.IntRange(2, 12).Draw(t, "nodes")
	var edges [][2]int
	for range rapid.IntRange(1, 2*n).Draw(t, "edges") {
		to := rapid.IntRange(1, n-1).Draw(t, "to")
		edges = append(edges, [2]int{rapid.IntRange(0, to-1).Draw(t, "from"), to})
	}
	g, err := NewGraph(n, edges)
	if err != nil {
		t.Fatal(err)
	}
	return g, edges
}

// drawState draws a state that an execution can reach: several rounds, in each of which some
// nodes of the frontier start and some of those get a random outcome.
func drawState(t *rapid.T, g *Graph) *State {
	s := NewState(g)
	for range rapid.IntRange(0, 5).Draw(t, "rounds") {
		Close(g, s)
		for _, v := range Ready(g, s) {
			if rapid.Bool().Draw(t, "start") {
				s.Start(v)
				if rapid.Bool().Draw(t, "report") {
					s.Accumulate(v, drawOutcome(t))
				}
			}
		}
	}
	return s
}

func drawOutcome(t *rapid.T) Outcome {
	return rapid.SampledFrom([]Outcome{Succeeded, Skip, Failure, Cancelled, Reset}).Draw(t, "outcome")
}

// reaches reports whether b can be reached from a.
func reaches(edges [][2]int, a, b int) bool {
	for _, e := range edges {
		if e[0] == a && (e[1] == b || reaches(edges, e[1], b)) {
			return true
		}
	}
	return false
}

func statuses(s *State) []Status { return s.Clone().status }

// No node of the frontier can be reached from another one.
func TestFrontierIsAntichain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, edges := drawGraph(t)
		frontier := Ready(g, drawState(t, g))
		for _, a := range frontier {
			for _, b := range frontier {
				if a != b && reaches(edges, a, b) {
					t.Fatalf("%d reaches %d", a, b)
				}
			}
		}
	})
}

// result is the outcome of one node.
type result struct {
	node    int
	outcome Outcome
}

// drawResults starts every node of the frontier and draws an outcome for each.
func drawResults(t *rapid.T, s *State, g *Graph) []result {
	var rs []result
	for _, v := range Ready(g, s) {
		s.Start(v)
		rs = append(rs, result{v, drawOutcome(t)})
	}
	return rs
}

// The order in which outcomes arrive, and whether the state is classified after each or once after all,
// makes no difference.
func TestResultsCommuteAndBatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, _ := drawGraph(t)
		s := drawState(t, g)
		rs := drawResults(t, s, g)
		batch := s.Clone()
		for _, r := range rs {
			batch.Accumulate(r.node, r.outcome)
		}
		verdict, frontier := Classify(g, batch)

		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		rng.Shuffle(len(rs), func(i, j int) { rs[i], rs[j] = rs[j], rs[i] })
		single := s.Clone()
		var singleVerdict Verdict
		var singleFrontier []int
		if len(rs) == 0 {
			singleVerdict, singleFrontier = Classify(g, single)
		}
		for _, r := range rs { // sequential: closed and classified after each
			single.Accumulate(r.node, r.outcome)
			singleVerdict, singleFrontier = Classify(g, single)
		}
		if verdict != singleVerdict || !reflect.DeepEqual(frontier, singleFrontier) || !reflect.DeepEqual(statuses(batch), statuses(single)) {
			t.Fatalf("in a batch: verdict %v, frontier %v, statuses %v; one by one: %v, %v, %v", verdict, frontier, batch.status, singleVerdict, singleFrontier, single.status)
		}
	})
}

// Closure is idempotent, keeps what has failed, and only grows with further failures.
func TestClosureLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, edges := drawGraph(t)
		s := drawState(t, g)
		once := s.Clone()
		Close(g, once)
		twice := once.Clone()
		Close(g, twice)
		if !reflect.DeepEqual(once.status, twice.status) {
			t.Fatal("closing a closed state changes it")
		}
		more := s.Clone() // one more failure
		if f := Ready(g, more); len(f) > 0 {
			more.Accumulate(f[0], Failure)
		}
		Close(g, more)
		for v := range once.status {
			if s.status[v] == Failed && once.status[v] != Failed {
				t.Fatal("closing the state revives a failed node")
			}
			if once.status[v] == Failed && more.status[v] != Failed {
				t.Fatal("one more failure leaves fewer nodes failed")
			}
			for w := range once.status {
				if once.status[v] == Failed && once.status[w] == Pending && reaches(edges, v, w) {
					t.Fatalf("pending %d is downstream of failed %d", w, v)
				}
			}
		}
	})
}

// After a recovery no node is running, completed nodes stay completed, and the state is either progressing or
// settled.
func TestRecoveryIsValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, _ := drawGraph(t)
		s := drawState(t, g)
		done := s.Count(Completed)
		Recover(s)
		verdict, frontier := Classify(g, s)
		if s.Count(Running) != 0 || s.Count(Completed) != done {
			t.Fatal("a node is running after recovery, or a completed node is not completed any more")
		}
		if (verdict == Progressing) != (len(frontier) > 0) || verdict == Waiting || verdict == Stuck {
			t.Fatalf("recovered state is %v with frontier %v", verdict, frontier)
		}
		if (verdict == Settled) != (s.Count(Pending) == 0) {
			t.Fatal("settled with pending nodes, or not settled without any")
		}
	})
}

func TestCountsMatchStatuses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, _ := drawGraph(t)
		s := drawState(t, g)
		var count [Skipped + 1]int
		for _, st := range s.status {
			count[st]++
		}
		if count != s.count {
			t.Fatalf("counts %v, statuses %v", s.count, count)
		}
	})
}

func TestNewGraphRefuses(t *testing.T) {
	for name, edges := range map[string][][2]int{
		"cycle": {{0, 1}, {1, 2}, {2, 0}}, "node outside the graph": {{0, 3}}, "edge to itself": {{1, 1}},
	} {
		if _, err := NewGraph(3, edges); err == nil {
			t.Errorf("%s: edges are accepted", name)
		}
	}
}
