package member

import (
	"encoding/json"

	"skylarkport/internal/link"
)

// Methods of the heartbeats. Both are notifications with an optional beat.
const (
	beatMethod = "b" // a heartbeat
	askMethod  = "B" // a heartbeat that asks for one in return
)

// beat is what a heartbeat carries. It holds only what changed since the last
// one on the same connection, so most are empty.
type beat struct {
	Unheard  bool                       `json:"u,omitempty"` // the sender hears nothing from the receiver
	Leaving  bool                       `json:"l,omitempty"`
	Gone     bool                       `json:"g,omitempty"` // the sender's last heartbeat
	Roster   []rosterEntry              `json:"r,omitempty"` // of the sender's zone
	Attached map[string]json.RawMessage `json:"a,omitempty"`
}

func (b *beat) empty() bool {
	return !b.Unheard && !b.Leaving && !b.Gone && len(b.Roster) == 0 && len(b.Attached) == 0
}

// rosterEntry is what the sender knows of a process of its zone.
type rosterEntry struct {
	Instance    string  `json:"i"`
	Program     Program `json:"p"`
	Address     string  `json:"a"`
	Incarnation string  `json:"n"`
	State       State   `json:"s"`
}

func (e rosterEntry) id() string { return IDOf(e.Instance, e.Program) }

// sent is what a connection's far end was told last.
type sent struct {
	roster   map[string]rosterEntry
	attached map[string]string
	parting  parting
}

// nextBeat builds the heartbeat for p on c. The caller holds m.mu.
func (m *Members) nextBeat(p *peer, c *link.Conn) *beat {
	s := p.sent[c]
	return &beat{
		Unheard:  p.everHeard && m.now()-p.heard > m.interval(p)*suspectTenths/10,
		Leaving:  m.leaving.Load(),
		Gone:     m.gone.Load(),
		Roster:   m.rosterFor(p, s),
		Attached: m.attachedFor(s),
	}
}

// rosterFor returns the entries that the far end was not told. A peer of the
// own zone hears the others itself and is only told who exists.
func (m *Members) rosterFor(to *peer, s *sent) []rosterEntry {
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

func (m *Members) attachedFor(s *sent) map[string]json.RawMessage {
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

// evaluate asks for the attached values and reports whether one changed.
func (m *Members) evaluate() bool {
	fresh := make(map[string]string, len(m.attachments))
	for _, a := range m.attachments {
		v := a.value()
		if v == nil {
			continue
		}
		data, err := json.Marshal(v)
		if err != nil {
			logger.WithError(err).WithField("key", a.key).Error("an attached value cannot be encoded")
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
