package reduction

import "slices"

// DynamicGraph is a graph whose nodes are added one by one, each with its predecessors, and
// are removed when they are dropped and no other node needs them. A node may be named as a
// predecessor before it is added itself. Outcomes accumulate and failures propagate as on a
// fixed graph. All edges of a node are recorded when the node is added, so the cost of a
// call is proportional to what it changes.
type DynamicGraph struct{ nodes map[string]*dynamicNode }

// dynamicNode is one node. Its predecessors are known once it has been added.
type dynamicNode struct {
	status     Status
	added      bool
	pred, succ []string // IDs of its predecessors and successors
	incomplete int      // number of predecessors that are not completed
}

// NewDynamicGraph returns a graph without nodes.
func NewDynamicGraph() *DynamicGraph { return &DynamicGraph{nodes: map[string]*dynamicNode{}} }

// node returns the node with an ID and creates it if it does not exist.
func (g *DynamicGraph) node(id string) *dynamicNode {
	n := g.nodes[id]
	if n == nil {
		n = &dynamicNode{}
		g.nodes[id] = n
	}
	return n
}

// Add adds a node with its predecessors. If one of these has failed, the node and its pending
// descendants fail too; Add returns all nodes that it made fail.
func (g *DynamicGraph) Add(id string, pred []string) []string {
	n := g.node(id)
	if n.added {
		return nil
	}
	n.added, n.pred = true, pred
	failed := false
	for _, p := range pred {
		from := g.node(p)
		from.succ = append(from.succ, id)
		failed = failed || from.status == Failed
		if from.status != Completed {
			n.incomplete++
		}
	}
	if !failed || n.status != Pending {
		return nil
	}
	n.status = Failed
	return append([]string{id}, g.close(n)...)
}

// Accumulate applies the outcome of a pending node, and propagates a failure downstream. It
// returns the other nodes that become ready or fail through it. It ignores a node that is
// not pending, and one that is not in the graph: a node without predecessors that no other
// node needs need not be added.
func (g *DynamicGraph) Accumulate(id string, o Outcome) []string {
	n := g.nodes[id]
	if n == nil || n.status != Pending {
		return nil
	}
	if o != Succeeded {
		n.status = Failed
		return g.close(n)
	}
	n.status = Completed
	var ready []string
	for _, s := range n.succ {
		to := g.nodes[s]
		if to.incomplete--; to.incomplete == 0 && to.status == Pending {
			ready = append(ready, s)
		}
	}
	return ready
}

// close fails every pending descendant of a failed node and returns them. It descends only
// into nodes that it fails itself: below the others, failures have been propagated already.
func (g *DynamicGraph) close(n *dynamicNode) []string {
	var failed []string
	for _, s := range n.succ {
		if to := g.nodes[s]; to.status == Pending {
			to.status = Failed
			failed = append(append(failed, s), g.close(to)...)
		}
	}
	return failed
}

// Status returns the status of a node. A node that the graph does not hold counts as pending.
func (g *DynamicGraph) Status(id string) Status {
	if n := g.nodes[id]; n != nil {
		return n.status
	}
	return Pending
}

// Classify reports whether a node can be released for execution (Progressing), waits for its
// predecessors (Waiting) or is completed or failed (Settled). A node that the graph does not hold can be released:
// see Accumulate.
func (g *DynamicGraph) Classify(id string) Verdict {
	switch n := g.nodes[id]; {
	case n == nil || n.status == Pending && n.incomplete == 0:
		return Progressing
	case n.status == Pending:
		return Waiting
	}
	return Settled
}

// Successors returns the nodes that have this node as a predecessor.
func (g *DynamicGraph) Successors(id string) []string {
	if n := g.nodes[id]; n != nil {
		return n.succ
	}
	return nil
}

// Drop marks a node as finished: it no longer needs its predecessors. The graph keeps its
// status for as long as another node needs it.
func (g *DynamicGraph) Drop(id string) {
	n := g.nodes[id]
	if n == nil {
		return
	}
	for _, p := range n.pred {
		from := g.nodes[p]
		from.succ = slices.DeleteFunc(from.succ, func(s string) bool { return s == id })
		if len(from.succ) == 0 && !from.added {
			delete(g.nodes, p)
		}
	}
	n.added, n.pred, n.incomplete = false, nil, 0
	if len(n.succ) == 0 {
		delete(g.nodes, id)
	}
}
