package entry

import (
	"context"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/member"
	"skylarkport/internal/result"
	"skylarkport/internal/share"
)

// syncRow reads the zone's assignment row, which says which entry owns which
// partitions, and writes the change that this entry plans, if any. While the table
// is unavailable the assignment stays as it is.
func (s *sharing) syncRow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*rowInterval)
	defer cancel()
	key := share.RowKey(s.entry.cfg.Zone)
	row, err := s.entry.deps.Tables.Read(ctx, key)
	if contract.IsNotFound(err) {
		s.createRow(ctx, key)
		return
	}
	if err != nil {
		logger.WithError(err).Debug("cannot read the partition assignment")
		return
	}
	a, err := share.Decode(row.Value)
	if err != nil {
		logger.WithError(err).Error("cannot decode the partition assignment")
		return
	}
	s.manager.ApplyRow(s.now(), a, row.Version)
	s.writeRow(ctx, key)
}

// createRow writes the first assignment row. If several entries try, the condition of
// the write lets only one succeed.
func (s *sharing) createRow(ctx context.Context, key contract.Key) {
	a := share.NewAssignment(s.entry.cfg.Instance)
	w := contract.Write{Key: key, If: contract.IfAbsent, Do: contract.Put, Value: a.Encode()}
	versions, err := s.entry.deps.Tables.Commit(ctx, []contract.Write{w})
	if err == nil {
		s.manager.RecordWrite(s.now(), a, versions[0])
	}
}

// writeRow writes the assignment of partitions that the manager plans, if it plans a
// change, and reports the outcome of the write to the manager.
func (s *sharing) writeRow(ctx context.Context, key contract.Key) {
	a, version, change := s.manager.PlanWrite(s.now(), s.removedMembers(s.now()))
	if !change {
		return
	}
	w := contract.Write{Key: key, If: contract.IfVersion, Version: version, Do: contract.Put, Value: a.Encode()}
	versions, err := s.entry.deps.Tables.Commit(ctx, []contract.Write{w})
	if err == nil {
		s.manager.RecordWrite(s.now(), a, versions[0])
		return
	}
	if contract.OutcomeOf(err) == contract.Refused {
		s.manager.RecordRefusedWrite(s.now(), version)
	} else {
		s.manager.RecordUncertainWrite(version)
	}
	logger.WithError(err).Debug("cannot write the partition assignment")
}

// removedMembers returns the members of the assignment whose instances the
// platform's list no longer contains. A member counts as removed if the list
// contained it before, or if it has been a member for longer than maxListLag without
// being listed. Nobody counts as removed while the list is old or lacks this entry
// itself, and no member counts whose heartbeats still arrive.
func (s *sharing) removedMembers(now time.Duration) []string {
	l := s.list.Load()
	row, _, known := s.manager.CurrentAssignment()
	if l == nil || !known || now-l.readAt > 2*instanceListInterval || !l.entries[s.entry.cfg.Instance] {
		return nil
	}
	liveEntries := s.liveEntries()
	var out []string
	for _, m := range row.Members {
		if _, ok := s.firstSeen[m]; !ok {
			s.firstSeen[m] = now
		}
		if l.entries[m] {
			s.wasListed[m] = true
			continue
		}
		if liveEntries[m] {
			continue
		}
		if s.wasListed[m] || now-s.firstSeen[m] > maxListLag {
			out = append(out, m)
		}
	}
	return out
}

// liveEntries returns the instances whose entries the group does not consider dead.
func (s *sharing) liveEntries() map[string]bool {
	out := make(map[string]bool)
	for _, p := range s.entry.deps.Group.View().Peers {
		if p.Program == member.Entry && p.State != member.Dead {
			out[p.Instance] = true
		}
	}
	return out
}

// clearBlocked asks every other member which partitions it still borrows, if this
// entry owns partitions that an earlier owner may have lent. If all members answer,
// this entry need not wait until such loans have ended.
func (s *sharing) clearBlocked(ctx context.Context) {
	if !s.manager.HasBlocked(s.now()) {
		return
	}
	row, _, _ := s.manager.CurrentAssignment()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	held := make(map[string]share.Partitions)
	for _, m := range row.Members {
		if m == s.entry.cfg.Instance {
			continue
		}
		var borrowed share.Partitions
		if err := s.call(ctx, m, methodHeld, nil, &borrowed); err != nil {
			logger.WithError(err).WithField("member", m).Debug("cannot get the partitions that a member borrows")
			return
		}
		held[m] = borrowed
	}
	s.manager.ClearBlocked(s.now(), held)
}

// leave removes this entry from the assignment row at the end of a shutdown.
func (s *sharing) leave(ctx context.Context) {
	a, version, change := s.manager.PlanLeave(s.now())
	if !change {
		return
	}
	key := share.RowKey(s.entry.cfg.Zone)
	w := contract.Write{Key: key, If: contract.IfVersion, Version: version, Do: contract.Put, Value: a.Encode()}
	if _, err := s.entry.deps.Tables.Commit(ctx, []contract.Write{w}); err != nil {
		logger.WithError(err).Info("cannot leave the partition assignment; the partitions stay assigned until the instance is removed")
	}
}

// checkPeer returns an error unless the peer is an entry of this zone.
func (s *sharing) checkPeer(from member.Peer) error {
	if from.Program != member.Entry || from.Zone != s.entry.cfg.Zone {
		return result.Errorf(result.PeerRefused, "%s is not an entry of zone %s", from.ID, s.entry.cfg.Zone)
	}
	return nil
}
