package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/platform"
	"skylarkport/internal/result"
)

// Gone marks an instance that has left the list.
const Gone contract.State = "gone"

// change is one past change of an instance.
type change struct {
	at    time.Time
	state contract.State
}

// instanceStore holds the list with its past, so that a lagging reader sees
// what was true some time ago.
type instanceStore struct {
	mu    sync.Mutex
	items []contract.Instance // ascending by ID
	past  map[string][]change
}

func (s *instanceStore) add(i contract.Instance, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items = append(s.items, i)
	slices.SortFunc(s.items, func(a, b contract.Instance) int { return strings.Compare(a.ID, b.ID) })
	s.past[i.ID] = []change{{at: at, state: i.State}}
}

func (s *instanceStore) mark(id string, state contract.State) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	past, ok := s.past[id]
	if !ok {
		return refused(result.PlatformNotFound, id)
	}
	if state != contract.Live && state != contract.Leaving && state != Gone {
		return refused(result.PlatformBad, "state "+string(state))
	}
	s.past[id] = append(past, change{at: time.Now(), state: state})
	return nil
}

// list returns the list as it was at the given time.
func (s *instanceStore) list(at time.Time) []contract.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []contract.Instance{}
	for _, i := range s.items {
		past := s.past[i.ID]
		i.State = past[0].state
		for _, c := range past[1:] {
			if !c.at.After(at) {
				i.State = c.state
			}
		}
		if i.State != Gone {
			out = append(out, i)
		}
	}
	return out
}

// instancesFor is the instance list as one instance sees it.
type instancesFor struct {
	sys  *System
	from platform.From
}

// List implements contract.Instances.
func (i instancesFor) List(ctx context.Context) (list []contract.Instance, err error) {
	err = i.sys.call(ctx, i.from, instanceService, false, func() error {
		lag := i.sys.cfg.ListLag.D()
		if f, hit := i.sys.faults.hit(Lag, string(instanceService)); hit {
			lag = f.Delay.D()
		}
		list = i.sys.instances.list(time.Now().Add(-lag))
		return nil
	})
	return list, err
}
