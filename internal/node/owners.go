package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkport/internal/contract"
	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/dispatch"
	"skylarkport/internal/pause"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

const (
	// ownerCheck is how often ownership is looked at.
	ownerCheck = 100 * time.Millisecond
	// Pauses before an instance takes over a shard, by the reason, and more for
	// each better candidate.
	unownedPause = 300 * time.Millisecond
	silentPause  = 700 * time.Millisecond
	ailingPause  = 900 * time.Millisecond
	rankPause    = 500 * time.Millisecond
	// homePause is how long a better candidate has to be alive until the owner
	// hands a shard over to it.
	homePause = 4 * time.Second
	// drainTimeout bounds the wait for decisions to become durable at a handover.
	drainTimeout = 1200 * time.Millisecond
	// claimTimeout bounds a handover's call.
	claimTimeout = 900 * time.Millisecond
	// storeTimeout bounds a read or write of a single row.
	storeTimeout = 800 * time.Millisecond
	// retryPause is the pause between tries of what cannot fail for good.
	retryPause = 150 * time.Millisecond
)

// ownerRow is the value of a shard's owner row.
type ownerRow struct {
	Owner   string `json:"owner"`
	Control string `json:"control"`
	Life    int64  `json:"life"`
	Epoch   int64  `json:"epoch"`
}

// ownership is what is known of one shard.
type ownership struct {
	name     string
	known    Owned     // newest that was heard of or read; Epoch 0 for none
	heard    time.Time // when its owner last told of it
	shard    *dispatch.Shard
	version  int64         // of the owner row, while this instance owns the shard
	stop     func()        // ends the shard
	done     chan struct{} // closed when the shard has ended
	badSince time.Time     // since when the owner seems gone
	beat     int64         // version of the beat row when it was first looked at
	busy     bool          // a takeover or handover is under way
	handover time.Time     // last attempt to hand the shard over
}

// owners manages the ownership of all shards.
type owners struct {
	node *Node

	mu     sync.Mutex
	shards map[string]*ownership
}

func newOwners(n *Node) *owners { return &owners{node: n, shards: map[string]*ownership{}} }

// prepare makes the entries of all shards.
func (o *owners) prepare(l *Layout) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, name := range l.Shards() {
		if o.shards[name] == nil {
			o.shards[name] = &ownership{name: name}
		}
	}
}

// saw takes in what a peer said of shards that it owns.
func (o *owners) saw(list []Owned) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range list {
		own := o.shards[w.Shard]
		if own == nil || w.Epoch < own.known.Epoch {
			continue
		}
		if w.Epoch > own.known.Epoch && own.shard != nil && own.shard.Epoch() < w.Epoch && own.stop != nil {
			own.stop()
		}
		own.known, own.heard = w, time.Now()
	}
}

// of returns what is known of a shard's owner.
func (o *owners) of(shard string) (Owned, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	own := o.shards[shard]
	if own == nil || own.known.Epoch == 0 || own.known.Control == "" {
		return Owned{}, false
	}
	return own.known, true
}

// here returns the shard if this instance owns it.
func (o *owners) here(shard string) *dispatch.Shard {
	o.mu.Lock()
	defer o.mu.Unlock()
	if own := o.shards[shard]; own != nil {
		return own.shard
	}
	return nil
}

// names lists the owners of all shards.
func (o *owners) names() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for _, own := range o.shards {
		if own.known.Owner != "" {
			out = append(out, own.known.Owner)
		}
	}
	return out
}

// owned lists the shards of this instance.
func (o *owners) owned() []Owned {
	o.mu.Lock()
	mine := make([]*ownership, 0, len(o.shards))
	for _, own := range o.shards {
		if own.shard != nil {
			mine = append(mine, own)
		}
	}
	out := make([]Owned, 0, len(mine))
	for _, own := range mine {
		out = append(out, own.known)
	}
	shards := make([]*dispatch.Shard, len(mine))
	for i, own := range mine {
		shards[i] = own.shard
	}
	o.mu.Unlock()
	for i, s := range shards {
		if s == nil {
			continue
		}
		out[i].Ailing = !s.Healthy()
		out[i].Load = s.Load()
	}
	return out
}

// pending counts, per shard and queue, the jobs that have not begun in the
// loaded shards of this instance.
func (o *owners) pending() map[string]map[string]int {
	o.mu.Lock()
	shards := map[string]*dispatch.Shard{}
	for name, own := range o.shards {
		if own.shard != nil {
			shards[name] = own.shard
		}
	}
	o.mu.Unlock()
	out := map[string]map[string]int{}
	for name, s := range shards {
		if counts, ok := s.Pending(); ok {
			out[name] = counts
		}
	}
	return out
}

// run looks after all shards until ctx ends.
func (o *owners) run(ctx context.Context) error {
	for pause.For(ctx, ownerCheck) {
		o.mu.Lock()
		names := make([]string, 0, len(o.shards))
		for name := range o.shards {
			names = append(names, name)
		}
		o.mu.Unlock()
		for _, name := range names {
			o.look(ctx, name)
		}
	}
	return nil
}

// candidates ranks this instance and its live peers that reach the store.
func (o *owners) candidates(shard, without string) []Instance {
	n := o.node
	list := []Instance{n.self}
	for _, i := range n.peers.instances() {
		if ok, leaving, _, live := n.peers.live(i.Name); live && ok && !leaving && i.Name != without {
			list = append(list, i)
		}
	}
	return n.layout.Load().Rank(shard, list)
}

func rankOf(list []Instance, name string) int {
	for r, i := range list {
		if i.Name == name {
			return r
		}
	}
	return len(list)
}

// look decides what to do about one shard.
func (o *owners) look(ctx context.Context, name string) {
	n := o.node
	o.mu.Lock()
	own := o.shards[name]
	if own.busy {
		o.mu.Unlock()
		return
	}
	if own.shard != nil {
		mine, handover := own.shard, own.handover
		o.mu.Unlock()
		if time.Since(handover) > homePause {
			o.sendHome(ctx, own, mine)
		}
		return
	}
	known := own.known
	o.mu.Unlock()
	wait, bad, silent := o.grounds(known)
	if !bad || n.leaving.Load() || !n.storeOK() {
		// While this instance does not reach the store it cannot judge an owner.
		o.mu.Lock()
		own.badSince = time.Time{}
		o.mu.Unlock()
		return
	}
	rank := rankOf(o.candidates(name, known.Owner), n.self.Name)
	wait += time.Duration(rank) * rankPause
	o.mu.Lock()
	if own.badSince.IsZero() {
		own.badSince, own.beat = time.Now(), 0
	}
	look := silent && own.beat == 0
	due := !look && time.Since(own.badSince) >= wait
	own.busy = due || look
	o.mu.Unlock()
	switch {
	case look:
		go o.noteBeat(ctx, own)
	case due:
		go o.takeOver(ctx, own, silent)
	}
}

// grounds tells whether a shard needs another owner, and after which pause.
// silent is true where only this instance's pings speak against the owner.
func (o *owners) grounds(known Owned) (wait time.Duration, bad, silent bool) {
	n := o.node
	if known.Epoch == 0 || known.Owner == "" {
		return unownedPause, true, false
	}
	if known.Owner == n.self.Name {
		return 0, true, false // an earlier life of this instance, or a shard that ended here
	}
	if n.peers.life(known.Owner) > known.Life {
		return 0, true, false // the owner started anew: its earlier life sends nothing more
	}
	if _, _, _, live := n.peers.live(known.Owner); !live {
		return silentPause, true, true
	}
	return ailingPause, known.Ailing, false
}

// noteBeat reads the beat row, to see later whether a silent owner still commits.
// The pause before a takeover counts from here.
func (o *owners) noteBeat(ctx context.Context, own *ownership) {
	v, err := o.beatVersion(ctx, own.name)
	o.mu.Lock()
	defer o.mu.Unlock()
	own.busy = false
	if err != nil {
		logger.WithField("shard", own.name).WithError(err).Debug("beat cannot be read")
		return
	}
	own.beat, own.badSince = max(v, 1), time.Now()
}

func (o *owners) beatVersion(ctx context.Context, shard string) (int64, error) {
	r, err := o.readRow(ctx, dispatch.TableBeat, shard, dispatch.KeyBeat)
	return r.Version, err
}

// readRow reads one row; version 0 means that it does not exist.
func (o *owners) readRow(ctx context.Context, table, part, key string) (fleet.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	p, err := o.node.deps.Store.Range(ctx, table, part, key, key+"\x00")
	o.node.noteStore(err)
	if err != nil || len(p.Rows) == 0 {
		return fleet.Row{}, err
	}
	return p.Rows[0], nil
}

// takeOver writes the owner row and runs the shard.
func (o *owners) takeOver(ctx context.Context, own *ownership, silent bool) {
	defer func() {
		o.mu.Lock()
		own.busy, own.badSince = false, time.Time{}
		o.mu.Unlock()
	}()
	row, cur, err := o.readOwner(ctx, own.name)
	if err != nil {
		logger.WithField("shard", own.name).WithError(err).Debug("owner cannot be read")
		return
	}
	o.mu.Lock()
	known, beat := own.known, own.beat
	o.mu.Unlock()
	if cur.Epoch > known.Epoch {
		o.saw([]Owned{{Shard: own.name, Epoch: cur.Epoch, Control: cur.Control, Owner: cur.Owner, Life: cur.Life}})
		if cur.Owner != o.node.self.Name {
			return // somebody else was first
		}
	}
	if silent {
		if v, err := o.beatVersion(ctx, own.name); err != nil || max(v, 1) != beat {
			return // the owner commits: only this instance does not reach it
		}
	}
	o.claimRow(ctx, own, row.Version, cur.Epoch)
}

func (o *owners) readOwner(ctx context.Context, shard string) (fleet.Row, ownerRow, error) {
	var cur ownerRow
	row, err := o.readRow(ctx, dispatch.TableOwner, shard, dispatch.KeyOwner)
	if err != nil || row.Version == 0 {
		return row, cur, err
	}
	return row, cur, workload.Decode(row.Value, &cur)
}

// claimRow becomes the owner if the row still has that version.
func (o *owners) claimRow(ctx context.Context, own *ownership, version, epoch int64) bool {
	n := o.node
	next := ownerRow{Owner: n.self.Name, Control: n.self.Control, Life: n.self.Life, Epoch: epoch + 1}
	tx := fleet.Tx{
		Part:   own.name,
		Expect: []fleet.Row{{Table: dispatch.TableOwner, Key: dispatch.KeyOwner, Version: version}},
		Put:    []fleet.Row{{Table: dispatch.TableOwner, Key: dispatch.KeyOwner, Value: workload.Encode(next)}},
	}
	tctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	res, err := n.deps.Store.Commit(tctx, tx)
	n.noteStore(err)
	if err != nil && contract.OutcomeOf(err) == contract.Unknown {
		res, err = o.resolveClaim(ctx, own.name, next)
	}
	if err != nil || !res.Applied {
		logger.WithField("shard", own.name).WithField("error", errText(err)).Info("shard was not claimed")
		return false
	}
	o.begin(own, next, res.Version)
	return true
}

func errText(err error) string {
	if err == nil {
		return "condition failed"
	}
	return err.Error()
}

// resolveClaim finds out whether a claim without an answer was applied. A claim
// that is applied later is found by the next look at the row.
func (o *owners) resolveClaim(ctx context.Context, shard string, next ownerRow) (fleet.TxResult, error) {
	row, cur, err := o.readOwner(ctx, shard)
	if err != nil {
		return fleet.TxResult{}, err
	}
	return fleet.TxResult{Applied: cur == next, Version: row.Version}, nil
}

// begin runs a shard that this instance now owns.
func (o *owners) begin(own *ownership, row ownerRow, version int64) {
	n := o.node
	ctx, cancel := context.WithCancel(n.ctx)
	l := n.layout.Load()
	b := n.settings.Bounds
	s := dispatch.New(dispatch.Settings{
		Name: own.name, Epoch: row.Epoch, OwnerRow: version,
		Bounds: dispatch.Bounds{
			LeaseMax: b.LeaseMax.D(), GangWait: b.GangWait.D(), KeepEnded: b.KeepEnded.D(),
			EarlyStart: b.EarlyStart.D(), Impact: b.Impact.D(),
		},
		Store: n.deps.Store, Workers: n.deps.Workers, Registry: n.deps.Registry, Adviser: n.deps.Adviser,
		Config: n.Config, Mine: func(w fleet.Worker) bool { return l.ShardOf(w) == own.name },
		Steady: bootClock, Unix: n.unix, Metrics: n.dispatchMetrics,
		Handover: o.handoverOf(own.name, l), Deliver: n.deliver,
	})
	done := make(chan struct{})
	o.mu.Lock()
	own.shard, own.version, own.stop, own.done = s, version, cancel, done
	own.known = Owned{Shard: own.name, Epoch: row.Epoch, Control: row.Control, Owner: row.Owner, Life: row.Life}
	own.handover = time.Now()
	o.mu.Unlock()
	logger.WithField("shard", own.name).WithField("epoch", row.Epoch).Info("shard owned")
	n.peers.announce(n.ctx)
	go func() {
		defer close(done)
		err := s.Run(ctx)
		cancel()
		o.mu.Lock()
		defer o.mu.Unlock()
		if own.shard == s {
			own.shard, own.stop = nil, nil
		}
		if errors.Is(err, dispatch.ErrDeposed) && own.known.Owner == n.self.Name {
			own.known.Owner, own.known.Control = "", "" // read from the store
		}
	}()
}

// sendHome hands a shard over to a clearly better owner.
func (o *owners) sendHome(ctx context.Context, own *ownership, s *dispatch.Shard) {
	n := o.node
	best := o.candidates(own.name, "")[0]
	if best.Name == n.self.Name {
		return
	}
	if _, _, since, ok := n.peers.live(best.Name); !ok || since < homePause {
		return
	}
	o.mu.Lock()
	own.busy, own.handover = true, time.Now()
	o.mu.Unlock()
	go func() {
		o.handOver(ctx, own, s, best)
		o.mu.Lock()
		own.busy = false
		o.mu.Unlock()
	}()
}

// handOver drains a shard and lets another instance claim it.
func (o *owners) handOver(ctx context.Context, own *ownership, s *dispatch.Shard, to Instance) bool {
	dctx, cancel := context.WithTimeout(ctx, drainTimeout)
	s.Drain(dctx)
	cancel()
	o.mu.Lock()
	req := ClaimRequest{Shard: own.name, Epoch: s.Epoch(), Version: own.version}
	stop, done := own.stop, own.done
	o.mu.Unlock()
	cctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var out Outcome
	err := o.node.peers.call(cctx, to.Control, methodClaim, req, &out)
	if err == nil {
		err = out.err()
	}
	if err != nil {
		logger.WithField("shard", own.name).WithField("to", to.Name).WithError(err).Info("shard was not handed over")
		s.Resume()
		return false
	}
	logger.WithField("shard", own.name).WithField("to", to.Name).Info("shard handed over")
	if stop != nil {
		stop()
		<-done
	}
	return true
}

// claim takes over a shard whose owner has drained it.
func (o *owners) claim(ctx context.Context, r *ClaimRequest) error {
	if o.node.leaving.Load() || o.node.layout.Load() == nil {
		return result.Errorf(result.PeerRefused, "this instance is leaving or starting")
	}
	o.mu.Lock()
	own := o.shards[r.Shard]
	if own == nil || own.shard != nil || own.busy {
		o.mu.Unlock()
		return result.Errorf(result.PeerBusy, "shard %s", r.Shard)
	}
	own.busy = true
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		own.busy = false
		o.mu.Unlock()
	}()
	if !o.claimRow(ctx, own, r.Version, r.Epoch) {
		return result.Errorf(result.PeerRefused, "the owner's row could not be written")
	}
	return nil
}

// leave hands all shards over before the instance ends.
func (o *owners) leave(ctx context.Context) {
	o.mu.Lock()
	var mine []*ownership
	for _, own := range o.shards {
		if own.shard != nil {
			mine = append(mine, own)
		}
	}
	o.mu.Unlock()
	var wg sync.WaitGroup
	for _, own := range mine {
		wg.Go(func() { o.leaveOne(ctx, own) })
	}
	wg.Wait()
}

func (o *owners) leaveOne(ctx context.Context, own *ownership) {
	o.mu.Lock()
	s := own.shard
	own.busy = true
	o.mu.Unlock()
	if s == nil {
		return
	}
	for _, i := range o.candidates(own.name, o.node.self.Name) {
		if i.Name == o.node.self.Name {
			continue
		}
		if o.handOver(ctx, own, s, i) || ctx.Err() != nil {
			return
		}
	}
}
