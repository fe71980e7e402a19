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

// Timeouts and limits of the calls between cells.
const (
	addressTimeout = time.Second     // for a call to one controller of a cell
	callTimeout    = 3 * time.Second // for the calls to all controllers of a cell together
	MaxBodyBytes   = 1 << 20         // largest request or answer body that is read
)

// Client calls the controllers of other cells.
type Client struct {
	self  cells.Cell
	http  *http.Client
	mu    sync.Mutex
	peers map[cells.Cell][]string // addresses of a cell's controllers, the one that answered last first
}

// NewClient returns a client for the peer cells in the settings.
func NewClient(settings *config.Cell) *Client {
	c := &Client{self: cells.Cell(settings.Name), peers: map[cells.Cell][]string{},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second}}}
	for _, p := range settings.Peers {
		c.peers[cells.Cell(p.Name)] = p.Addresses
	}
	return c
}

// Call sends the call to the controllers of a cell in turn, until the leader answers or the call times out.
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
			continue // the next controller may be the leader; without any answer the controller core calls again later
		}
		messages, err := decodeMessages(reply.Messages, call.To, c.self)
		if err != nil {
			continue
		}
		c.prefer(call.To, i)
		return controller.CellReply{ID: call.ID, OK: true, Messages: messages, AvailableCores: reply.Room, Challenge: cells.Challenge(reply.Challenge)}
	}
	return controller.CellReply{ID: call.ID}
}

// addresses returns a copy of a cell's controller addresses.
func (c *Client) addresses(cell cells.Cell) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.peers[cell]...)
}

// prefer swaps the address at index i, which has answered, with the first, so that the next call tries it first.
func (c *Client) prefer(cell cells.Cell, i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := append([]string(nil), c.peers[cell]...)
	list[0], list[i] = list[i], list[0]
	c.peers[cell] = list
}

// errRejected is the error for a response with another status than 200: the controller is not the leader, or it rejects
// the request because the request is malformed, beyond the rate limit or from a cell that is not one of its peers, or
// because the controller is overloaded.
var errRejected = errors.New("not the leader, or request rejected")

// post sends an encoded request to one controller and decodes its reply.
func (c *Client) post(ctx context.Context, address string, body []byte) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+cells.MessagesPath, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("call cell at %s: %w", address, err)
	}
	req.GetBody = nil // the HTTP client must not resend the request: the controller core would not know of the copy
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("call cell at %s: %w", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("cell at %s: %w", address, errRejected)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("read answer of cell at %s: %w", address, err)
	}
	reply := &Reply{}
	if err := proto.Unmarshal(raw, reply); err != nil {
		return nil, fmt.Errorf("read answer of cell at %s: %w", address, err)
	}
	return reply, nil
}

// ReadRequest reads and decodes a request from another cell to this one, self.
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

// EncodeAnswer encodes the answer to another cell.
func EncodeAnswer(a controller.CellAnswer) ([]byte, error) {
	raw, err := proto.Marshal(&Reply{Messages: encodeMessages(a.Messages), Room: a.AvailableCores, Challenge: uint64(a.Challenge)})
	if err != nil {
		return nil, fmt.Errorf("encode answer to a cell: %w", err)
	}
	return raw, nil
}
