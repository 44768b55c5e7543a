package taskqueue

import (
	"testing"
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/placement"
)

func pending(name string, i int, notBefore time.Duration) *placement.Pending {
	return &placement.Pending{Task: job.TaskID{Job: name, Index: i}, NotBefore: notBefore, Spec: &job.Spec{ID: name}}
}

func TestEventsReactivateTasks(t *testing.T) {
	tests := []struct {
		stage string
		step  placement.Step
		ev    Event
		back  bool
	}{
		{placement.StageNeverRuns, placement.SetAside, CapacityFreed, false},
		{placement.StageNeverRuns, placement.SetAside, WorkerAdded, true},
		{placement.StageRetryLimit, placement.SetAside, WorkerAdded, false},
		{placement.StageRetryLimit, placement.SetAside, RetryRequested, true},
		{placement.StageOrganisationHeadroom, placement.Wait, WorkerAdded, false},
		{placement.StageOrganisationHeadroom, placement.Wait, QuotaRaised, true},
		{"NodeResourcesFit", placement.Wait, CapacityFreed, true},
		{"NodeResourcesFit", placement.Wait, QuotaRaised, false},
	}
	for _, tt := range tests {
		t.Run(tt.stage, func(t *testing.T) {
			q := New()
			p := pending("j", 0, 0)
			q.Add(p, 0)
			q.Apply(&placement.Plan{Decisions: []placement.Decision{
				{Step: tt.step, Task: p.Task, Reason: placement.Reason{Stage: tt.stage}},
			}}, 0)
			if n := len(q.Active(time.Second)); n != 0 {
				t.Fatalf("%d tasks are active after the plan", n)
			}
			q.Notify(tt.ev)
			if back := len(q.Active(2*time.Second)) == 1; back != tt.back {
				t.Errorf("active again: %v, want %v", back, tt.back)
			}
		})
	}
}

func TestWaitingJobIsUnschedulable(t *testing.T) {
	q := New()
	for i := range 3 {
		q.Add(pending("j", i, 0), 0)
	}
	q.Add(pending("other", 0, 0), 0)
	q.Apply(&placement.Plan{Waiting: []placement.Waiting{{Job: "j", Reason: placement.Reason{Stage: "NodeResourcesFit"}}}}, 0)
	if got := q.Active(time.Second); len(got) != 1 || got[0].Task.Job != "other" {
		t.Fatalf("active: %v", got)
	}
	if state, why, _ := q.Find(job.TaskID{Job: "j", Index: 1}); state != Unschedulable || why.Stage != "NodeResourcesFit" {
		t.Errorf("the state of the task is %d, the reason %v", state, why)
	}
	q.Notify(CapacityFreed)
	if n := len(q.Active(2 * time.Second)); n != 4 {
		t.Errorf("%d tasks are active after the event, want 4", n)
	}
	q.Apply(&placement.Plan{Waiting: []placement.Waiting{{Job: "j"}}}, 3*time.Second)
	if n := len(q.Active(3*time.Second + unschedulableTimeout)); n != 4 {
		t.Errorf("%d tasks are active after the refresh, want 4", n)
	}
}

func TestBackOffAndRemoval(t *testing.T) {
	q := New()
	q.Add(pending("j", 1, 5*time.Second), 0)
	q.Add(pending("j", 0, 0), 0)
	q.Add(pending("j", 0, 0), 0) // replaced, not doubled
	if n := len(q.Active(time.Second)); n != 1 {
		t.Errorf("%d tasks are active during the back-off, want 1", n)
	}
	if n := len(q.Active(5 * time.Second)); n != 2 {
		t.Errorf("%d tasks are active after the back-off, want 2", n)
	}
	if n := q.RemoveJob("j"); n != 2 {
		t.Errorf("removed %d tasks, want 2", n)
	}
	if n := len(q.Active(6 * time.Second)); n != 0 || q.Len(Active) != 0 {
		t.Errorf("%d tasks are left, counted %d", n, q.Len(Active))
	}
}

func TestLargeJobIsActiveInParts(t *testing.T) {
	q := New()
	for i := range 3 * maxTasksPerJob {
		q.Add(pending("j", i, 0), 0)
	}
	if n := len(q.Active(0)); n != maxTasksPerJob {
		t.Errorf("%d tasks are active, want %d", n, maxTasksPerJob)
	}
}
