package balance

// Reason is the reason why a task on a hot machine is not moved.
type Reason string

// The reasons. A movable task that is not moved stays because a limit on moves is reached or because all
// moves are blocked, see Block.
const (
	Movable       Reason = ""
	NotRunning    Reason = "not seen running yet"
	BeingStopped  Reason = "is being stopped"
	Settling      Reason = "has run for too short a time"
	MovedBefore   Reason = "has moved, or may have under an earlier leader"
	Gang          Reason = "one of a gang"
	OtherCells    Reason = "another cell's"
	BoundChain    Reason = "in a chain with a deadline"
	ReplicaAway   Reason = "another replica of the service is not up"
	NoCheckpoints Reason = "can't save"
	NoEstimate    Reason = "no estimate of its time"
	TooDear       Reason = "the move costs too much of what is left"
	WouldBeLate   Reason = "would miss a deadline or an aim"
	NoDestination Reason = "no machine takes it that would stay cooler"
)

// Block is the reason why no moves are started at all.
type Block string

// The blocks.
const (
	NotBlocked      Block = ""
	NoLease         Block = "no lease of the state service, or late renewals"
	Unheard         Block = "not all machines have reported"
	NetworkFault    Block = "a partition"
	Recovering      Block = "a zone recovers"
	WorkWaits       Block = "work waits"
	WritesShort     Block = "writes are short"
	RecordUnwritten Block = "the record of moves is being written"
	HeadroomShort   Block = "headroom would not fit any more"
)
