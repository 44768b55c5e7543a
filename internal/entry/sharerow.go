package entry

import (
	"context"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/member"
	"skylarkport/internal/result"
	"skylarkport/internal/share"
)

// syncRow reads the zone's row and writes the change that this entry wants.
// With the table away the division stays as it is.
func (s *sharing) syncRow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*shareRow)
	defer cancel()
	key := share.RowKey(s.entry.cfg.Zone)
	row, err := s.entry.deps.Tables.Read(ctx, key)
	if contract.IsNotFound(err) {
		s.create(ctx, key)
		return
	}
	if err != nil {
		logger.WithError(err).Debug("the row of shares cannot be read")
		return
	}
	d, err := share.Decode(row.Value)
	if err != nil {
		logger.WithError(err).Error("the row of shares is broken")
		return
	}
	s.holder.Read(s.now(), d, row.Version)
	s.write(ctx, key)
}

// create writes the first row. Of several entries that try, one succeeds.
func (s *sharing) create(ctx context.Context, key contract.Key) {
	d := share.NewAssignment(s.entry.cfg.Instance)
	w := contract.Write{Key: key, If: contract.IfAbsent, Do: contract.Put, Value: d.Encode()}
	versions, err := s.entry.deps.Tables.Commit(ctx, []contract.Write{w})
	if err == nil {
		s.holder.RecordWrite(s.now(), d, versions[0])
	}
}

func (s *sharing) write(ctx context.Context, key contract.Key) {
	d, version, change := s.holder.PlanWrite(s.now(), s.gone(s.now()))
	if !change {
		return
	}
	w := contract.Write{Key: key, If: contract.IfVersion, Version: version, Do: contract.Put, Value: d.Encode()}
	versions, err := s.entry.deps.Tables.Commit(ctx, []contract.Write{w})
	if err == nil {
		s.holder.RecordWrite(s.now(), d, versions[0])
		return
	}
	if contract.OutcomeOf(err) == contract.Refused {
		s.holder.Refused(s.now(), version)
	} else {
		s.holder.RecordUncertainWrite(version)
	}
	logger.WithError(err).Debug("the row of shares was not written")
}

// gone returns the members whose instances the platform's list has dropped: it
// held them before, or had the time to. A list without this entry, and one
// without a member that is heard, proves nothing.
func (s *sharing) gone(now time.Duration) []string {
	l := s.list.Load()
	row, _, known := s.holder.CurrentAssignment()
	if l == nil || !known || now-l.at > 2*listEvery || !l.entries[s.entry.cfg.Instance] {
		return nil
	}
	heard := s.heard()
	var out []string
	for _, m := range row.Members {
		if _, ok := s.since[m]; !ok {
			s.since[m] = now
		}
		if l.entries[m] {
			s.seen[m] = true
			continue
		}
		if heard[m] {
			continue
		}
		if s.seen[m] || now-s.since[m] > listLag {
			out = append(out, m)
		}
	}
	return out
}

// heard returns the instances whose entries are not known to be dead.
func (s *sharing) heard() map[string]bool {
	out := make(map[string]bool)
	for _, p := range s.entry.deps.Group.View().Peers {
		if p.Program == member.Entry && p.State != member.Dead {
			out[p.Instance] = true
		}
	}
	return out
}

// clear asks every member what it still borrows of the seats that this entry
// got without a proof that they are free.
func (s *sharing) clear(ctx context.Context) {
	if !s.holder.HasBlocked(s.now()) {
		return
	}
	row, _, _ := s.holder.CurrentAssignment()
	ctx, cancel := context.WithTimeout(ctx, shareCall)
	defer cancel()
	held := make(map[string]share.Partitions)
	for _, m := range row.Members {
		if m == s.entry.cfg.Instance {
			continue
		}
		var seats share.Partitions
		if err := s.call(ctx, m, methodHeld, nil, &seats); err != nil {
			logger.WithError(err).WithField("member", m).Debug("what a member borrows is not known")
			return
		}
		held[m] = seats
	}
	s.holder.ClearBlocked(s.now(), held)
}

// leave takes this entry out of the row at the end of a shutdown.
func (s *sharing) leave(ctx context.Context) {
	d, version, change := s.holder.PlanLeave(s.now())
	if !change {
		return
	}
	key := share.RowKey(s.entry.cfg.Zone)
	w := contract.Write{Key: key, If: contract.IfVersion, Version: version, Do: contract.Put, Value: d.Encode()}
	if _, err := s.entry.deps.Tables.Commit(ctx, []contract.Write{w}); err != nil {
		logger.WithError(err).Info("the shares stay in the row until the instance is gone")
	}
}

// checkPeer refuses what is not an entry of the zone.
func (s *sharing) checkPeer(from member.Peer) error {
	if from.Program != member.Entry || from.Zone != s.entry.cfg.Zone {
		return result.Errorf(result.PeerRefused, "%s is no entry of zone %s", from.ID, s.entry.cfg.Zone)
	}
	return nil
}
