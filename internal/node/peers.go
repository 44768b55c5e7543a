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

	"skylarkport/internal/ingress"
	"skylarkport/internal/pause"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

const (
	// pingInterval is the mean interval between rounds of pings.
	pingInterval = 400 * time.Millisecond
	// pingTimeout bounds a ping. Healthy peers answer within milliseconds.
	pingTimeout = 700 * time.Millisecond
	// aliveTimeout is how long a peer counts as alive after its last ping or reply.
	aliveTimeout = 1200 * time.Millisecond
	// maxPingTargets bounds the peers that one round pings in a large deployment. The
	// owners of shards are pinged in addition.
	maxPingTargets = 8
	// maxSilentTargets is how many of them may be peers that have sent nothing for silentPeerAfter and are
	// probably gone.
	maxSilentTargets = 2
	silentPeerAfter  = time.Minute
	// lingerTime is how long a connection on which a ping was not answered stays open for the
	// calls that are in flight on it.
	lingerTime = 3 * time.Second
	// dialTimeout bounds the time to connect to a peer.
	dialTimeout = 600 * time.Millisecond
	// peerWriteTimeout bounds the write of a message to a peer that has opened the connection.
	peerWriteTimeout = 5 * time.Second
)

// peer holds the latest report of another instance and the connection to it.
type peer struct {
	Instance
	discoveredAt  time.Time
	entryVersion  int64     // of its entry in the store, as last read
	entryReadAt   time.Time // when the entry was first read in this version
	lastMessageAt time.Time // last ping or reply
	aliveSince    time.Time // start of the current period without a gap of aliveTimeout
	storeOK       bool
	leaving       bool
	config        int64
	owned         []OwnedShard

	mu   sync.Mutex
	conn *jsonrpc2.Conn
}

// peersPerSocket bounds the known instances as a multiple of those that may be connected at a time.
const peersPerSocket = 4

// peers holds the other known instances.
type peers struct {
	node *Node
	most int // known instances

	mu        sync.Mutex
	byName    map[string]*peer
	changedAt time.Time // when a peer last started or began to leave
}

func newPeers(n *Node) *peers {
	most := peersPerSocket * n.machine.Peers().Holders
	return &peers{node: n, most: most, byName: map[string]*peer{}, changedAt: time.Now()}
}

// update adds a peer or replaces it by a newer incarnation, and returns the entry with
// the highest known incarnation. It returns nil for this instance itself, and for an unknown one if there are too many.
func (p *peers) update(i Instance) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i.Name == p.node.self.Name {
		return nil
	}
	known := p.byName[i.Name]
	if known != nil && known.Incarnation > i.Incarnation {
		return known
	}
	if known == nil && len(p.byName) >= p.most {
		return nil
	}
	if known == nil || known.Incarnation < i.Incarnation || known.Control != i.Control {
		if known != nil {
			known.close()
		}
		logger.WithField("peer", i.Name).WithField("life", i.Incarnation).Info("peer discovered")
		known = &peer{Instance: i, discoveredAt: time.Now()}
		p.byName[i.Name] = known
		p.changedAt = time.Now()
	}
	known.Offset = i.Offset
	return known
}

// observe records a received ping or the reply to one.
func (p *peers) observe(m *Ping) {
	if m.Layout != nil && m.Layout.Validate() == nil {
		p.node.peerLayout.CompareAndSwap(nil, m.Layout)
	}
	known := p.update(m.From)
	if known == nil || known.Incarnation > m.From.Incarnation {
		return
	}
	p.mu.Lock()
	now := time.Now()
	if now.Sub(known.lastMessageAt) > aliveTimeout {
		known.aliveSince = now
	}
	if m.Leaving && !known.leaving {
		p.changedAt = now
	}
	known.lastMessageAt, known.storeOK, known.leaving = now, m.StoreOK, m.Leaving
	known.config, known.owned = m.ConfigVersion, m.OwnedShards
	p.mu.Unlock()
	p.node.owners.observe(m.OwnedShards)
	p.node.configs.scheduleFetchIfNewer(m.ConfigVersion, m.From.Name)
}

// instances lists the known instances except this one.
func (p *peers) instances() []Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Instance, 0, len(p.byName))
	for _, pr := range p.byName {
		out = append(out, pr.Instance)
	}
	return out
}

// live reports whether the instance has sent a message within aliveTimeout, what it last
// reported, and for how long it has been alive.
func (p *peers) live(name string) (storeOK, leaving bool, since time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr := p.byName[name]
	if pr == nil || !pr.aliveLocked() {
		return false, false, 0, false
	}
	return pr.storeOK, pr.leaving, time.Since(pr.aliveSince), true
}

// withoutLoans names a live peer that does not know loans of such a step, or returns "".
func (p *peers) withoutLoans(st *workload.Step) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, pr := range p.byName {
		if knows := pr.Loans && (st.LongRunning || pr.AnyLoans) && (!st.Gang || pr.GangLoans); pr.aliveLocked() && !knows {
			return name
		}
	}
	return ""
}

// aliveLocked reports whether the peer has sent a message within aliveTimeout. The caller
// holds the lock of peers.
func (pr *peer) aliveLocked() bool { return time.Since(pr.lastMessageAt) <= aliveTimeout }

// owns reports whether the instance's latest ping claims the ownership of a shard with
// that epoch or a higher one.
func (p *peers) owns(name, shard string, epoch int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr := p.byName[name]
	return pr != nil && slices.ContainsFunc(pr.owned, func(s OwnedShard) bool { return s.Shard == shard && s.Epoch >= epoch })
}

// owned returns the shards that an instance's latest ping lists.
func (p *peers) owned(name string) []OwnedShard {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pr := p.byName[name]; pr != nil {
		return pr.owned
	}
	return nil
}

// calmFor returns for how long no peer has started or begun to leave.
func (p *peers) calmFor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.changedAt)
}

// incarnation returns the latest known incarnation of an instance, or 0.
func (p *peers) incarnation(name string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pr := p.byName[name]; pr != nil {
		return pr.Incarnation
	}
	return 0
}

// run pings peers in rounds until ctx ends.
func (p *peers) run(ctx context.Context) error {
	for pause.For(ctx, pingInterval*3/4+rand.N(pingInterval/2)) {
		p.pingRound(ctx)
	}
	return nil
}

// pingRound starts a ping to each of the round's targets and does not wait for replies.
func (p *peers) pingRound(ctx context.Context) {
	owners := p.node.owners.knownOwnerNames()
	for _, w := range p.pingTargets(owners) {
		go p.ping(ctx, w, slices.Contains(owners, w.Name))
	}
}

// pingTargets returns the peers to ping in one round: all of them in a small deployment,
// otherwise maxPingTargets random ones, the own zone's first and few that are probably gone, and all owners
// of shards, whose names are given.
func (p *peers) pingTargets(owners []string) []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*peer, 0, len(p.byName))
	for _, pr := range p.byName {
		all = append(all, pr)
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if len(all) <= maxPingTargets {
		return all
	}
	sameZone := func(pr *peer) bool { return pr.Zone == p.node.self.Zone }
	slices.SortStableFunc(all, func(a, b *peer) int {
		if sameZone(a) == sameZone(b) {
			return 0
		}
		if sameZone(a) {
			return -1
		}
		return 1
	})
	all = silentLast(all)
	out := all[:maxPingTargets:maxPingTargets]
	for _, pr := range all[maxPingTargets:] {
		if slices.Contains(owners, pr.Name) {
			out = append(out, pr)
		}
	}
	return out
}

// silentLast moves all but maxSilentTargets of the peers that are probably gone behind the others. The caller
// holds the lock of peers.
func silentLast(all []*peer) []*peer {
	var first, last []*peer
	silent := 0
	for _, pr := range all {
		if time.Since(pr.lastHeard()) > silentPeerAfter {
			if silent++; silent > maxSilentTargets {
				last = append(last, pr)
				continue
			}
		}
		first = append(first, pr)
	}
	return append(first, last...)
}

func (p *peers) ping(ctx context.Context, pr *peer, toOwner bool) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var reply Ping
	if err := p.callPeer(ctx, pr, methodPing, p.node.selfPing(toOwner), &reply); err != nil {
		return // a peer without replies counts as dead after aliveTimeout
	}
	p.observe(&reply)
}

// announce sends this instance's state to the peers at once, without waiting for the
// next round.
func (p *peers) announce(ctx context.Context) { p.pingRound(ctx) }

// pingSeeds pings the seed addresses of the settings, so that an instance finds peers
// even if it cannot read the store.
func (p *peers) pingSeeds(ctx context.Context) {
	for _, a := range *p.node.seeds.Load() {
		if a == p.node.self.Control {
			continue
		}
		go func() {
			pr := &peer{Instance: Instance{Name: "seed " + a, Control: a}}
			defer pr.close() // the instance that answers has an entry and a connection of its own
			p.ping(ctx, pr, false)
		}()
	}
}

// requestLayout pings the seeds and peers, whose pings carry the layout, and returns
// the layout received so far, or nil.
func (p *peers) requestLayout(ctx context.Context) *Layout {
	p.pingSeeds(ctx)
	p.pingRound(ctx)
	return p.node.peerLayout.Load()
}

// callPeer calls a method of a peer. With the error code PeerUnavailable the call had no
// effect; with any other it may have had one.
func (p *peers) callPeer(ctx context.Context, pr *peer, method string, in, out any) error {
	conn, err := p.connect(ctx, pr)
	if err != nil {
		return result.Wrap(result.PeerUnavailable, err, pr.Name)
	}
	err = conn.Call(ctx, method, in, out)
	if err == nil {
		return nil
	}
	// Calls share the connection. A caller that cancels or times out does not show that it is
	// broken; an unanswered ping does, or that the link is full.
	switch {
	case !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded):
		pr.dropConn(conn, 0)
	case method == methodPing:
		pr.dropConn(conn, lingerTime)
	}
	return result.Wrap(result.OutcomeUnknown, err, pr.Name)
}

// call calls a method of the instance with the given control address.
func (p *peers) call(ctx context.Context, control, method string, in, out any) error {
	p.mu.Lock()
	var pr *peer
	for _, known := range p.byName {
		if known.Control == control {
			pr = known
		}
	}
	p.mu.Unlock()
	if pr == nil {
		return p.callOnce(ctx, control, method, in, out)
	}
	return p.callPeer(ctx, pr, method, in, out)
}

// callOnce calls a method of the instance with the given control address on a connection of
// its own.
func (p *peers) callOnce(ctx context.Context, control, method string, in, out any) error {
	pr := &peer{Instance: Instance{Name: control, Control: control}}
	defer pr.close()
	return p.callPeer(ctx, pr, method, in, out)
}

func (p *peers) connect(ctx context.Context, pr *peer) (*jsonrpc2.Conn, error) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.conn != nil {
		select {
		case <-pr.conn.DisconnectNotify():
		default:
			return pr.conn, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := new(net.Dialer).DialContext(ctx, "tcp", pr.Control)
	if err != nil {
		return nil, err
	}
	pr.conn = p.node.serveConn(c)
	return pr.conn, nil
}

// dropConn gives up a connection that failed or did not answer in time, as it may be half open. It is
// closed after linger: until then, calls in flight may still be answered.
func (pr *peer) dropConn(conn *jsonrpc2.Conn, linger time.Duration) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.conn == conn {
		pr.conn = nil
	}
	if linger == 0 {
		closeConn(conn)
		return
	}
	time.AfterFunc(linger, func() { closeConn(conn) })
}

func (pr *peer) close() {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.conn != nil {
		closeConn(pr.conn)
		pr.conn = nil
	}
}

func closeConn(conn *jsonrpc2.Conn) {
	if err := conn.Close(); err != nil && err != jsonrpc2.ErrClosed {
		logger.WithError(err).Debug("connection closed with an error")
	}
}

// peerLimits returns the bounds on a peer's connection. It stays open while no message comes; a peer that does not
// read is given up after peerWriteTimeout.
func peerLimits() ingress.Limits { return ingress.Limits{WriteTimeout: peerWriteTimeout} }

// serveConn starts JSON-RPC on c for calls in both directions. The calls of a peer that has opened the connection
// are bounded.
func (n *Node) serveConn(c net.Conn) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(c, jsonrpc2.VarintObjectCodec{})
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(n.handle))
	if accepted, ok := c.(*ingress.Conn); ok {
		stream, handler = accepted.Stream(stream), accepted.Calls(jsonrpc2.HandlerWithError(n.handle))
	}
	return jsonrpc2.NewConn(n.ctx, stream, handler, jsonrpc2.SetLogger(discardLogger{}))
}

// discardLogger drops the jsonrpc2 package's own log lines; failed calls return errors.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}

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
			logger.WithError(err).Warn("accepting a peer's connection failed")
			pause.For(ctx, retryPause)
			continue
		}
		n.serveConn(c)
	}
}

// handle serves one request of a peer.
func (n *Node) handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	switch r.Method {
	case methodPing:
		return handleWith(r, func(m *Ping) *Ping {
			n.peers.observe(m)
			return n.replyToPing(m)
		})
	case methodConfig:
		return handleWith(r, func(m *ConfigRequest) ConfigReply { return n.configs.reply(m) })
	case methodSubmit:
		return handleWith(r, func(m *SubmitRequest) Outcome { return outcomeOf(n.submitLocal(ctx, m)) })
	case methodState:
		return handleWith(r, func(m *JobRequest) JobReply { return n.stateLocal(ctx, m) })
	case methodCancel:
		return handleWith(r, func(m *JobRequest) JobReply { return n.cancelLocal(ctx, m) })
	case methodPending:
		return PendingReply{Shards: n.owners.pending()}, nil
	case methodEstimates:
		return handleWith(r, func(m *EstimatesRequest) EstimatesReply { return n.owners.interferenceEstimates(m.Shard) })
	case methodReturn:
		return handleWith(r, func(m *ReturnRequest) Outcome { return outcomeOf(n.returnLocal(ctx, m)) })
	case methodPrepare:
		return handleWith(r, func(m *PrepareRequest) PrepareReply {
			version, err := n.owners.prepare(ctx, m.Shard)
			return PrepareReply{Outcome: outcomeOf(err), Version: version}
		})
	case methodExplain:
		return handleWith(r, func(m *ExplainRequest) ExplainReply { return n.explain(ctx, m) })
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
