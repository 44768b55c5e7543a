package scheduler

import (
	"testing"

	"skylarkport/internal/bundle"
	"skylarkport/internal/job"
	"skylarkport/internal/operator/api"
	"skylarkport/internal/resource"
)

func TestStrandedWork(t *testing.T) {
	commit := resource.Vector{MilliCPU: 1000, MemoryMB: 100}
	task := func(s api.TaskState) api.Task { return api.Task{State: s, Commit: commit} }
	service := api.Job{Spec: job.Spec{ID: "confirm", Organisation: "teiki", Kind: job.Service}, Tasks: []api.Task{task(api.TaskRunning), task(api.TaskStarting)}}
	ended := api.Job{Spec: job.Spec{ID: "old", Organisation: "gone", Kind: job.Batch}, Tasks: []api.Task{task(api.TaskFinished), task(api.TaskWaiting)}}
	now := &bundle.Bundle{Organisations: []bundle.Organisation{{Name: "teiki"}, {Name: "gone"}}, Services: []bundle.Service{{Name: "confirm"}}}
	quota := func(cpu int64) []bundle.Organisation {
		return []bundle.Organisation{{Name: "teiki", Quota: resource.Vector{MilliCPU: cpu, MemoryMB: 1000, Accelerators: 1}}}
	}
	services := now.Services
	tests := []struct {
		name string
		next *bundle.Bundle
		want []string
	}{
		{"same", now, nil},
		{"quota lowered, and organisation without running work removed", &bundle.Bundle{Organisations: quota(0)[:1], Services: services}, []string{"tenants[teiki].quota"}},
		{"quota equal to resources in use", &bundle.Bundle{Organisations: quota(2000), Services: services}, nil},
		{"quota below resources in use", &bundle.Bundle{Organisations: quota(1999), Services: services}, []string{"tenants[teiki].quota"}},
		{"organisation removed", &bundle.Bundle{Services: services}, []string{"tenants[teiki]"}},
		{"service removed", &bundle.Bundle{Organisations: now.Organisations}, []string{"services[confirm]"}},
		{"everything removed", &bundle.Bundle{}, []string{"services[confirm]", "tenants[teiki]"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if len(tt.want) > 0 && !removesOrReduces(now, tt.next) {
				t.Error("removesOrReduces = false for a bundle that strands work")
			}
			got := strandedWork([]api.Job{service, ended}, now, tt.next)
			if len(got) != len(tt.want) {
				t.Fatalf("strandedWork = %v, want %v", got, tt.want)
			}
			for i := range got {
				if got[i].Path != tt.want[i] {
					t.Errorf("reason %d has path %s, want %s", i, got[i].Path, tt.want[i])
				}
			}
		})
	}
}

func TestRemovesOrReduces(t *testing.T) {
	quota := func(cpu int64) []bundle.Organisation {
		return []bundle.Organisation{{Name: "teiki", Quota: resource.Vector{MilliCPU: cpu, MemoryMB: cpu}}}
	}
	tests := []struct {
		name      string
		now, next *bundle.Bundle
		want      bool
	}{
		{"no bundle in force", nil, &bundle.Bundle{}, true},
		{"same", &bundle.Bundle{Organisations: quota(5)}, &bundle.Bundle{Organisations: quota(5)}, false},
		{"larger quota", &bundle.Bundle{Organisations: quota(5)}, &bundle.Bundle{Organisations: quota(6)}, false},
		{"smaller quota", &bundle.Bundle{Organisations: quota(5)}, &bundle.Bundle{Organisations: quota(4)}, true},
		{"limit added", &bundle.Bundle{Organisations: quota(0)}, &bundle.Bundle{Organisations: quota(9)}, true},
		{"limit removed", &bundle.Bundle{Organisations: quota(5)}, &bundle.Bundle{Organisations: quota(0)}, false},
		{"new organisation and service", &bundle.Bundle{}, &bundle.Bundle{Organisations: quota(5), Services: []bundle.Service{{Name: "a"}}}, false},
		{"organisation removed", &bundle.Bundle{Organisations: quota(5)}, &bundle.Bundle{}, true},
		{"service removed", &bundle.Bundle{Services: []bundle.Service{{Name: "a"}}}, &bundle.Bundle{}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := removesOrReduces(tt.now, tt.next); got != tt.want {
				t.Errorf("takesAway = %v, want %v", got, tt.want)
			}
		})
	}
}
