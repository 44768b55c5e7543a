package member

import (
	"encoding/json"

	"skylarkport/internal/link"
)

// Methods of the heartbeats. Both are notifications; their parameters are a
// heartbeat, or nothing when nothing changed.
const (
	heartbeatMethod        = "b" // a heartbeat
	heartbeatRequestMethod = "B" // a heartbeat that requests heartbeats in return
)

// heartbeat is the content of a heartbeat. The roster and the attached values hold only
// what changed since the previous heartbeat on the same connection, so most
// heartbeats are empty.
type heartbeat struct {
	ReceivesNothing bool                       `json:"u,omitempty"` // the sender receives nothing from the receiver
	Leaving         bool                       `json:"l,omitempty"` // the sender is about to stop
	Stopped         bool                       `json:"g,omitempty"` // the sender stops; its last heartbeat
	Roster          []rosterEntry              `json:"r,omitempty"` // peers in the sender's zone
	Attached        map[string]json.RawMessage `json:"a,omitempty"` // values of Group.Attach by key
}

func (hb *heartbeat) empty() bool {
	return !hb.ReceivesNothing && !hb.Leaving && !hb.Stopped && len(hb.Roster) == 0 && len(hb.Attached) == 0
}

// rosterEntry describes a process of the sender's zone as the sender sees it.
type rosterEntry struct {
	Instance    string  `json:"i"`
	Program     Program `json:"p"`
	Address     string  `json:"a"`
	Incarnation string  `json:"n"`
	State       State   `json:"s"`
}

func (e rosterEntry) id() string { return PeerID(e.Instance, e.Program) }

// sentState is what was last sent on a connection, so that only changes are sent again.
type sentState struct {
	roster    map[string]rosterEntry
	attached  map[string]string
	departure departure
}

// nextHeartbeat builds the heartbeat for p on c and records its content as sent. The
// caller holds m.mu.
func (m *Membership) nextHeartbeat(p *peer, c *link.Conn) *heartbeat {
	s := p.sentState[c]
	return &heartbeat{
		ReceivesNothing: p.everReceived && m.now()-p.lastMessage > m.interval(p)*suspectTenths/10,
		Leaving:         m.leaving.Load(),
		Stopped:         m.stopped.Load(),
		Roster:          m.changedRoster(p, s),
		Attached:        m.changedAttachments(s),
	}
}

// changedRoster returns the roster entries that changed since the last heartbeat on the
// connection. A peer of this process's zone observes the others' states itself and
// is only sent the processes that are alive, so that it learns of new ones.
func (m *Membership) changedRoster(to *peer, s *sentState) []rosterEntry {
	var out []rosterEntry
	for id, p := range m.peers {
		if p.Zone != m.self.Zone || id == to.ID || p.Incarnation == "" {
			continue
		}
		e := rosterEntry{p.Instance, p.Program, p.Address, p.Incarnation, p.State}
		if to.Zone == m.self.Zone {
			if p.State != Alive {
				continue
			}
			e.State = Alive
		}
		if s.roster[id] != e {
			s.roster[id] = e
			out = append(out, e)
		}
	}
	return out
}

// changedAttachments returns the attached values that changed since the last
// heartbeat on the connection.
func (m *Membership) changedAttachments(s *sentState) map[string]json.RawMessage {
	var out map[string]json.RawMessage
	for key, value := range m.attached {
		if s.attached[key] == value {
			continue
		}
		s.attached[key] = value
		if out == nil {
			out = map[string]json.RawMessage{}
		}
		out[key] = json.RawMessage(value)
	}
	return out
}

// updateAttachments computes the attached values and reports whether one changed.
// It calls the functions of Attach without holding m.mu.
func (m *Membership) updateAttachments() bool {
	fresh := make(map[string]string, len(m.attachments))
	for _, a := range m.attachments {
		v := a.value()
		if v == nil {
			continue
		}
		data, err := json.Marshal(v)
		if err != nil {
			logger.WithError(err).WithField("key", a.key).Error("cannot encode an attached value for heartbeats")
			continue
		}
		fresh[a.key] = string(data)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := false
	for key, value := range fresh {
		if m.attached[key] != value {
			m.attached[key] = value
			changed = true
		}
	}
	return changed
}
