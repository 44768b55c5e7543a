package bundle

import (
	"context"
	"slices"
	"testing"

	"skylarkport/internal/resource"
	"skylarkport/internal/result"
)

func TestStrandsBy(t *testing.T) {
	use := Running{
		Tenants:  []TenantUse{{"teiki", 3, resource.Vector{MilliCPU: 3000, MemoryMB: 100}}, {"idle", 0, resource.Vector{}}},
		Services: []ServiceUse{{"confirm", 2}, {"other", 1}},
	}
	tests := []struct {
		name   string
		change func(b *Bundle)
		want   []string // paths
	}{
		{"nothing", func(*Bundle) {}, nil},
		{"tenant gone", func(b *Bundle) { b.Tenants = nil }, []string{"tenants[teiki]"}},
		{"quota below", func(b *Bundle) { b.Tenants[0].Quota = resource.Vector{MilliCPU: 2999, MemoryMB: 100} }, []string{"tenants[teiki].quota"}},
		{"quota that fits", func(b *Bundle) { b.Tenants[0].Quota = resource.Vector{MilliCPU: 3000, MemoryMB: 100} }, nil},
		{"no limit", func(b *Bundle) { b.Tenants[0].Quota = resource.Vector{} }, nil},
		{"service gone", func(b *Bundle) { b.Services = nil }, []string{"services[confirm]"}},
		{"all gone", func(b *Bundle) { b.Services, b.Tenants = nil, nil }, []string{"tenants[teiki]", "services[confirm]"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := next(initial(), "ops", "x")
			b.Tenants = slices.Clone(b.Tenants)
			tt.change(b)
			check := StrandsBy(func(context.Context) (Running, error) { return use, nil })
			reasons, err := check(t.Context(), initial(), b)
			if err != nil {
				t.Fatal(err)
			}
			var got []string
			for _, r := range reasons {
				got = append(got, r.Path)
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("reasons %v, want %v", got, tt.want)
			}
		})
	}
	away := StrandsBy(func(context.Context) (Running, error) { return Running{}, result.Errorf(result.JournalAway, "x") })
	if _, err := away(t.Context(), initial(), initial()); result.Of(err) != result.JournalAway {
		t.Errorf("a failed question gave %v", err)
	}
}
