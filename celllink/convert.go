// Package celllink carries messages between cells as protobuf over HTTP, with one call at a time for each
// cell and a timeout on every call. Delivery is not guaranteed: the core repeats its messages until they are
// answered.
package celllink

import (
	"fmt"

	"pumicefront/cells"
	"pumicefront/controller"
	"pumicefront/wire"
)

// encodeMessages converts messages to their protobuf form.
func encodeMessages(messages []controller.CellMessage) []*Message {
	var all []*Message
	for _, m := range messages {
		p := &Message{Kind: Kind(m.Kind), Job: m.Job, Epoch: uint64(m.Epoch), Cancel: m.Cancel, State: State(m.State), Result: Result(m.Result)}
		if m.Spec != nil {
			p.Spec = wire.Marshal(m.Spec)
		}
		all = append(all, p)
	}
	return all
}

// decodeMessages converts protobuf messages that the cell from has sent to the cell to. The team of a message is taken
// from the job that it carries, if any.
func decodeMessages(messages []*Message, from, to cells.Cell) ([]controller.CellMessage, error) {
	var all []controller.CellMessage
	for _, p := range messages {
		m := controller.CellMessage{Message: cells.Message{Kind: cells.Kind(p.Kind), From: from, To: to, Job: p.Job,
			Epoch: cells.Epoch(p.Epoch), Cancel: p.Cancel, State: cells.HolderState(p.State), Result: cells.Result(p.Result)}}
		if len(p.Spec) > 0 {
			m.Spec = &wire.Job{}
			if err := wire.Unmarshal(p.Spec, m.Spec); err != nil {
				return nil, fmt.Errorf("message about %s: %w", p.Job, err)
			}
			m.Team = m.Spec.Team
		}
		all = append(all, m)
	}
	return all, nil
}
