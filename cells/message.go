package cells

// Cell is the name of a cell.
type Cell string

// Epoch is the number of a grant. A home numbers the grants of all its jobs in one sequence and never
// uses an epoch twice. Zero stands for no epoch.
type Epoch uint64

// Challenge is a nonce that a holder's leader draws at its election and sends with every answer. A call
// that carries it was made after that election; a call without it may be a delayed copy from any earlier
// time. Zero stands for no challenge.
type Challenge uint64

// Kind is the purpose of a message.
type Kind uint8

// The kinds of messages.
const (
	KindOffer  Kind = iota // home to holder: run the job
	KindRecall             // home to holder: stop the job, and start no more tasks of it
	KindStatus             // holder to home: the state of the holder's record
)

// Message is a message between two cells about one job. Messages may be lost, delayed, duplicated and
// reordered.
type Message struct {
	Kind     Kind   // purpose of the message
	From, To Cell   // sender and receiver
	Job      string // the job's id
	Epoch    Epoch  // epoch of the grant that the message is about
	Floor    Epoch  // in messages from the home: all its grants to this holder up to this epoch have ended

	Team   string      // KindOffer: the team that owns the job
	Cancel bool        // KindRecall: the user has cancelled the job
	State  HolderState // KindStatus: state of the grant at the holder
	Result Result      // KindStatus: result of the epoch, once it has ended
}

// Result is the result of an epoch.
type Result uint8

// The results of an epoch.
const (
	ResultNone      Result = iota // not ended yet
	ResultRefused                 // the holder never accepted the job
	ResultReturned                // the holder returned the job; no task of it runs there any more
	ResultDone                    // all tasks of the job are done
	ResultCancelled               // the job was stopped because of its cancellation
)
