package balance

// Reason is the reason why a task on a hot machine is not moved.
type Reason string

// The reasons. A movable task that is not moved stays because a limit on moves is reached or because all
// moves are blocked, see BlockReason.
const (
	Movable          Reason = ""
	NotRunning       Reason = "not seen running yet"
	BeingStopped     Reason = "is being stopped"
	RecentlyStarted  Reason = "has run for too short a time"
	RecentlyMoved    Reason = "has moved, or may have under an earlier leader"
	Gang             Reason = "one of a gang"
	OwnedByOtherCell Reason = "another cell's"
	DeadlineChain    Reason = "in a chain with a deadline"
	ReplicaNotUp     Reason = "another replica of the service is not up"
	NoCheckpoints    Reason = "can't save"
	NoEstimate       Reason = "no estimate of its time"
	TooCostly        Reason = "the move costs too much of what is left"
	WouldBeLate      Reason = "would miss a deadline or an aim"
	NoDestination    Reason = "no machine takes it that would stay cooler"
)

// BlockReason is the reason why no moves are started at all.
type BlockReason string

// The reasons why no moves are started.
const (
	NotBlocked          BlockReason = ""
	NoLease             BlockReason = "no lease of the state service, or late renewals" // the leader's own lease
	MachinesNotReported BlockReason = "not all machines have reported"                  // to this leader
	NetworkFault        BlockReason = "a partition"                                     // the leader suspects a network partition
	ZoneRecovering      BlockReason = "a zone recovers"                                 // see package zones
	WorkPending         BlockReason = "work waits"                                      // pending tasks have precedence over moves
	WriteBudgetShort    BlockReason = "writes are short"                                // little of the budget for writes to the state service is left
	RecordNotWritten    BlockReason = "the record of moves is being written"            // it must be stored before any move starts
	HeadroomShort       BlockReason = "headroom would not fit any more"                 // the last plan would have left room for fewer headroom tasks
)
