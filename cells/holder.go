package cells

// HolderState is what a holder has recorded of a grant.
type HolderState uint8

// The states of a grant at its holder.
const (
	HolderNone     HolderState = iota // nothing was heard of it
	HolderHolding                     // the job may run here
	HolderStopping                    // nothing of it may start; what runs is being stopped
	HolderEnded                       // nothing of it runs here, and never will in this epoch
)

// HolderRecord is what a holder keeps of a home's job. Its epoch is a fence: grants at or below an
// ended one are never accepted. It is kept until the home's floor has passed it, see Droppable.
type HolderRecord struct {
	Home   Cell        // the cell whose job it is
	Job    string      // the job's id
	Team   string      // the team that owns the job
	Epoch  Epoch       // of the grant that the record is about
	State  HolderState // what the holder has recorded of that grant
	Cancel bool        // it stops for a cancellation
	Result Result      // how the epoch has ended, once it has
}

// Facts are what a cell knows when an offer comes.
type Facts struct {
	KnowsJob  bool  // a job of that id, its own or another cell's
	KnowsTeam bool  // the team that owns the job is one of this cell's teams
	Willing   bool  // it has room within the share that it lends
	Floor     Epoch // of the home, as it is on record here
}

// MayRun reports whether tasks of the job may be placed here.
func (r HolderRecord) MayRun() bool { return r.State == HolderHolding }

// Receive returns the record after a message from the home, and whether it differs: then it must be
// written before anything is answered or placed.
func (r HolderRecord) Receive(m Message, facts Facts) (HolderRecord, bool) {
	switch {
	case m.Epoch <= facts.Floor && r.State == HolderNone:
		// A late copy, or a grant whose write was applied late: refused without a record, since no
		// epoch below the floor is ever accepted.
		return HolderRecord{Home: m.From, Job: m.Job, Team: m.Team, Epoch: m.Epoch, State: HolderEnded, Result: ResultRefused}, false
	case m.Epoch > r.Epoch && (r.State == HolderNone || r.State == HolderEnded):
		return r.begin(m, facts), true
	case m.Epoch == r.Epoch && m.Kind == KindRecall:
		return r.recall(m)
	}
	// Old, or newer while an earlier epoch has not ended here: a home that keeps its rules has no
	// newer grant then. Both change nothing; the answer tells what is on record.
	return r, false
}

// begin records a new epoch: accepted, refused, or, where the recall has overtaken the offer, ended.
func (r HolderRecord) begin(m Message, facts Facts) HolderRecord {
	next := HolderRecord{Home: m.From, Job: m.Job, Team: m.Team, Epoch: m.Epoch, State: HolderEnded, Result: ResultRefused}
	switch {
	case m.Kind == KindRecall && m.Cancel:
		next.Cancel, next.Result = true, ResultCancelled
	case m.Kind == KindOffer && !facts.KnowsJob && facts.KnowsTeam && facts.Willing:
		next.State, next.Result = HolderHolding, ResultNone
	}
	return next
}

// recall records that the job stops; a cancellation may follow a recall.
func (r HolderRecord) recall(m Message) (HolderRecord, bool) {
	before := r
	if r.State == HolderHolding {
		r.State = HolderStopping
	}
	if r.State == HolderStopping {
		r.Cancel = r.Cancel || m.Cancel
	}
	return r, r != before
}

// GiveBack returns the record of the holder's own decision to return the job.
func (r HolderRecord) GiveBack() (HolderRecord, bool) {
	if r.State != HolderHolding {
		return r, false
	}
	r.State = HolderStopping
	return r, true
}

// Finish returns the record of the job's end here. The caller has proof that nothing of the job is
// in force any more; done tells that all its tasks are.
func (r HolderRecord) Finish(done bool) (HolderRecord, bool) {
	switch {
	case r.State != HolderHolding && r.State != HolderStopping, r.State == HolderHolding && !done:
		return r, false
	case done:
		r.Result = ResultDone
	case r.Cancel:
		r.Result = ResultCancelled
	default:
		r.Result = ResultReturned
	}
	r.State = HolderEnded
	return r, true
}

// Status returns what the record answers its home. It is sent once the record is written.
func (r HolderRecord) Status(holder Cell) Message {
	return Message{Kind: KindStatus, From: holder, To: r.Home, Job: r.Job, Epoch: r.Epoch, State: r.State, Result: r.Result}
}

// Droppable reports whether the record may be removed once the home's floor is on record here: no
// message about its epoch can change anything any more.
func (r HolderRecord) Droppable(floor Epoch) bool {
	return r.State == HolderEnded && r.Epoch <= floor
}
