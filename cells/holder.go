package cells

// HolderState is the state of a grant as its holder has recorded it.
type HolderState uint8

// The states of a grant at its holder.
const (
	HolderNone     HolderState = iota // the holder has no record of it
	HolderHolding                     // the holder may run the job
	HolderStopping                    // no task of the job may start; running ones are being stopped
	HolderEnded                       // no task of the job runs at the holder, and none ever will in this epoch
)

// HolderRecord is a holder's record of another cell's job. Its epoch is a fencing token: once an epoch
// has ended, no grant with that epoch or a lower one is accepted. The record is kept until the home's
// floor (see Floor) has reached its epoch, see Removable.
type HolderRecord struct {
	Home   Cell        // the cell whose job it is
	Job    string      // the job's id
	Team   string      // the team that owns the job
	Epoch  Epoch       // epoch of the grant that the record is about
	State  HolderState // state of that grant
	Cancel bool        // the job stops because its user has cancelled it
	Result Result      // result of the epoch, once it has ended
}

// OfferContext are the conditions at a cell when a message arrives. All but Floor matter only for an offer.
type OfferContext struct {
	KnowsJob  bool  // the cell has a job with that id, its own or another cell's
	KnowsTeam bool  // the team that owns the job is one of this cell's teams
	HasRoom   bool  // the cell has room within the share that it lends
	Floor     Epoch // the home's floor, as recorded at this cell
}

// MayRun reports whether the holder may place tasks of the job.
func (r HolderRecord) MayRun() bool { return r.State == HolderHolding }

// Receive returns the record after a message from the home, and whether it changed. A changed record must
// be written before the message is answered or any task is placed.
func (r HolderRecord) Receive(m Message, offer OfferContext) (HolderRecord, bool) {
	switch {
	case m.Epoch <= offer.Floor && r.State == HolderNone:
		// A delayed copy of a message, or a grant whose write was applied late. It is refused without a
		// record, since no epoch at or below the floor is ever accepted.
		return HolderRecord{Home: m.From, Job: m.Job, Team: m.Team, Epoch: m.Epoch, State: HolderEnded, Result: ResultRefused}, false
	case m.Epoch > r.Epoch && (r.State == HolderNone || r.State == HolderEnded):
		return r.startEpoch(m, offer), true
	case m.Epoch == r.Epoch && m.Kind == KindRecall:
		return r.recall(m)
	}
	// The message is old, or it is newer while an earlier epoch has not ended here; a home that follows
	// the protocol makes no newer grant then. Neither changes the record, and the answer is the status of
	// the record as it is.
	return r, false
}

// startEpoch returns the record of a new epoch: accepted, refused, or, if the recall arrived before the
// offer, ended.
func (r HolderRecord) startEpoch(m Message, offer OfferContext) HolderRecord {
	next := HolderRecord{Home: m.From, Job: m.Job, Team: m.Team, Epoch: m.Epoch, State: HolderEnded, Result: ResultRefused}
	switch {
	case m.Kind == KindRecall && m.Cancel:
		next.Cancel, next.Result = true, ResultCancelled
	case m.Kind == KindOffer && !offer.KnowsJob && offer.KnowsTeam && offer.HasRoom:
		next.State, next.Result = HolderHolding, ResultNone
	}
	return next
}

// recall returns the record after a recall: the job stops. A cancellation may follow an earlier recall.
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

// ReturnJob returns the record after the holder's own decision to return the job, and whether it changed.
func (r HolderRecord) ReturnJob() (HolderRecord, bool) {
	if r.State != HolderHolding {
		return r, false
	}
	r.State = HolderStopping
	return r, true
}

// Finish returns the record after the job has ended at the holder, and whether it changed. The caller must
// have proof that no attempt of the job is active any more; done reports whether all its tasks are done.
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

// Status returns the status message to the home. It must be sent only after the record is written.
func (r HolderRecord) Status(holder Cell) Message {
	return Message{Kind: KindStatus, From: holder, To: r.Home, Job: r.Job, Epoch: r.Epoch, State: r.State, Result: r.Result}
}

// Removable reports whether the record may be removed, given the home's floor as recorded at the holder.
// At or below the floor, no message about the record's epoch can have any effect.
func (r HolderRecord) Removable(floor Epoch) bool {
	return r.State == HolderEnded && r.Epoch <= floor
}
