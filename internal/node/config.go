package node

import (
	"context"
	"sync/atomic"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/pause"
)

const (
	// configWait is how long one look for a change waits. A connection that
	// went silent is noticed after it; a change has to be in force in two seconds.
	configWait = 900 * time.Millisecond
	// configTimeout bounds the fetching of a configuration.
	configTimeout = 700 * time.Millisecond
)

// configs keeps the configuration in force. Its version never goes down.
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

// accept puts raw in force if it is newer.
func (c *configs) accept(raw []byte, from string) {
	cfg, err := c.node.deps.Configs.Decode(raw)
	if err != nil {
		logger.WithField("from", from).WithError(err).Error("a configuration cannot be read")
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

// reply passes the configuration in force on.
func (c *configs) reply() ConfigReply {
	if cfg := c.current.Load(); cfg != nil {
		return ConfigReply{Raw: cfg.Raw}
	}
	return ConfigReply{}
}

// heardOf notes that a peer has a version.
func (c *configs) heardOf(version int64, peer string) {
	if version <= c.version() {
		return
	}
	select {
	case c.fetch <- peer:
	default:
	}
}

// followPeers fetches newer versions from peers that have them.
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
	k := c.node.peers.byName[name]
	c.node.peers.mu.Unlock()
	if k == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	var r ConfigReply
	if err := c.node.peers.callPeer(ctx, k, methodConfig, struct{}{}, &r); err != nil {
		logger.WithField("peer", name).WithError(err).Info("configuration was not fetched")
		return
	}
	if len(r.Raw) > 0 {
		c.accept(r.Raw, name)
	}
}

// followStore follows the operator's row until ctx ends.
func (c *configs) followStore(ctx context.Context) error {
	store := c.node.deps.Store
	table, key := c.node.deps.Configs.Place()
	version := int64(0)
	for ctx.Err() == nil {
		if version == 0 {
			tctx, cancel := context.WithTimeout(ctx, configTimeout)
			p, err := store.Range(tctx, table, "", key, key+"\x00")
			cancel()
			c.node.noteStore(err)
			if err != nil {
				pause.For(ctx, retryPause)
				continue
			}
			c.node.sawStoreClock(p.Clock)
			for _, r := range p.Rows {
				c.accept(r.Value, "store")
			}
			version = p.Version
		}
		ch, err := store.Changes(ctx, table, version, configWait)
		c.node.noteStore(err)
		if err != nil {
			version = 0 // the history is lost, or the connection
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
