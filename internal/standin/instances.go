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

// Gone is the state of an instance that is no longer in the list.
const Gone contract.State = "gone"

// stateChange is one change of an instance's state.
type stateChange struct {
	at    time.Time
	state contract.State
}

// instanceStore holds the instances and the history of their states, so that it can return
// an outdated list.
type instanceStore struct {
	mu      sync.Mutex
	items   []contract.Instance // ascending by ID
	changes map[string][]stateChange
}

func (s *instanceStore) add(i contract.Instance, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items = append(s.items, i)
	slices.SortFunc(s.items, func(a, b contract.Instance) int { return strings.Compare(a.ID, b.ID) })
	s.changes[i.ID] = []stateChange{{at: at, state: i.State}}
}

func (s *instanceStore) setState(id string, state contract.State) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes, ok := s.changes[id]
	if !ok {
		return refused(result.PlatformNotFound, id)
	}
	if state != contract.Live && state != contract.Leaving && state != Gone {
		return refused(result.PlatformBadCall, "unknown instance state "+string(state))
	}
	s.changes[id] = append(changes, stateChange{at: time.Now(), state: state})
	return nil
}

// list returns the instances with their states at the given time, without those in state
// Gone.
func (s *instanceStore) list(at time.Time) []contract.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []contract.Instance{}
	for _, i := range s.items {
		changes := s.changes[i.ID]
		i.State = changes[0].state
		for _, c := range changes[1:] {
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

// instancesFor implements contract.Instances for one calling instance.
type instancesFor struct {
	sys  *System
	from platform.Caller
}

// List implements contract.Instances.
func (i instancesFor) List(ctx context.Context) (list []contract.Instance, err error) {
	err = i.sys.call(ctx, i.from, instanceService, false, func() error {
		lag := i.sys.cfg.ListLag.D()
		if f, match := i.sys.faults.match(Lag, string(instanceService)); match {
			lag = f.Delay.D()
		}
		list = i.sys.instances.list(time.Now().Add(-lag))
		return nil
	})
	return list, err
}
