// Package balance decides how load is spread over the machines of a fleet: which machines are hot, which
// running tasks should move, and how the moves under way are followed and bounded. It does no I/O, reads
// no clock and proves nothing: a move is an ordinary stop and an ordinary placement, made by whoever
// drives the package. docs/load-spreading.md has the reasons.
package balance
