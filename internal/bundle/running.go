package bundle

import (
	"context"
	"fmt"

	"skylarkport/internal/resource"
)

// Running is the work that runs, over all zones that can be asked.
type Running struct {
	Tenants  []TenantUse
	Services []ServiceUse
}

// TenantUse is what a tenant's tasks hold.
type TenantUse struct {
	Name   string
	Tasks  int
	Commit resource.Vector
}

// ServiceUse is a service with running replicas.
type ServiceUse struct {
	Name     string
	Replicas int
}

// StrandsBy returns the check that a bundle keeps every tenant and service that
// runs, and every quota at or above what runs. A service that the bundle in force
// does not hold either is left alone. Where ask fails the bundle is refused with
// its error.
func StrandsBy(ask func(ctx context.Context) (Running, error)) Strands {
	return func(ctx context.Context, now, next *Bundle) ([]Reason, error) {
		running, err := ask(ctx)
		if err != nil {
			return nil, err
		}
		reasons := strandedTenants(running.Tenants, next)
		return append(reasons, strandedServices(running.Services, now, next)...), nil
	}
}

func strandedTenants(uses []TenantUse, next *Bundle) []Reason {
	tenants := map[string]Tenant{}
	for _, t := range next.Tenants {
		tenants[t.Name] = t
	}
	var out []Reason
	for _, u := range uses {
		if u.Tasks == 0 {
			continue
		}
		t, ok := tenants[u.Name]
		path := fmt.Sprintf("tenants[%s]", u.Name)
		if !ok {
			out = append(out, Reason{path, fmt.Sprintf("kept: %d of its tasks run", u.Tasks)})
			continue
		}
		if !t.Quota.IsZero() && !u.Commit.Fits(t.Quota) {
			out = append(out, Reason{path + ".quota", fmt.Sprintf("at least %+v, which runs", u.Commit)})
		}
	}
	return out
}

func strandedServices(uses []ServiceUse, now, next *Bundle) []Reason {
	held, kept := map[string]bool{}, map[string]bool{}
	for _, s := range now.Services {
		held[s.Name] = true
	}
	for _, s := range next.Services {
		kept[s.Name] = true
	}
	var out []Reason
	for _, u := range uses {
		if u.Replicas > 0 && held[u.Name] && !kept[u.Name] {
			out = append(out, Reason{fmt.Sprintf("services[%s]", u.Name), fmt.Sprintf("kept: %d replicas run", u.Replicas)})
		}
	}
	return out
}
