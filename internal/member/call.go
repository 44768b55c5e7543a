package member

import (
	"context"
	"time"

	"skylarkport/internal/link"
	"skylarkport/internal/result"
)

// callTimeout limits a call whose context has no deadline.
const callTimeout = 5 * time.Second

// Call implements Group. It may call any peer of the view, also a peer of another
// zone to which this process sends no heartbeats; it then opens a connection.
func (m *Membership) Call(ctx context.Context, peerID, method string, params, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	c, err := m.connect(ctx, peerID)
	if err != nil {
		return err
	}
	return c.Call(ctx, method, params, reply)
}

// connect returns an open connection to the peer, a new one if there is none.
func (m *Membership) connect(ctx context.Context, peerID string) (*link.Conn, error) {
	m.mu.Lock()
	p := m.peers[peerID]
	if p == nil {
		m.mu.Unlock()
		return nil, result.Errorf(result.PeerUnknown, "no peer %q in the membership view", peerID)
	}
	p.lastUsed = m.now()
	c, address := p.conn(), p.Address
	m.mu.Unlock()
	if c != nil {
		return c, nil
	}
	c, err := m.endpoint.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if got := c.Peer(); PeerID(got.Instance, Program(got.Program)) != peerID {
		return nil, result.Errorf(result.PeerUnavailable, "another process listens at %s", address)
	}
	return c, nil
}
