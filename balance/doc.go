// Package balance spreads load over the machines of a fleet: it decides which machines are hot and which
// running tasks should move, and it tracks and limits the active moves. It does no I/O and reads no
// clock. It never establishes that an attempt has ended: a move is an ordinary stop and an ordinary
// placement, which the caller carries out. docs/load-spreading.md explains the design.
package balance
