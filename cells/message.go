package cells

// Cell names a cell.
type Cell string

// Epoch numbers the grants of a home, of all its jobs together. None is used twice; zero stands for
// none.
type Epoch uint64

// Challenge is a number that a holder's leader draws at its election and sends with every answer. A call
// that carries it back was made after that: a call without it may be a copy from any time before. Zero
// stands for none.
type Challenge uint64

// Kind is what a message is for.
type Kind uint8

// The kinds of messages.
const (
	KindOffer  Kind = iota // home to holder: run the job
	KindRecall             // home to holder: stop it, nothing of it may start any more
	KindStatus             // holder to home: what is on record there
)

// Message is a message between two cells about one job. It may be lost, late, doubled and overtaken.
type Message struct {
	Kind     Kind   // what the message is for
	From, To Cell   // the cell that sends it and the one that it is for
	Job      string // the job's id
	Epoch    Epoch  // of the grant that it is about
	Floor    Epoch  // from the home: every grant of it to this holder up to here is over

	Team   string      // KindOffer: the team that owns the job
	Cancel bool        // KindRecall: its user has cancelled it
	State  HolderState // KindStatus
	Result Result      // KindStatus, once it has ended
}

// Result is how an epoch has ended.
type Result uint8

// The results of an epoch.
const (
	ResultNone      Result = iota // not ended yet
	ResultRefused                 // never accepted
	ResultReturned                // given back; nothing of it runs there any more
	ResultDone                    // all tasks are done
	ResultCancelled               // stopped for good
)
