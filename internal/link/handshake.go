package link

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"skylarkport/internal/result"
)

// refusalDelay is the time between a refusal and the closing of the connection, so
// that the peer can read the reason.
const refusalDelay = 500 * time.Millisecond

// dialerHandshake establishes the connection on the dialing side: it verifies the peer's
// certificate, exchanges Hello messages and confirms with readyMethod.
func (c *Conn) dialerHandshake(ctx context.Context) error {
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
	c.establish(peer)
	return c.Notify(readyMethod, nil)
}

// establish marks the connection as established with peer and registers it.
func (c *Conn) establish(peer Hello) {
	c.peer.Store(&peer)
	c.endpoint.register(c)
}

// handleHello handles the Hello of the dialing side: it verifies the peer and
// answers with its own Hello. The connection is established when readyMethod
// arrives.
func (c *Conn) handleHello(ctx context.Context, id jsonrpc2.ID, params json.RawMessage) {
	var peer Hello
	err := c.verifyChain()
	if err == nil {
		err = json.Unmarshal(params, &peer)
	}
	if err == nil {
		err = c.verifyHello(peer)
	}
	if err != nil {
		logger.WithError(err).WithField("peer", c.raw.RemoteAddr()).Warn("refused the peer's connection")
		c.respond(ctx, id, nil, err)
		c.closeAfterRefusal()
		return
	}
	c.helloReceived.Store(&peer)
	c.respond(ctx, id, c.endpoint.cfg.Self, nil)
}

// verifyChain verifies the peer's certificate, unless the connection has no TLS.
func (c *Conn) verifyChain() error {
	if c.endpoint.cfg.Keys == nil {
		return nil
	}
	_, err := c.endpoint.cfg.Keys.verify(c.peerChain)
	return err
}

// verifyHello checks that the peer belongs to the same deployment and that its Hello
// has the identity in its certificate.
func (c *Conn) verifyHello(peer Hello) error {
	self := c.endpoint.cfg.Self
	if peer.Deployment != self.Deployment {
		return result.Errorf(result.PeerDeployment, "the peer belongs to deployment %q, not to %q", peer.Deployment, self.Deployment)
	}
	if c.endpoint.cfg.Keys == nil {
		return nil
	}
	if id, _ := CertificateIdentity(c.peerChain[0]); id != peer.Identity {
		return result.Errorf(result.PeerRefused, "the peer identifies itself as %s, but its certificate names %s", peer.URI(), id.URI())
	}
	return nil
}

// refuse sends the peer the reason err and closes the connection.
func (c *Conn) refuse(err error) {
	logger.WithError(err).WithField("peer", c.raw.RemoteAddr()).Warn("refused the peer's connection")
	_ = c.Notify(refuseMethod, refusal{Code: result.Of(err), Detail: errorDetail(err)})
	c.closeAfterRefusal()
}

// handleRefusal logs the reason for which the peer refuses this process and closes the
// connection.
func (c *Conn) handleRefusal(params json.RawMessage) {
	var r refusal
	if err := json.Unmarshal(params, &r); err != nil {
		r.Detail = err.Error()
	}
	err := result.Errorf(r.Code, "%s", r.Detail)
	logger.WithError(err).WithField("peer", c.raw.RemoteAddr()).Warn("peer refused the connection")
	go c.Close()
}

// closeAfterRefusal closes the connection after refusalDelay.
func (c *Conn) closeAfterRefusal() { time.AfterFunc(refusalDelay, c.Close) }
