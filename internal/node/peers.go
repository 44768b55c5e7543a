package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"skylarkport/internal/pause"
	"skylarkport/internal/result"
)

const (
	// pingInterval is how often an instance pings the peers that it watches.
	pingInterval = 400 * time.Millisecond
	// pingTimeout bounds a ping; peers answer within milliseconds.
	pingTimeout = 700 * time.Millisecond
	// aliveFor is how long a peer counts as alive after it was heard.
	aliveFor = 1200 * time.Millisecond
	// watchedPeers bounds the pings of one round in a large installation; the
	// owners of shards come on top.
	watchedPeers = 8
	// dialTimeout bounds the opening of a connection to a peer.
	dialTimeout = 600 * time.Millisecond
)

// peer is another instance.
type peer struct {
	Instance
	heard     time.Time // last ping or answer
	firstLive time.Time // since when it is heard without a gap
	storeOK   bool
	leaving   bool
	config    int64
	owned     []Owned

	mu   sync.Mutex
	conn *jsonrpc2.Conn
}

// peers is what is known of the other instances.
type peers struct {
	node *Node

	mu     sync.Mutex
	byName map[string]*peer
}

func newPeers(n *Node) *peers { return &peers{node: n, byName: map[string]*peer{}} }

// learn adds or renews an instance that was read or heard of.
func (p *peers) learn(i Instance) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i.Name == p.node.self.Name {
		return nil
	}
	known := p.byName[i.Name]
	if known != nil && known.Life > i.Life {
		return known
	}
	if known == nil || known.Life < i.Life || known.Control != i.Control {
		if known != nil {
			known.close()
		}
		logger.WithField("peer", i.Name).WithField("life", i.Life).Info("peer learned")
		known = &peer{Instance: i}
		p.byName[i.Name] = known
	}
	known.Offset = i.Offset
	return known
}

// saw takes in a ping or its answer.
func (p *peers) saw(m *Ping) {
	known := p.learn(m.From)
	if known == nil || known.Life > m.From.Life {
		return
	}
	p.mu.Lock()
	now := time.Now()
	if now.Sub(known.heard) > aliveFor {
		known.firstLive = now
	}
	known.heard, known.storeOK, known.leaving = now, m.StoreOK, m.Leaving
	known.config, known.owned = m.ConfigVersion, m.Owned
	p.mu.Unlock()
	p.node.owners.saw(m.Owned)
	p.node.configs.heardOf(m.ConfigVersion, m.From.Name)
}

// instances lists the known instances, without this one.
func (p *peers) instances() []Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Instance, 0, len(p.byName))
	for _, k := range p.byName {
		out = append(out, k.Instance)
	}
	return out
}

// live reports whether the instance was heard of late, and what it said.
func (p *peers) live(name string) (storeOK, leaving bool, since time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.byName[name]
	if k == nil || time.Since(k.heard) > aliveFor {
		return false, false, 0, false
	}
	return k.storeOK, k.leaving, time.Since(k.firstLive), true
}

// owns reports whether the instance's newest word names it as the owner of a shard
// under that epoch or a higher one.
func (p *peers) owns(name, shard string, epoch int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.byName[name]
	return k != nil && slices.ContainsFunc(k.owned, func(w Owned) bool { return w.Shard == shard && w.Epoch >= epoch })
}

// life is the newest known life of an instance.
func (p *peers) life(name string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k := p.byName[name]; k != nil {
		return k.Life
	}
	return 0
}

// run pings the watched peers until ctx ends.
func (p *peers) run(ctx context.Context) error {
	for pause.For(ctx, pingInterval*3/4+rand.N(pingInterval/2)) {
		p.round(ctx)
	}
	return nil
}

// round pings the watched peers once, without waiting for them.
func (p *peers) round(ctx context.Context) {
	for _, w := range p.watched() {
		go p.ping(ctx, w)
	}
}

// watched chooses the peers to ping: those of the own zone, owners, and some others.
func (p *peers) watched() []*peer {
	owners := p.node.owners.names()
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*peer, 0, len(p.byName))
	for _, k := range p.byName {
		all = append(all, k)
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if len(all) <= watchedPeers {
		return all
	}
	near := func(k *peer) bool { return k.Zone == p.node.self.Zone }
	slices.SortStableFunc(all, func(a, b *peer) int {
		if near(a) == near(b) {
			return 0
		}
		if near(a) {
			return -1
		}
		return 1
	})
	out := all[:watchedPeers:watchedPeers]
	for _, k := range all[watchedPeers:] {
		if slices.Contains(owners, k.Name) {
			out = append(out, k)
		}
	}
	return out
}

func (p *peers) ping(ctx context.Context, k *peer) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var answer Ping
	if err := p.callPeer(ctx, k, methodPing, p.node.tell(), &answer); err != nil {
		return // silence is what makes a peer count as gone
	}
	p.saw(&answer)
}

// announce tells every known peer at once.
func (p *peers) announce(ctx context.Context) { p.round(ctx) }

// seed pings addresses of the settings, for an instance that cannot read the store.
func (p *peers) seed(ctx context.Context) {
	for _, a := range p.node.settings.Seeds {
		if a == p.node.self.Control {
			continue
		}
		go p.ping(ctx, &peer{Instance: Instance{Name: "seed " + a, Control: a}})
	}
}

// layout asks the seeds and peers for the layout.
func (p *peers) layout(ctx context.Context) *Layout {
	p.seed(ctx)
	p.round(ctx)
	return p.node.heardLayout.Load()
}

// callPeer calls a method of a peer. An error with a code other than PeerAway
// leaves open whether the call had an effect.
func (p *peers) callPeer(ctx context.Context, k *peer, method string, in, out any) error {
	conn, err := p.connect(ctx, k)
	if err != nil {
		return result.Wrap(result.PeerAway, err, k.Name)
	}
	err = conn.Call(ctx, method, in, out)
	if err == nil {
		return nil
	}
	if method == methodPing || !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) {
		// Calls share the connection: a caller that leaves or waits too long says
		// nothing about it, an unanswered ping does.
		k.drop(conn)
	}
	return result.Wrap(result.OutcomeUnknown, err, k.Name)
}

// call calls a method of the instance at a control address.
func (p *peers) call(ctx context.Context, control, method string, in, out any) error {
	p.mu.Lock()
	var k *peer
	for _, known := range p.byName {
		if known.Control == control {
			k = known
		}
	}
	p.mu.Unlock()
	if k == nil {
		k = &peer{Instance: Instance{Name: control, Control: control}}
		defer k.close()
	}
	return p.callPeer(ctx, k, method, in, out)
}

func (p *peers) connect(ctx context.Context, k *peer) (*jsonrpc2.Conn, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conn != nil {
		select {
		case <-k.conn.DisconnectNotify():
		default:
			return k.conn, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := new(net.Dialer).DialContext(ctx, "tcp", k.Control)
	if err != nil {
		return nil, err
	}
	k.conn = p.node.serveConn(c)
	return k.conn, nil
}

// drop closes a connection that did not answer in time; it may be half open.
func (k *peer) drop(conn *jsonrpc2.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conn == conn {
		k.conn = nil
	}
	closeConn(conn)
}

func (k *peer) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conn != nil {
		closeConn(k.conn)
		k.conn = nil
	}
}

func closeConn(conn *jsonrpc2.Conn) {
	if err := conn.Close(); err != nil && err != jsonrpc2.ErrClosed {
		logger.WithError(err).Debug("connection closed with an error")
	}
}

// serveConn speaks jsonrpc2 on c, in both directions.
func (n *Node) serveConn(c net.Conn) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(c, jsonrpc2.VarintObjectCodec{})
	return jsonrpc2.NewConn(n.ctx, stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(n.handle)), jsonrpc2.SetLogger(quiet{}))
}

// quiet drops the library's own log lines; failed calls return errors.
type quiet struct{}

// Printf implements jsonrpc2.Logger.
func (quiet) Printf(string, ...any) {}

// listenPeers accepts peers' connections until ctx ends.
func (n *Node) listenPeers(ctx context.Context, l net.Listener) error {
	context.AfterFunc(ctx, func() { _ = l.Close() }) // ends Accept below
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if strings.Contains(err.Error(), "use of closed") {
				return err
			}
			logger.WithError(err).Warn("a peer's connection was not accepted")
			pause.For(ctx, retryPause)
			continue
		}
		n.serveConn(c)
	}
}

// handle answers a peer.
func (n *Node) handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	switch r.Method {
	case methodPing:
		return handleWith(r, func(m *Ping) *Ping {
			n.peers.saw(m)
			if m.Layout != nil {
				n.heardLayout.CompareAndSwap(nil, m.Layout)
			}
			return n.tell()
		})
	case methodConfig:
		return n.configs.reply(), nil
	case methodSubmit:
		return handleWith(r, func(m *SubmitRequest) Outcome { return outcomeOf(n.submitHere(ctx, m)) })
	case methodState:
		return handleWith(r, func(m *JobRequest) JobReply { return n.stateHere(ctx, m) })
	case methodCancel:
		return handleWith(r, func(m *JobRequest) JobReply { return n.cancelHere(ctx, m) })
	case methodPending:
		return PendingReply{Shards: n.owners.pending()}, nil
	case methodLessons:
		return handleWith(r, func(m *LessonsRequest) LessonsReply { return n.owners.lessons(m.Shard) })
	case methodClaim:
		return handleWith(r, func(m *ClaimRequest) Outcome { return outcomeOf(n.owners.claim(ctx, m)) })
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
}

// handleWith decodes a request's parameters and calls f.
func handleWith[In any, Out any](r *jsonrpc2.Request, f func(*In) Out) (any, error) {
	in := new(In)
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	if err := json.Unmarshal(*r.Params, in); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return f(in), nil
}
