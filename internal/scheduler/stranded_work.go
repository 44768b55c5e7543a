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

// StrandedWork returns every reason why next would strand running work: an
// organisation that is removed while its tasks hold resources, a service that is
// removed while its replicas do, and a quota below the resources in use. If next
// removes or reduces anything, it returns an error while a shard owner does not
// answer, because the running work is then unknown.
func (s *Scheduler) StrandedWork(ctx context.Context, now, next *bundle.Bundle) ([]bundle.Reason, error) {
	if !removesOrReduces(now, next) {
		return nil, nil
	}
	list, err := s.backend.List(ctx, "")
	if err != nil {
		return nil, err
	}
	if list.Incomplete {
		return nil, result.Errorf(result.PeerUnavailable, "a shard owner did not answer, so the running work is unknown")
	}
	return strandedWork(list.Jobs, now, next), nil
}

// removesOrReduces reports whether next removes an organisation or a service of
// now or reduces a quota, so that it could strand work. Without a bundle in force
// every bundle is checked.
func removesOrReduces(now, next *bundle.Bundle) bool {
	if now == nil {
		return true
	}
	for i := range now.Services {
		if !hasService(next, now.Services[i].Name) {
			return true
		}
	}
	for i := range now.Organisations {
		if removedOrReduced(&now.Organisations[i], findOrganisation(next, now.Organisations[i].Name)) {
			return true
		}
	}
	return false
}

// removedOrReduced reports whether next is nil, which means that the organisation
// is removed, or has a quota that is lower than that of now in any resource. A
// quota of zero is no limit.
func removedOrReduced(now, next *bundle.Organisation) bool {
	switch {
	case next == nil:
		return true
	case next.Quota.IsZero():
		return false
	}
	return now.Quota.IsZero() || !now.Quota.Fits(next.Quota)
}

// strandedWork compares the resources that the jobs hold with both bundles.
func strandedWork(jobs []api.Job, now, next *bundle.Bundle) []bundle.Reason {
	var reasons []bundle.Reason
	heldByOrganisation := map[string]resource.Vector{}
	var organisations []string
	for i := range jobs {
		j := &jobs[i]
		held := heldResources(j)
		if held.IsZero() {
			continue
		}
		if _, ok := heldByOrganisation[j.Spec.Organisation]; !ok {
			organisations = append(organisations, j.Spec.Organisation)
		}
		heldByOrganisation[j.Spec.Organisation] = heldByOrganisation[j.Spec.Organisation].Add(held)
		if j.Spec.Kind == job.Service && hasService(now, j.Spec.ID) && !hasService(next, j.Spec.ID) {
			reasons = append(reasons, bundle.Reason{Path: "services[" + j.Spec.ID + "]", Expected: "kept while its replicas run"})
		}
	}
	for _, name := range organisations {
		reasons = append(reasons, strandedByOrganisation(name, heldByOrganisation[name], now, next)...)
	}
	return reasons
}

func strandedByOrganisation(name string, held resource.Vector, now, next *bundle.Bundle) []bundle.Reason {
	path := "tenants[" + name + "]"
	org := findOrganisation(next, name)
	switch {
	case org == nil && findOrganisation(now, name) != nil:
		return []bundle.Reason{{Path: path, Expected: "kept while its tasks run"}}
	case org != nil && !org.Quota.IsZero() && !held.Fits(org.Quota):
		want := fmt.Sprintf("at least what is held: %d milli_cpu, %d memory_mb, %d accelerators", held.MilliCPU, held.MemoryMB, held.Accelerators)
		return []bundle.Reason{{Path: path + ".quota", Expected: want}}
	}
	return nil
}

// heldResources returns the resources that a job's tasks hold on workers.
func heldResources(j *api.Job) resource.Vector {
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

func findOrganisation(b *bundle.Bundle, name string) *bundle.Organisation {
	if b == nil {
		return nil
	}
	for i := range b.Organisations {
		if b.Organisations[i].Name == name {
			return &b.Organisations[i]
		}
	}
	return nil
}
