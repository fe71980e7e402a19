package reduction

import "slices"

// DynamicGraph is a graph whose nodes come one by one, each with the nodes that it needs,
// and go when they are over and nothing needs them. A node may be named before it comes
// itself. Outcomes accumulate and failures close as on a fixed graph; since every edge
// is seen when its later end comes, each call costs as much as it changes.
type DynamicGraph struct{ nodes map[string]*dynamicNode }

// dynamicNode is one node. Once added it has its edges.
type dynamicNode struct {
	status     Status
	added      bool
	pred, succ []string
	open       int // predecessors that are not completed
}

// NewDynamicGraph returns a graph without nodes.
func NewDynamicGraph() *DynamicGraph { return &DynamicGraph{nodes: map[string]*dynamicNode{}} }

func (g *DynamicGraph) node(id string) *dynamicNode {
	n := g.nodes[id]
	if n == nil {
		n = &dynamicNode{}
		g.nodes[id] = n
	}
	return n
}

// Add brings a node with its predecessors. It returns the nodes that fail by it.
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
			n.open++
		}
	}
	if !failed || n.status != Pending {
		return nil
	}
	n.status = Failed
	return append([]string{id}, g.close(n)...)
}

// Accumulate applies the outcome of a node to it, and closes failures downstream. It
// returns the nodes that are ready or failed by it. A node that nothing needs and that
// needs nothing is not kept.
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
		if to.open--; to.open == 0 && to.status == Pending {
			ready = append(ready, s)
		}
	}
	return ready
}

// close fails every pending descendant of a failed node and lists them. It goes on only
// from what it fails: the rest is closed already.
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

// Status returns the status of a node; one that is not there is pending.
func (g *DynamicGraph) Status(id string) Status {
	if n := g.nodes[id]; n != nil {
		return n.status
	}
	return Pending
}

// Classify reports whether a node can be released, waits for its predecessors or is settled.
func (g *DynamicGraph) Classify(id string) Verdict {
	switch n := g.nodes[id]; {
	case n == nil || n.status == Pending && n.open == 0:
		return Progressing
	case n.status == Pending:
		return Waiting
	}
	return Settled
}

// Successors lists the nodes that need a node.
func (g *DynamicGraph) Successors(id string) []string {
	if n := g.nodes[id]; n != nil {
		return n.succ
	}
	return nil
}

// Drop marks a node as over: it needs its predecessors no more. Its status
// stays for as long as something needs it.
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
	n.added, n.pred, n.open = false, nil, 0
	if len(n.succ) == 0 {
		delete(g.nodes, id)
	}
}
