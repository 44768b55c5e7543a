package member

import (
	"context"
	"time"

	"skylarkport/internal/contract"
)

// Times of the platform's list.
const (
	listInterval = 10 * time.Second // between readings
	listRetry    = time.Second      // after a failed one
	listTimeout  = 5 * time.Second  // of one reading
)

// poll reads the platform's list until ctx ends.
func (m *Members) poll(ctx context.Context) {
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
			logger.WithField("error", err).Warnf("the platform's list is away: %t", failed)
		}
		select {
		case <-ctx.Done():
		case <-time.After(jitter(wait)):
		}
	}
}

func (m *Members) readList(ctx context.Context) error {
	reading, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := m.cfg.Instances.List(reading)
	if err != nil {
		return err
	}
	m.takeList(list)
	m.poke()
	return nil
}

// takeList records who is listed.
func (m *Members) takeList(list []contract.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		p.listed, p.listedLeaving = false, false
	}
	for _, i := range list {
		if i.Role != contract.EntryRole {
			continue
		}
		m.takeListed(i, Entry, i.EntryPeer)
		m.takeListed(i, Scheduler, i.SchedulerPeer)
	}
	m.refresh(m.now())
}

func (m *Members) takeListed(i contract.Instance, program Program, address string) {
	id := IDOf(i.ID, program)
	if address == "" || id == m.self.ID {
		return
	}
	p := m.know(id, i.ID, program, i.Zone, address)
	p.listed = true
	p.listedLeaving = i.State == contract.Leaving
	if len(p.conns) == 0 && p.Address != address {
		p.Address = address
		m.dirty = true
		p.dialAt, p.failures, p.refusals = 0, 0, 0
	}
}

// seed dials the seeds until a peer is known.
func (m *Members) seed(ctx context.Context) {
	for len(m.cfg.Seeds) > 0 && ctx.Err() == nil && !m.connected() {
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

func (m *Members) connected() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if len(p.conns) > 0 {
			return true
		}
	}
	return false
}
