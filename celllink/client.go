package celllink

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"pumicefront/cells"
	"pumicefront/config"
	"pumicefront/controller"
)

// Timeouts and bounds of the talk between cells.
const (
	addressTimeout = time.Second     // for one controller of a cell
	callTimeout    = 3 * time.Second // for all of them
	MaxBodyBytes   = 1 << 20
)

// Client sends messages to other cells.
type Client struct {
	self  cells.Cell
	http  *http.Client
	mu    sync.Mutex
	peers map[cells.Cell][]string // the address first that answered last
}

// NewClient returns a client of the cells that the settings name.
func NewClient(settings *config.Cell) *Client {
	c := &Client{self: cells.Cell(settings.Name), peers: map[cells.Cell][]string{},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second}}}
	for _, p := range settings.Peers {
		c.peers[cells.Cell(p.Name)] = p.Addresses
	}
	return c
}

// Call asks the controllers of a cell in turn, until one that leads has answered.
func (c *Client) Call(call controller.CellCall) controller.CellReply {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	body, err := proto.Marshal(&Request{From: string(c.self), Floor: uint64(call.Floor), Messages: encodeMessages(call.Messages), Challenge: uint64(call.Challenge)})
	if err != nil {
		return controller.CellReply{ID: call.ID}
	}
	for i, address := range c.addresses(call.To) {
		reply, err := c.post(ctx, address, body)
		if err != nil {
			continue // the next controller may lead; without an answer the core asks again later
		}
		messages, err := decodeMessages(reply.Messages, call.To, c.self)
		if err != nil {
			continue
		}
		c.prefer(call.To, i)
		return controller.CellReply{ID: call.ID, OK: true, Messages: messages, Room: reply.Room, Challenge: cells.Challenge(reply.Challenge)}
	}
	return controller.CellReply{ID: call.ID}
}

func (c *Client) addresses(cell cells.Cell) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.peers[cell]...)
}

// prefer has the address come first that has answered.
func (c *Client) prefer(cell cells.Cell, i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := append([]string(nil), c.peers[cell]...)
	list[0], list[i] = list[i], list[0]
	c.peers[cell] = list
}

var errNotLeading = errors.New("does not lead")

func (c *Client) post(ctx context.Context, address string, body []byte) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+cells.MessagesPath, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("ask cell at %s: %w", address, err)
	}
	req.GetBody = nil // a copy that the core doesn't know of is never sent
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask cell at %s: %w", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("cell at %s: %w", address, errNotLeading)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("answer of cell at %s: %w", address, err)
	}
	reply := &Reply{}
	if err := proto.Unmarshal(raw, reply); err != nil {
		return nil, fmt.Errorf("answer of cell at %s: %w", address, err)
	}
	return reply, nil
}

// ReadRequest reads a request that has come from another cell.
func ReadRequest(body io.Reader, self cells.Cell) (controller.CellRequest, error) {
	raw, err := io.ReadAll(io.LimitReader(body, MaxBodyBytes))
	if err != nil {
		return controller.CellRequest{}, fmt.Errorf("read request of a cell: %w", err)
	}
	request := &Request{}
	if err := proto.Unmarshal(raw, request); err != nil {
		return controller.CellRequest{}, fmt.Errorf("read request of a cell: %w", err)
	}
	from := cells.Cell(request.From)
	messages, err := decodeMessages(request.Messages, from, self)
	return controller.CellRequest{From: from, Floor: cells.Epoch(request.Floor), Messages: messages, Challenge: cells.Challenge(request.Challenge)}, err
}

// WriteAnswer spells the answer to another cell.
func WriteAnswer(a controller.CellAnswer) ([]byte, error) {
	raw, err := proto.Marshal(&Reply{Messages: encodeMessages(a.Messages), Room: a.Room, Challenge: uint64(a.Challenge)})
	if err != nil {
		return nil, fmt.Errorf("answer a cell: %w", err)
	}
	return raw, nil
}
