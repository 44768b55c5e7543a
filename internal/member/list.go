package member

import (
	"context"
	"time"

	"skylarkport/internal/contract"
)

// Intervals and timeouts of reading the platform's list of instances.
const (
	listInterval = 10 * time.Second // between two reads
	listRetry    = time.Second      // wait after a failed read or seed dial
	listTimeout  = 5 * time.Second  // limit of one read
)

// pollList reads the platform's list of instances periodically until ctx ends. It logs
// only when reads begin to fail or succeed again.
func (m *Membership) pollList(ctx context.Context) {
	if m.cfg.Instances == nil {
		return
	}
	failed := false
	for ctx.Err() == nil {
		wait := listInterval
		err := m.readList(ctx)
		if err != nil {
			wait = listRetry
		}
		if (err != nil) != failed && ctx.Err() == nil {
			failed = err != nil
			logger.WithField("error", err).Warnf("platform's list of instances unavailable: %t", failed)
		}
		select {
		case <-ctx.Done():
		case <-time.After(jitter(wait)):
		}
	}
}

// readList reads the platform's list of instances once and updates the peers from it.
func (m *Membership) readList(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := m.cfg.Instances.List(readCtx)
	if err != nil {
		return err
	}
	m.recordList(list)
	m.wakeLoop()
	return nil
}

// recordList records which peers the list contains. Only instances with the entry
// role run the two programs.
func (m *Membership) recordList(list []contract.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		p.listed, p.listedLeaving = false, false
	}
	for _, i := range list {
		if i.Role != contract.EntryRole {
			continue
		}
		m.recordListed(i, Entry, i.EntryPeer)
		m.recordListed(i, Scheduler, i.SchedulerPeer)
	}
	m.refresh(m.now())
}

// recordListed records the listed address of one program of an instance. The list
// may be outdated, so its address replaces the known one only while there is no
// connection to the peer. The caller holds m.mu.
func (m *Membership) recordListed(i contract.Instance, program Program, address string) {
	id := PeerID(i.ID, program)
	if address == "" || id == m.self.ID {
		return
	}
	p := m.ensurePeer(id, i.ID, program, i.Zone, address)
	p.listed = true
	p.listedLeaving = i.State == contract.Leaving
	if len(p.conns) == 0 && p.Address != address {
		p.Address = address
		m.viewOutdated = true
		p.nextDial, p.failedDials, p.refusedDials = 0, 0, 0
	}
}

// dialSeeds dials the seed addresses until a connection to a peer is open.
func (m *Membership) dialSeeds(ctx context.Context) {
	for len(m.cfg.Seeds) > 0 && ctx.Err() == nil && !m.hasConnection() {
		for _, address := range m.cfg.Seeds {
			if address == m.self.Address {
				continue
			}
			if _, err := m.endpoint.Dial(ctx, address); err == nil {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(jitter(listRetry)):
		}
	}
}

// hasConnection reports whether a connection to some peer is open.
func (m *Membership) hasConnection() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if len(p.conns) > 0 {
			return true
		}
	}
	return false
}
