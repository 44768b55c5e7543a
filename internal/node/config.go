package node

import (
	"context"
	"sync/atomic"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/pause"
)

const (
	// watchWait is how long one call for changes may wait. It also bounds the time
	// until a connection that stopped answering is noticed, and a change must be in
	// force within two seconds.
	watchWait = 900 * time.Millisecond
	// configTimeout bounds one read of a configuration from the store or a peer.
	configTimeout = 700 * time.Millisecond
)

// configs holds the configuration in force. Its version never decreases.
type configs struct {
	node    *Node
	current atomic.Pointer[fleet.Config]
	fetch   chan string // names of peers with a newer version
}

func newConfigs(n *Node) *configs { return &configs{node: n, fetch: make(chan string, 1)} }

// Config implements fleet.Jobs.
func (n *Node) Config() *fleet.Config { return n.configs.current.Load() }

func (c *configs) version() int64 {
	if cfg := c.current.Load(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// accept puts raw in force if its version is higher than the current one.
func (c *configs) accept(raw []byte, from string) {
	cfg, err := c.node.deps.Configs.Decode(raw)
	if err != nil {
		logger.WithField("from", from).WithError(err).Error("cannot decode a configuration")
		return
	}
	for {
		old := c.current.Load()
		if old != nil && old.Version >= cfg.Version {
			return
		}
		if c.current.CompareAndSwap(old, cfg) {
			logger.WithField("version", cfg.Version).WithField("from", from).Info("configuration in force")
			return
		}
	}
}

// reply returns the configuration in force for a peer that asks for it.
func (c *configs) reply() ConfigReply {
	if cfg := c.current.Load(); cfg != nil {
		return ConfigReply{Raw: cfg.Raw}
	}
	return ConfigReply{}
}

// scheduleFetchIfNewer schedules a fetch of the configuration from peer if its version is
// newer. If a fetch is scheduled already, this one is skipped; the peer's next ping
// tries again.
func (c *configs) scheduleFetchIfNewer(version int64, peer string) {
	if version <= c.version() {
		return
	}
	select {
	case c.fetch <- peer:
	default:
	}
}

// followPeers runs the fetches that scheduleFetchIfNewer schedules until ctx ends.
func (c *configs) followPeers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case name := <-c.fetch:
			c.fetchFrom(ctx, name)
		}
	}
}

func (c *configs) fetchFrom(ctx context.Context, name string) {
	c.node.peers.mu.Lock()
	pr := c.node.peers.byName[name]
	c.node.peers.mu.Unlock()
	if pr == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	var r ConfigReply
	if err := c.node.peers.callPeer(ctx, pr, methodConfig, struct{}{}, &r); err != nil {
		logger.WithField("peer", name).WithError(err).Info("fetching the configuration from a peer failed")
		return
	}
	if len(r.Raw) > 0 {
		c.accept(r.Raw, name)
	}
}

// followStore watches the operator's configuration row in the store until ctx ends.
func (c *configs) followStore(ctx context.Context) error {
	store := c.node.deps.Store
	table, key := c.node.deps.Configs.Location()
	version := int64(0)
	for ctx.Err() == nil {
		if version == 0 {
			tctx, cancel := context.WithTimeout(ctx, configTimeout)
			p, err := store.Range(tctx, table, "", key, key+"\x00")
			cancel()
			c.node.recordStoreResult(err)
			if err != nil {
				pause.For(ctx, retryPause)
				continue
			}
			c.node.observeStoreClock(p.Clock)
			for _, r := range p.Rows {
				c.accept(r.Value, "store")
			}
			version = p.Version
		}
		ch, err := store.Changes(ctx, table, version, watchWait)
		c.node.recordStoreResult(err)
		if err != nil {
			version = 0 // the connection failed or the store dropped the history: read the row again
			pause.For(ctx, retryPause/3)
			continue
		}
		version = ch.Version
		for _, r := range ch.Rows {
			if r.Key == key && r.Part == "" && !r.Deleted {
				c.accept(r.Value, "store")
			}
		}
	}
	return nil
}
