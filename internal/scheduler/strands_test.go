package scheduler

import (
	"testing"

	"skylarkport/internal/bundle"
	"skylarkport/internal/job"
	"skylarkport/internal/operator/api"
	"skylarkport/internal/resource"
)

func TestStrands(t *testing.T) {
	commit := resource.Vector{MilliCPU: 1000, MemoryMB: 100}
	task := func(s api.TaskState) api.Task { return api.Task{State: s, Commit: commit} }
	service := api.Job{Spec: job.Spec{ID: "confirm", Tenant: "teiki", Kind: job.Service}, Tasks: []api.Task{task(api.TaskRunning), task(api.TaskStarting)}}
	ended := api.Job{Spec: job.Spec{ID: "old", Tenant: "gone", Kind: job.Batch}, Tasks: []api.Task{task(api.TaskFinished), task(api.TaskWaiting)}}
	now := &bundle.Bundle{Tenants: []bundle.Tenant{{Name: "teiki"}, {Name: "gone"}}, Services: []bundle.Service{{Name: "confirm"}}}
	quota := func(cpu int64) []bundle.Tenant {
		return []bundle.Tenant{{Name: "teiki", Quota: resource.Vector{MilliCPU: cpu, MemoryMB: 1000, Accelerators: 1}}}
	}
	services := now.Services
	tests := []struct {
		name string
		next *bundle.Bundle
		want []string
	}{
		{"same", now, nil},
		{"tenant without running work goes", &bundle.Bundle{Tenants: quota(0)[:1], Services: services}, []string{"tenants[teiki].quota"}},
		{"quota holds what runs", &bundle.Bundle{Tenants: quota(2000), Services: services}, nil},
		{"quota below what runs", &bundle.Bundle{Tenants: quota(1999), Services: services}, []string{"tenants[teiki].quota"}},
		{"tenant gone", &bundle.Bundle{Services: services}, []string{"tenants[teiki]"}},
		{"service gone", &bundle.Bundle{Tenants: now.Tenants}, []string{"services[confirm]"}},
		{"all gone", &bundle.Bundle{}, []string{"services[confirm]", "tenants[teiki]"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := strands([]api.Job{service, ended}, now, tt.next)
			if len(got) != len(tt.want) {
				t.Fatalf("strands = %v, want %v", got, tt.want)
			}
			for i := range got {
				if got[i].Path != tt.want[i] {
					t.Errorf("reason %d is about %s, want %s", i, got[i].Path, tt.want[i])
				}
			}
		})
	}
}
