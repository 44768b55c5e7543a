package node

import (
	"context"
	"time"

	"skylarkport/internal/contract/fleet"
)

const (
	// goneAfter is how long an instance must have sent nothing to count as gone. Its entry is deleted then; an
	// instance that was only cut off writes it again.
	goneAfter = 10 * time.Minute
	// maxForgotten bounds the entries that one call deletes.
	maxForgotten = 40
)

// forgetGone deletes the entries of instances that are long gone, and forgets them as peers. Instances are
// replaced under new names every day: without that, the table and the peers to ping only grow.
func (n *Node) forgetGone(ctx context.Context, rows []fleet.Row) {
	listed := make(map[string]bool, len(rows))
	tx := fleet.Tx{}
	for _, r := range rows {
		listed[r.Key] = true
		if r.Key == n.self.Name || !n.peers.isGone(r.Key, r.Version) || len(tx.Delete) == maxForgotten {
			continue
		}
		row := fleet.Row{Table: tableInstances, Key: r.Key, Version: r.Version}
		tx.Expect, tx.Delete = append(tx.Expect, row), append(tx.Delete, row)
	}
	n.peers.forget(listed)
	if len(tx.Delete) == 0 {
		return
	}
	tctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	res, err := n.deps.Store.Commit(tctx, tx)
	entry := logger.WithField("instances", len(tx.Delete)).WithField("applied", res.Applied)
	if err != nil {
		entry.WithError(err).Info("entries of gone instances were not deleted")
		return
	}
	entry.Info("entries of gone instances deleted") // another instance may have been first
}

// isGone reports whether a peer has sent nothing for goneAfter, and its entry, which has that version, has not
// been written anew.
func (p *peers) isGone(name string, entryVersion int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr := p.byName[name]
	if pr == nil {
		return false
	}
	if pr.entryVersion != entryVersion {
		pr.entryVersion, pr.entryReadAt = entryVersion, time.Now()
	}
	return time.Since(pr.lastHeard()) > goneAfter && time.Since(pr.entryReadAt) > goneAfter
}

// forget drops the peers that are gone and not listed any more.
func (p *peers) forget(listed map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, pr := range p.byName {
		if !listed[name] && time.Since(pr.lastHeard()) > goneAfter {
			pr.close()
			delete(p.byName, name)
		}
	}
}

// lastHeard returns when the peer sent its last message, or was discovered. The caller holds the lock of
// peers.
func (pr *peer) lastHeard() time.Time {
	if pr.lastMessageAt.After(pr.discoveredAt) {
		return pr.lastMessageAt
	}
	return pr.discoveredAt
}
