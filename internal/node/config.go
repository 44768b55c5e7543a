package node

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"sync/atomic"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/pause"
	"skylarkport/internal/result"
)

const (
	// watchWait is how long one call for changes may wait. It also bounds the time
	// until a connection that stopped answering is noticed, and a change must be in
	// force within two seconds.
	watchWait = 900 * time.Millisecond
	// configTimeout bounds one read of a configuration from the store. The largest, of
	// 256 KiB, takes 1.4 s on a link of 2 Mbit/s.
	configTimeout = 4 * time.Second
	// peerConfigTimeout bounds one read from a peer, which compresses it.
	peerConfigTimeout = 2 * time.Second
	// largeConfig is the size in bytes above which a configuration takes a quarter of a
	// second in base64 on a link of 2 Mbit/s.
	largeConfig = 48 << 10
	// largeConfigPause is the pause after a large configuration was read from the store. It
	// leaves bandwidth to leases and requests when versions come in quick succession.
	largeConfigPause = 200 * time.Millisecond
)

// configs holds the configuration in force. Its version never decreases.
type configs struct {
	node    *Node
	current atomic.Pointer[fleet.Config]
	zipped  atomic.Pointer[zippedConfig]
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
func (c *configs) reply(r *ConfigRequest) ConfigReply {
	cfg := c.current.Load()
	switch {
	case cfg == nil:
		return ConfigReply{}
	case !r.Gzip:
		return ConfigReply{Raw: cfg.Raw} // a peer of an earlier version
	}
	if z := c.zipped.Load(); z != nil && z.version == cfg.Version {
		return ConfigReply{Gzip: z.body}
	}
	z := &zippedConfig{cfg.Version, compress(cfg.Raw)}
	c.zipped.Store(z)
	return ConfigReply{Gzip: z.body}
}

// zippedConfig caches the compressed form of a configuration for peers.
type zippedConfig struct {
	version int64
	body    []byte
}

// compress returns b in gzip's format.
func compress(b []byte) []byte {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err == nil {
		_, err = w.Write(b)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		panic(err) // a valid level and a buffer never fail
	}
	return out.Bytes()
}

// maxConfigBytes bounds the size of a decompressed configuration.
const maxConfigBytes = 16 << 20

// decompress returns the content of b, which compress returned.
func decompress(b []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, result.Wrap(result.BundleBad, err, "decompress configuration")
	}
	out, err := io.ReadAll(io.LimitReader(r, maxConfigBytes+1))
	if err != nil {
		return nil, result.Wrap(result.BundleBad, err, "decompress configuration")
	}
	if len(out) > maxConfigBytes {
		return nil, result.Errorf(result.BundleBad, "configuration of more than %d bytes", maxConfigBytes)
	}
	return out, nil
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
	ctx, cancel := context.WithTimeout(ctx, peerConfigTimeout)
	defer cancel()
	var r ConfigReply
	// On a connection of its own, a large reply does not delay pings.
	if err := c.node.peers.callOnce(ctx, pr.Control, methodConfig, ConfigRequest{Gzip: true}, &r); err != nil {
		logger.WithField("peer", name).WithError(err).Info("fetching the configuration from a peer failed")
		return
	}
	if len(r.Gzip) > 0 {
		var err error
		if r.Raw, err = decompress(r.Gzip); err != nil {
			logger.WithField("peer", name).WithError(err).Error("cannot read a peer's configuration")
			return
		}
	}
	if len(r.Raw) > 0 {
		c.accept(r.Raw, name)
	}
}

// followStore follows the operator's configuration row in the store until ctx ends, or only
// probes the store while other instances of the zone follow the row.
func (c *configs) followStore(ctx context.Context) error {
	var row, probe int64 // versions of the store up to which the tables were read
	for ctx.Err() == nil {
		newest := c.version()
		var err error
		if c.readsStore() {
			err = c.readStore(ctx, &row)
		} else {
			err = c.probeStore(ctx, &probe)
		}
		c.node.recordStoreResult(err)
		if err != nil {
			pause.For(ctx, retryPause/3)
			continue
		}
		if c.version() == newest {
			continue
		}
		c.node.peers.announce(ctx)
		if len(c.current.Load().Raw) > largeConfig {
			// The changes would contain every version that came during the transfer, the
			// row only the newest.
			row = 0
			pause.For(ctx, largeConfigPause)
		}
	}
	return nil
}

// readStore puts a changed configuration of the operator's row in force. An error makes the
// next call read the row again.
func (c *configs) readStore(ctx context.Context, from *int64) error {
	table, key := c.node.deps.Configs.Location()
	rows, err := c.nextRows(ctx, table, key, key+"\x00", configTimeout, from)
	for _, r := range rows {
		if r.Key == key && r.Part == "" && !r.Deleted {
			c.accept(r.Value, "store")
		}
	}
	return err
}

// probeStore checks that the store responds, by a wait for changes of the layout, which
// never changes once it is written.
func (c *configs) probeStore(ctx context.Context, from *int64) error {
	_, err := c.nextRows(ctx, tableLayout, "", "", storeTimeout, from)
	return err
}

// nextRows waits for changes of a table after the version in after, or reads the rows of the
// range within timeout if that is 0, and stores the version from which the changes continue.
// That is 0 after an error.
func (c *configs) nextRows(ctx context.Context, table, from, to string, timeout time.Duration, after *int64) ([]fleet.Row, error) {
	store, version := c.node.deps.Store, *after
	*after = 0
	if version > 0 {
		ch, err := store.Changes(ctx, table, version, watchWait)
		if err != nil {
			return nil, err
		}
		*after = ch.Version
		return ch.Rows, nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	p, err := store.Range(ctx, table, "", from, to, 0)
	if err != nil {
		return nil, err
	}
	c.node.observeStoreClock(p.Clock)
	*after = p.Version
	return p.Rows, nil
}
