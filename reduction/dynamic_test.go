package reduction

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// A dynamic graph has the same ready and failed nodes as the fixed graph of the nodes added so
// far, in whatever order nodes and outcomes arrive.
func TestDynamicAgreesWithFixed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "nodes")
		pred := make([][]int, n)
		for v := 1; v < n; v++ {
			for p := range v {
				if rapid.IntRange(0, 2).Draw(t, "edge") == 0 {
					pred[v] = append(pred[v], p)
				}
			}
		}
		// Nodes are added in any order. Outcomes arrive in any order too, each after its node was added.
		order := rapid.Permutation(upTo(n)).Draw(t, "order")
		g := NewDynamicGraph()
		outcome := map[int]Outcome{}
		added := map[int]bool{}
		reported := map[string]bool{} // nodes that Add and Accumulate have returned
		markReported := func(ids []string) {
			for _, id := range ids {
				reported[id] = true
			}
		}
		for len(order) > 0 || len(added) > len(outcome) {
			if len(order) > 0 && rapid.Bool().Draw(t, "add") {
				v := order[0]
				order = order[1:]
				added[v] = true
				markReported(g.Add(name(v), names(pred[v])))
			} else if open := undecided(added, outcome); len(open) > 0 {
				v := rapid.SampledFrom(open).Draw(t, "node")
				outcome[v] = rapid.SampledFrom([]Outcome{Succeeded, Cancelled}).Draw(t, "outcome")
				markReported(g.Accumulate(name(v), outcome[v]))
			}
			compareWithFixed(t, g, n, pred, added, outcome, reported)
		}
		for _, v := range rapid.Permutation(upTo(n)).Draw(t, "drops") {
			g.Drop(name(v))
		}
		if len(g.nodes) > 0 {
			t.Fatalf("%d nodes are kept after all were dropped", len(g.nodes))
		}
	})
}

// compareWithFixed compares the dynamic graph with a fixed graph of the nodes added so far.
func compareWithFixed(t *rapid.T, g *DynamicGraph, n int, pred [][]int, added map[int]bool, outcome map[int]Outcome, reported map[string]bool) {
	var edges [][2]int
	for v := range n {
		for _, p := range pred[v] {
			if added[v] {
				edges = append(edges, [2]int{p, v})
			}
		}
	}
	fixed, err := NewGraph(n, edges)
	if err != nil {
		t.Fatal(err)
	}
	// A success of a node that has already failed through a predecessor has no effect, so
	// outcomes are replayed on the fixed graph only where the dynamic graph applied them.
	s := NewState(fixed)
	for v, o := range outcome {
		if o == Cancelled || g.Status(name(v)) == Completed {
			s.Accumulate(v, o)
		}
	}
	Close(fixed, s)
	ready := Ready(fixed, s)
	for v := range n {
		if !added[v] {
			continue
		}
		failed := s.Status(v) == Failed
		if got := g.Status(name(v)) == Failed; got != failed {
			t.Fatalf("node %d: failed %v, on the fixed graph %v", v, got, failed)
		}
		wantReady := slices.Contains(ready, v)
		if got := g.Classify(name(v)) == Progressing; got != wantReady {
			t.Fatalf("node %d: ready %v, on the fixed graph %v", v, got, wantReady)
		}
		if _, own := outcome[v]; failed && !own && !reported[name(v)] {
			t.Fatalf("node %d has failed, but no call returned it", v)
		}
	}
}

// undecided returns the added nodes without an outcome, sorted.
func undecided(added map[int]bool, outcome map[int]Outcome) []int {
	var open []int
	for v := range added {
		if _, decided := outcome[v]; !decided {
			open = append(open, v)
		}
	}
	slices.Sort(open)
	return open
}

// upTo returns the numbers below n.
func upTo(n int) []int {
	vs := make([]int, n)
	for i := range vs {
		vs[i] = i
	}
	return vs
}

func name(v int) string { return fmt.Sprintf("req-%d", v) }

func names(vs []int) []string {
	ids := make([]string, len(vs))
	for i, v := range vs {
		ids[i] = name(v)
	}
	return ids
}
