package scheduler

import (
	"context"
	"fmt"

	"skylarkport/internal/bundle"
	"skylarkport/internal/job"
	"skylarkport/internal/operator/api"
	"skylarkport/internal/resource"
	"skylarkport/internal/result"
)

// Strands returns every reason why next would strand running work: a tenant
// that is gone while its tasks hold resources, a service that is gone while its
// replicas do, and a quota below what is held. Where next takes something away
// it fails while an owner does not answer, because then what runs is not known.
func (s *Scheduler) Strands(ctx context.Context, now, next *bundle.Bundle) ([]bundle.Reason, error) {
	if !takesAway(now, next) {
		return nil, nil
	}
	list, err := s.backend.List(ctx, "")
	if err != nil {
		return nil, err
	}
	if list.Incomplete {
		return nil, result.Errorf(result.PeerAway, "an owner did not answer, so that what runs is not known")
	}
	return strands(list.Jobs, now, next), nil
}

// takesAway reports whether next lacks a tenant or service of now, or has a
// smaller quota, so that it could strand work.
func takesAway(now, next *bundle.Bundle) bool {
	if now == nil {
		return true
	}
	for i := range now.Services {
		if !hasService(next, now.Services[i].Name) {
			return true
		}
	}
	for i := range now.Tenants {
		if smaller(&now.Tenants[i], tenantOf(next, now.Tenants[i].Name)) {
			return true
		}
	}
	return false
}

// smaller reports whether a tenant goes, or gets a quota that does not hold its
// earlier one. A quota of zero is no limit.
func smaller(now, next *bundle.Tenant) bool {
	switch {
	case next == nil:
		return true
	case next.Quota.IsZero():
		return false
	}
	return now.Quota.IsZero() || !now.Quota.Fits(next.Quota)
}

// strands compares what the jobs hold with both bundles.
func strands(jobs []api.Job, now, next *bundle.Bundle) []bundle.Reason {
	var reasons []bundle.Reason
	held := map[string]resource.Vector{}
	var tenants []string
	for i := range jobs {
		j := &jobs[i]
		v := holds(j)
		if v.IsZero() {
			continue
		}
		if _, ok := held[j.Spec.Organisation]; !ok {
			tenants = append(tenants, j.Spec.Organisation)
		}
		held[j.Spec.Organisation] = held[j.Spec.Organisation].Add(v)
		if j.Spec.Kind == job.Service && hasService(now, j.Spec.ID) && !hasService(next, j.Spec.ID) {
			reasons = append(reasons, bundle.Reason{Path: "services[" + j.Spec.ID + "]", Want: "kept while its replicas run"})
		}
	}
	for _, name := range tenants {
		reasons = append(reasons, strandsTenant(name, held[name], now, next)...)
	}
	return reasons
}

func strandsTenant(name string, held resource.Vector, now, next *bundle.Bundle) []bundle.Reason {
	path := "tenants[" + name + "]"
	t := tenantOf(next, name)
	switch {
	case t == nil && tenantOf(now, name) != nil:
		return []bundle.Reason{{Path: path, Want: "kept while its tasks run"}}
	case t != nil && !t.Quota.IsZero() && !held.Fits(t.Quota):
		want := fmt.Sprintf("at least what is held: %d milli_cpu, %d memory_mb, %d accelerators", held.MilliCPU, held.MemoryMB, held.Accelerators)
		return []bundle.Reason{{Path: path + ".quota", Want: want}}
	}
	return nil
}

// holds returns what a job's tasks hold at workers.
func holds(j *api.Job) resource.Vector {
	var v resource.Vector
	for i := range j.Tasks {
		switch t := &j.Tasks[i]; t.State {
		case api.TaskStarting, api.TaskRunning, api.TaskStopping:
			v = v.Add(t.Commit)
		}
	}
	return v
}

func hasService(b *bundle.Bundle, name string) bool {
	if b == nil {
		return false
	}
	for i := range b.Services {
		if b.Services[i].Name == name {
			return true
		}
	}
	return false
}

func tenantOf(b *bundle.Bundle, name string) *bundle.Tenant {
	if b == nil {
		return nil
	}
	for i := range b.Tenants {
		if b.Tenants[i].Name == name {
			return &b.Tenants[i]
		}
	}
	return nil
}
