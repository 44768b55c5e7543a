package entry

import (
	"encoding/json"
	"net"
	"net/url"
	"sync"
	"sync/atomic"

	"skylarkport/internal/member"
)

// callersKey is the key of the member attachment that holds an entry's address for
// callers.
const callersKey = "entry.callers"

// zones collects the addresses of the entries in other zones. It implements
// forward.Zones.
type zones struct {
	zone  string
	group member.Group

	mu     sync.Mutex
	bases  map[string]*url.URL // by peer ID
	cached atomic.Pointer[otherEntries]
}

// otherEntries is the list of base URLs derived from one view of the group.
type otherEntries struct {
	view *member.View
	urls []*url.URL
}

func newZones(zone, listen string, g member.Group) *zones {
	z := &zones{zone: zone, group: g, bases: make(map[string]*url.URL)}
	g.Attach(callersKey, func() any { return listen })
	g.OnAttached(callersKey, z.handleAttachment)
	return z
}

// handleAttachment stores the address that a peer has attached. An invalid address is
// ignored.
func (z *zones) handleAttachment(from member.Peer, value json.RawMessage) {
	var address string
	if json.Unmarshal(value, &address) != nil {
		return
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		return
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	if old := z.bases[from.ID]; old != nil && old.Host == address {
		return
	}
	z.bases[from.ID] = &url.URL{Scheme: "http", Host: address}
	z.cached.Store(nil)
}

// OtherZoneEntries implements forward.Zones.
func (z *zones) OtherZoneEntries() []*url.URL {
	view := z.group.View()
	if b := z.cached.Load(); b != nil && b.view == view {
		return b.urls
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	b := &otherEntries{view: view}
	for _, p := range view.Peers {
		u := z.bases[p.ID]
		if u != nil && p.Program == member.Entry && p.Zone != z.zone && p.State == member.Alive {
			b.urls = append(b.urls, u)
		}
	}
	z.cached.Store(b)
	return b.urls
}
