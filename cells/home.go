package cells

import "errors"

// HomeState is the state of a job as its home has recorded it. It determines which cell may run the job.
type HomeState uint8

// The states of a job at home.
const (
	HomeLocal     HomeState = iota // the home may run the job
	HomeOffered                    // the holder may run the job if it accepts the offer
	HomeHeld                       // the holder may run the job
	HomeRecalling                  // the holder may run the job until it has recorded the end of the grant
	HomeEnded                      // no cell may run the job any more
)

// HomeRecord is a home's record of a job that has been granted at least once. Its writes are conditional
// (compare-and-swap) on its version, on the home's leadership and on the job's header, the record that the
// job's acceptance stored.
type HomeRecord struct {
	Job    string    // the job's id
	Team   string    // the team that owns the job
	State  HomeState // which cell may run the job
	Holder Cell      // holder of the last grant, if any
	Epoch  Epoch     // epoch of the last grant
	Cancel bool      // the user has requested the cancellation
	Result Result    // result of the job, once it has ended
}

// Errors for decisions that the state of a record does not allow.
var (
	ErrNotLocal = errors.New("job is not at its home cell or is cancelled")
	ErrJobEnded = errors.New("job has ended")
	ErrOldEpoch = errors.New("epoch is not above that of the last grant")
)

// MayRun reports whether the home may run the job.
func (r HomeRecord) MayRun() bool { return r.State == HomeLocal && !r.Cancel }

// Grant returns the record after a new grant. The caller must make sure that no attempt of the job is
// active at home, and that the epoch is the home's next one, allocated in the same write.
func (r HomeRecord) Grant(to Cell, epoch Epoch) (HomeRecord, error) {
	switch {
	case !r.MayRun():
		return r, ErrNotLocal
	case epoch <= r.Epoch:
		return r, ErrOldEpoch
	}
	r.State, r.Holder, r.Result, r.Epoch = HomeOffered, to, ResultNone, epoch
	return r, nil
}

// hasOpenGrant reports whether the last grant of the job has not ended yet.
func (r HomeRecord) hasOpenGrant() bool {
	return r.State == HomeOffered || r.State == HomeHeld || r.State == HomeRecalling
}

// Floor returns the epoch up to which all grants of a home to one holder have ended. It is one below the
// oldest open grant to that holder, or the last allocated epoch if no grant to it is open. It never falls,
// since epochs only rise and a grant that has ended stays ended. Grants to other holders don't count: a
// holder that was declared gone must learn that all its grants have ended, even if another holder keeps
// an older grant for a long time.
func Floor(records []HomeRecord, holder Cell, last Epoch) Epoch {
	floor := last
	for _, r := range records {
		if r.hasOpenGrant() && r.Holder == holder {
			floor = min(floor, r.Epoch-1)
		}
	}
	return floor
}

// Recall returns the record after a decision to take the job back. The decision takes effect when the
// holder has recorded the end of the grant.
func (r HomeRecord) Recall() (HomeRecord, error) {
	switch r.State {
	case HomeEnded:
		return r, ErrJobEnded
	case HomeOffered, HomeHeld:
		r.State = HomeRecalling
	}
	return r, nil
}

// RequestCancel returns the record after a request to cancel the job. The job must not be reported as cancelled
// to the user before Cancelled returns true.
func (r HomeRecord) RequestCancel() (HomeRecord, error) {
	r, err := r.Recall()
	if err != nil {
		return r, err
	}
	r.Cancel = true
	if r.State == HomeLocal {
		r.State, r.Result = HomeEnded, ResultCancelled
	}
	return r, nil
}

// Cancelled reports whether the job may be reported to the user as cancelled.
func (r HomeRecord) Cancelled() bool { return r.State == HomeEnded && r.Result == ResultCancelled }

// Done reports whether the job may be reported to the user as done.
func (r HomeRecord) Done() bool { return r.State == HomeEnded && r.Result == ResultDone }

// Apply returns the record after a message from the holder, and whether it changed. A message about another
// epoch, or from another cell than the record's holder, is old and has no effect.
func (r HomeRecord) Apply(m Message) (HomeRecord, bool) {
	current := m.Kind == KindStatus && m.From == r.Holder && m.Epoch == r.Epoch && m.Job == r.Job
	if !current || !r.hasOpenGrant() {
		return r, false
	}
	if m.State != HolderEnded {
		if r.State != HomeOffered || m.State != HolderHolding {
			return r, false
		}
		r.State = HomeHeld
		return r, true
	}
	switch {
	case m.Result == ResultDone:
		r.State, r.Result = HomeEnded, ResultDone
	case r.Cancel:
		r.State, r.Result = HomeEnded, ResultCancelled
	default:
		r.State, r.Holder = HomeLocal, ""
	}
	return r, true
}

// Message returns the request to send to the holder, to be repeated until a status answers it. It reports
// false if there is nothing to send.
func (r HomeRecord) Message(home Cell) (Message, bool) {
	m := Message{From: home, To: r.Holder, Job: r.Job, Epoch: r.Epoch}
	switch r.State {
	case HomeOffered, HomeHeld: // a repeated offer requests the status
		m.Kind, m.Team = KindOffer, r.Team
	case HomeRecalling:
		m.Kind, m.Cancel = KindRecall, r.Cancel
	default:
		return Message{}, false
	}
	return m, true
}
