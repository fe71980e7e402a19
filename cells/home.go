package cells

import "errors"

// HomeState is who may run a job, as its home has recorded it.
type HomeState uint8

// The states of a job at home.
const (
	HomeLocal     HomeState = iota // the home
	HomeOffered                    // the holder, if it accepts
	HomeHeld                       // the holder
	HomeRecalling                  // the holder, until it has recorded an end
	HomeOver                       // nobody any more
)

// HomeRecord is what a home keeps of a job that was ever granted. Its writes are conditional on its
// version, on the home's leadership and on the job's header.
type HomeRecord struct {
	Job    string    // the job's id
	Team   string    // the team that owns the job
	State  HomeState // who may run the job
	Holder Cell      // the cell of the last grant, if any
	Epoch  Epoch     // of the last grant
	Cancel bool      // the user has asked for a cancellation
	Result Result    // how the job has ended, once it is over
}

// Errors of decisions that a record does not allow.
var (
	ErrNotLocal = errors.New("the job is not at home")
	ErrOver     = errors.New("the job is over")
	ErrOldEpoch = errors.New("the epoch was used before")
)

// MayRun reports whether the home may run the job.
func (r HomeRecord) MayRun() bool { return r.State == HomeLocal && !r.Cancel }

// Grant returns the record of a new grant. Nothing of the job may be in force at home, and the epoch
// is the home's next one, taken in the same write.
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

// open reports whether a grant of the record is not over.
func (r HomeRecord) open() bool {
	return r.State == HomeOffered || r.State == HomeHeld || r.State == HomeRecalling
}

// Floor returns up to which epoch all grants of a home to one holder are over: below each of these that
// is open, or the last epoch that was taken. It only rises, since epochs do and since what is over
// stays over. Grants to others don't count: a holder that was declared gone must learn that all it had
// is over, however long another one keeps an older grant.
func Floor(records []HomeRecord, holder Cell, last Epoch) Epoch {
	floor := last
	for _, r := range records {
		if r.open() && r.Holder == holder {
			floor = min(floor, r.Epoch-1)
		}
	}
	return floor
}

// Recall returns the record of a decision to have the job back, which takes effect when the holder
// has recorded an end.
func (r HomeRecord) Recall() (HomeRecord, error) {
	switch r.State {
	case HomeOver:
		return r, ErrOver
	case HomeOffered, HomeHeld:
		r.State = HomeRecalling
	}
	return r, nil
}

// AskCancel returns the record of a cancellation. Its user may be told of it when Cancelled.
func (r HomeRecord) AskCancel() (HomeRecord, error) {
	r, err := r.Recall()
	if err != nil {
		return r, err
	}
	r.Cancel = true
	if r.State == HomeLocal {
		r.State, r.Result = HomeOver, ResultCancelled
	}
	return r, nil
}

// Cancelled reports whether the user may be told that the job is cancelled.
func (r HomeRecord) Cancelled() bool { return r.State == HomeOver && r.Result == ResultCancelled }

// Done reports whether the user may be told that the job is done.
func (r HomeRecord) Done() bool { return r.State == HomeOver && r.Result == ResultDone }

// Apply returns the record after a message from the holder, and whether it differs. A message about
// another epoch or from another cell than the record names is old and changes nothing.
func (r HomeRecord) Apply(m Message) (HomeRecord, bool) {
	current := m.Kind == KindStatus && m.From == r.Holder && m.Epoch == r.Epoch && m.Job == r.Job
	if !current || !r.open() {
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
		r.State, r.Result = HomeOver, ResultDone
	case r.Cancel:
		r.State, r.Result = HomeOver, ResultCancelled
	default:
		r.State, r.Holder = HomeLocal, ""
	}
	return r, true
}

// Message returns what the record asks the holder for, to be repeated until a status answers it.
func (r HomeRecord) Message(home Cell) (Message, bool) {
	m := Message{From: home, To: r.Holder, Job: r.Job, Epoch: r.Epoch}
	switch r.State {
	case HomeOffered, HomeHeld: // a repeated offer asks for the status
		m.Kind, m.Team = KindOffer, r.Team
	case HomeRecalling:
		m.Kind, m.Cancel = KindRecall, r.Cancel
	default:
		return Message{}, false
	}
	return m, true
}
