package link

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"skylarkport/internal/result"
)

// refusePause leaves the peer time to read why it was refused.
const refusePause = 500 * time.Millisecond

// introduce is the dialing side of the greeting.
func (c *Conn) introduce(ctx context.Context) error {
	if err := c.verifyChain(); err != nil {
		c.refuse(err)
		return err
	}
	var peer Hello
	if err := c.Call(ctx, helloMethod, c.endpoint.cfg.Self, &peer); err != nil {
		return err
	}
	if err := c.verifyHello(peer); err != nil {
		c.refuse(err)
		return err
	}
	c.open(peer)
	return c.Notify(readyMethod, nil)
}

// open makes the connection known to the endpoint's handler.
func (c *Conn) open(peer Hello) {
	c.peer.Store(&peer)
	c.endpoint.opened(c)
}

// greet is the accepting side of the greeting.
func (c *Conn) greet(ctx context.Context, id jsonrpc2.ID, params json.RawMessage) {
	var peer Hello
	err := c.verifyChain()
	if err == nil {
		err = json.Unmarshal(params, &peer)
	}
	if err == nil {
		err = c.verifyHello(peer)
	}
	if err != nil {
		logger.WithError(err).WithField("peer", c.raw.RemoteAddr()).Warn("a peer was refused")
		c.answer(ctx, id, nil, err)
		c.closeSoon()
		return
	}
	c.greeted.Store(&peer)
	c.answer(ctx, id, c.endpoint.cfg.Self, nil)
}

func (c *Conn) verifyChain() error {
	if c.endpoint.cfg.Keys == nil {
		return nil
	}
	_, err := c.endpoint.cfg.Keys.verify(c.chain)
	return err
}

// verifyHello compares what the peer says with its certificate.
func (c *Conn) verifyHello(peer Hello) error {
	self := c.endpoint.cfg.Self
	if peer.Deployment != self.Deployment {
		return result.Errorf(result.PeerDeployment, "the peer belongs to %q, not to %q", peer.Deployment, self.Deployment)
	}
	if c.endpoint.cfg.Keys == nil {
		return nil
	}
	if id, _ := IdentityOf(c.chain[0]); id != peer.Identity {
		return result.Errorf(result.PeerRefused, "the peer says %s, its certificate %s", peer.URI(), id.URI())
	}
	return nil
}

// refuse tells the peer why and closes the connection.
func (c *Conn) refuse(err error) {
	logger.WithError(err).WithField("peer", c.raw.RemoteAddr()).Warn("a peer was refused")
	_ = c.Notify(refuseMethod, refusal{Code: result.Of(err), Detail: detailOf(err)})
	c.closeSoon()
}

// refused reports why the peer closes the connection.
func (c *Conn) refused(params json.RawMessage) {
	var r refusal
	if err := json.Unmarshal(params, &r); err != nil {
		r.Detail = err.Error()
	}
	err := result.Errorf(r.Code, "%s", r.Detail)
	logger.WithError(err).WithField("peer", c.raw.RemoteAddr()).Warn("the peer refused this process")
	go c.Close()
}

func (c *Conn) closeSoon() { time.AfterFunc(refusePause, c.Close) }
