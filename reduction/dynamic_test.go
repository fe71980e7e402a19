package reduction

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// A dynamic graph agrees with the fixed one at every moment: which nodes are ready, and
// which have failed, whatever the order in which nodes and outcomes become known.
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
		// Nodes come in any order; outcomes come once a node is there, in any order too.
		order := rapid.Permutation(upTo(n)).Draw(t, "order")
		g := NewDynamicGraph()
		outcome := map[int]Outcome{}
		there := map[int]bool{}
		told := map[string]bool{} // what Add and Accumulate have said
		note := func(ids []string) {
			for _, id := range ids {
				told[id] = true
			}
		}
		for len(order) > 0 || len(there) > len(outcome) {
			if len(order) > 0 && rapid.Bool().Draw(t, "add") {
				v := order[0]
				order = order[1:]
				there[v] = true
				note(g.Add(name(v), names(pred[v])))
			} else if open := undecided(there, outcome); len(open) > 0 {
				v := rapid.SampledFrom(open).Draw(t, "node")
				outcome[v] = rapid.SampledFrom([]Outcome{Succeeded, Cancelled}).Draw(t, "outcome")
				note(g.Accumulate(name(v), outcome[v]))
			}
			agree(t, g, n, pred, there, outcome, told)
		}
		for _, v := range rapid.Permutation(upTo(n)).Draw(t, "drops") {
			g.Drop(name(v))
		}
		if len(g.nodes) > 0 {
			t.Fatalf("%d nodes are kept though nothing needs them", len(g.nodes))
		}
	})
}

// agree compares with a fixed graph of the nodes that have come.
func agree(t *rapid.T, g *DynamicGraph, n int, pred [][]int, there map[int]bool, outcome map[int]Outcome, told map[string]bool) {
	var edges [][2]int
	for v := range n {
		for _, p := range pred[v] {
			if there[v] {
				edges = append(edges, [2]int{p, v})
			}
		}
	}
	fixed, err := NewGraph(n, edges)
	if err != nil {
		t.Fatal(err)
	}
	// A success that comes after the node has failed by closure changes nothing, so
	// outcomes are replayed on the fixed graph only where the dynamic one took them.
	s := NewState(fixed)
	for v, o := range outcome {
		if o == Cancelled || g.Status(name(v)) == Completed {
			s.Accumulate(v, o)
		}
	}
	Close(fixed, s)
	ready := Ready(fixed, s)
	for v := range n {
		if !there[v] {
			continue
		}
		failed := s.Status(v) == Failed
		if got := g.Status(name(v)) == Failed; got != failed {
			t.Fatalf("node %d: failed %v, on the fixed graph %v", v, got, failed)
		}
		waits := slices.Contains(ready, v)
		if got := g.Classify(name(v)) == Progressing; got != waits {
			t.Fatalf("node %d: ready %v, on the fixed graph %v", v, got, waits)
		}
		if _, own := outcome[v]; failed && !own && !told[name(v)] {
			t.Fatalf("node %d has failed and nobody was told", v)
		}
	}
}

func undecided(there map[int]bool, outcome map[int]Outcome) []int {
	var open []int
	for v := range there {
		if _, decided := outcome[v]; !decided {
			open = append(open, v)
		}
	}
	slices.Sort(open)
	return open
}

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
