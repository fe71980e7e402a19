// Package celllink carries messages between cells as protobuf over HTTP, with a timeout on every call. The
// controller's core makes at most one call at a time to each cell. Delivery is not guaranteed: the core sends its
// messages again until they are answered.
package celllink

import (
	"fmt"

	"pumicefront/cells"
	"pumicefront/controller"
	"pumicefront/wire"
)

// encodeMessages converts messages to their protobuf form.
func encodeMessages(messages []controller.CellMessage) []*Message {
	var encoded []*Message
	for _, m := range messages {
		p := &Message{Kind: Kind(m.Kind), Job: m.Job, Epoch: uint64(m.Epoch), Cancel: m.Cancel, State: State(m.State), Result: Result(m.Result)}
		if m.Spec != nil {
			p.Spec = wire.Marshal(m.Spec)
		}
		encoded = append(encoded, p)
	}
	return encoded
}

// decodeMessages converts protobuf messages that one cell has sent to another. The team of a message is that of the
// job in the message, if there is one.
func decodeMessages(messages []*Message, sender, receiver cells.Cell) ([]controller.CellMessage, error) {
	var decoded []controller.CellMessage
	for _, p := range messages {
		m := controller.CellMessage{Message: cells.Message{Kind: cells.Kind(p.Kind), From: sender, To: receiver, Job: p.Job,
			Epoch: cells.Epoch(p.Epoch), Cancel: p.Cancel, State: cells.HolderState(p.State), Result: cells.Result(p.Result)}}
		if len(p.Spec) > 0 {
			m.Spec = &wire.Job{}
			if err := wire.Unmarshal(p.Spec, m.Spec); err != nil {
				return nil, fmt.Errorf("message about %s: %w", p.Job, err)
			}
			m.Team = m.Spec.Team
		}
		decoded = append(decoded, m)
	}
	return decoded, nil
}
