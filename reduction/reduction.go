// Package reduction implements the staged reduction of "Staged Reduction for Durable
// Workflow Execution": a pipeline is a fixed acyclic graph of nodes, outcomes
// are accumulated as updates of single nodes, failures are propagated downstream
// (closure), and the closed state is classified. The package does no I/O.
package reduction

import (
	"fmt"
	"iter"
)

// Status is the state of one node.
type Status uint8

// The statuses of a node.
const (
	Pending   Status = iota // not started, or reset
	Running                 // started, with no outcome yet
	Completed               // finished by Succeeded
	Failed                  // finished by Failure or Cancelled, or by Close downstream of a failed node
	Skipped                 // finished by Skip
)

// Outcome is the result of one execution of a node.
type Outcome uint8

// Forward outcomes advance a node; reset outcomes return it to Pending.
const (
	Succeeded Outcome = iota // forward
	Skip                     // forward
	Failure                  // forward
	Cancelled                // forward: counts as failed; the paper resets instead
	Reset                    // reset: the execution was lost, stopped, refused or ended in an error
)

// Graph is a fixed acyclic graph over the nodes 0..n-1.
type Graph struct {
	n           int
	pred, succ  [][]int
	topological []int
}

// Independent returns the graph of n nodes without edges.
func Independent(n int) *Graph { return &Graph{n: n} }

// NewGraph returns the graph of the edges (from, to) over n nodes. It returns an error if an edge refers to a
// node that does not exist, or if the edges form a cycle.
func NewGraph(n int, edges [][2]int) (*Graph, error) {
	g := &Graph{n: n, pred: make([][]int, n), succ: make([][]int, n)}
	for _, e := range edges {
		if e[0] < 0 || e[0] >= n || e[1] < 0 || e[1] >= n {
			return nil, fmt.Errorf("edge %v refers to a node outside the graph of %d nodes", e, n)
		}
		g.succ[e[0]] = append(g.succ[e[0]], e[1])
		g.pred[e[1]] = append(g.pred[e[1]], e[0])
	}
	unmet := make([]int, n)
	for v := range n {
		unmet[v] = len(g.pred[v])
		if unmet[v] == 0 {
			g.topological = append(g.topological, v)
		}
	}
	for i := 0; i < len(g.topological); i++ {
		for _, w := range g.succ[g.topological[i]] {
			if unmet[w]--; unmet[w] == 0 {
				g.topological = append(g.topological, w)
			}
		}
	}
	if len(g.topological) != n {
		return nil, fmt.Errorf("graph of %d nodes has a cycle", n)
	}
	return g, nil
}

// State holds the status of every node of a graph.
type State struct {
	status []Status
	count  [Skipped + 1]int
}

// NewState returns a state in which every node of g is pending.
func NewState(g *Graph) *State {
	s := &State{status: make([]Status, g.n)}
	s.count[Pending] = g.n
	return s
}

// Status returns the status of node v.
func (s *State) Status(v int) Status { return s.status[v] }

// Count returns the number of nodes with the given status.
func (s *State) Count(st Status) int { return s.count[st] }

// Clone returns an independent copy.
func (s *State) Clone() *State {
	c := *s
	c.status = append([]Status(nil), s.status...)
	return &c
}

func (s *State) set(v int, st Status) {
	s.count[s.status[v]]--
	s.status[v] = st
	s.count[st]++
}

// Start marks a pending node as running.
func (s *State) Start(v int) {
	if s.status[v] == Pending {
		s.set(v, Running)
	}
}

// Accumulate applies the outcome of node v to the status of v and changes no other node.
// Finished nodes keep their status: a late outcome has no effect.
func (s *State) Accumulate(v int, o Outcome) {
	if s.status[v] == Completed || s.status[v] == Skipped || s.status[v] == Failed {
		return
	}
	switch o {
	case Succeeded:
		s.set(v, Completed)
	case Skip:
		s.set(v, Skipped)
	case Failure, Cancelled:
		s.set(v, Failed)
	case Reset:
		s.set(v, Pending)
	}
}

// Close fails every pending descendant of a failed node. It is idempotent.
func Close(g *Graph, s *State) {
	if s.count[Failed] == 0 {
		return
	}
	for _, v := range g.topological {
		if s.status[v] != Failed {
			continue
		}
		failSuccessors(g, s, v)
	}
}

func failSuccessors(g *Graph, s *State, v int) {
	for _, w := range g.succ[v] {
		if s.status[w] == Pending {
			s.set(w, Failed)
		}
	}
}

// Recover normalizes a state that was read back after a crash: running nodes become
// pending again.
func Recover(s *State) {
	for v, st := range s.status {
		if st == Running {
			s.set(v, Pending)
		}
	}
}

// Frontier yields the frontier in order: pending nodes whose predecessors are all completed or skipped. None of them
// can be reached from another. The state must not change meanwhile.
func Frontier(g *Graph, s *State) iter.Seq[int] {
	return func(yield func(int) bool) {
		if s.count[Pending] == 0 {
			return
		}
		for v, st := range s.status {
			if st == Pending && isReady(g, s, v) && !yield(v) {
				return
			}
		}
	}
}

// Ready lists the frontier.
func Ready(g *Graph, s *State) []int {
	if s.count[Pending] == 0 {
		return nil
	}
	frontier := make([]int, 0, s.count[Pending])
	for v := range Frontier(g, s) {
		frontier = append(frontier, v)
	}
	return frontier
}

func isReady(g *Graph, s *State, v int) bool {
	if g.pred == nil { // a graph from Independent
		return true
	}
	for _, p := range g.pred[v] {
		if s.status[p] != Completed && s.status[p] != Skipped {
			return false
		}
	}
	return true
}

// Verdict is the classification of a closed state, in which failures have been propagated. For what it
// says of a single node, see DynamicGraph.Classify.
type Verdict uint8

// The verdicts.
const (
	Progressing Verdict = iota // the nodes of the frontier can be released for execution
	Settled                    // nothing is pending or running
	Waiting                    // nodes are running and none is ready
	Stuck                      // some nodes are pending and can never be released
)

// Classify closes the state and classifies it. With Progressing it also returns the
// frontier, the nodes to release.
func Classify(g *Graph, s *State) (Verdict, []int) {
	verdict := Judge(g, s)
	if verdict != Progressing {
		return verdict, nil
	}
	return verdict, Ready(g, s)
}

// Judge closes the state and classifies it without listing the frontier.
func Judge(g *Graph, s *State) Verdict {
	Close(g, s)
	for range Frontier(g, s) {
		return Progressing
	}
	switch {
	case s.count[Running] > 0:
		return Waiting
	case s.count[Pending] > 0:
		return Stuck
	}
	return Settled
}
