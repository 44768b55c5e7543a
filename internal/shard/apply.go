package shard

import (
	"strings"

	"skylarkport/internal/contract"
	"skylarkport/internal/job"
	"skylarkport/internal/placement"
	"skylarkport/internal/result"
)

// maxFailedOn is how many of the newest failures of a task keep their worker.
const maxFailedOn = 5

// Apply changes the state by one record. For a record that contradicts the state
// it returns result.JournalCorrupt and changes nothing.
func (s *State) Apply(r *Record) error {
	switch {
	case r.LeaseBound != nil:
		s.LeaseBound = max(s.LeaseBound, r.LeaseBound.Length)
	case r.Admit != nil:
		return s.admit(r.Admit)
	case r.Cancel != nil:
		s.cancel(r.Cancel)
	case r.Place != nil:
		return s.place(r.Place)
	case r.Stop != nil:
		return s.stop(r.Stop)
	case r.Resize != nil:
		return s.resize(r.Resize)
	case r.Resized != nil:
		return s.confirmResize(r.Resized)
	case r.Progress != nil:
		return s.recordProgress(r.Progress)
	case r.End != nil:
		return s.endRun(r.End)
	case r.Moved != nil:
		return s.markMoved(r.Moved)
	case r.Escrow != nil:
		s.Escrow[r.Escrow.Organisation] = r.Escrow.Amount
	default:
		return result.Errorf(result.JournalCorrupt, "record has no known field set")
	}
	return nil
}

func (s *State) admit(r *AdmitRecord) error {
	if r.Spec == nil || r.From < 0 || r.From >= r.To {
		return result.Errorf(result.JournalCorrupt, "admit record has no job or no tasks")
	}
	j := s.Jobs[r.Spec.ID]
	if j == nil {
		j = &Job{Tasks: map[int]*Task{}}
		s.Jobs[r.Spec.ID] = j
	}
	for i := r.From; i < r.To; i++ {
		if t := j.Tasks[i]; t != nil && t.Phase != Moved {
			return result.Errorf(result.JournalCorrupt, "admit record for task %s, which the shard already has", t.ID)
		}
	}
	if j.open == 0 {
		s.removeEnded(r.Spec.ID)
	}
	j.Spec, j.Submitted = r.Spec, r.Submitted
	for i := r.From; i < r.To; i++ {
		s.admitTask(j, job.TaskID{Job: r.Spec.ID, Index: i}, r.Carried)
	}
	s.closeJob(j)
	return nil
}

func (s *State) admitTask(j *Job, id job.TaskID, carried *CarriedState) {
	t := &Task{ID: id, Phase: Waiting, job: j}
	if carried != nil {
		t.Attempt, t.Resume, t.Moves = carried.Attempt, carried.Resume, carried.Moves
		t.Evictions, t.Failures = carried.Evictions, carried.Failures
	}
	j.Tasks[id.Index] = t
	j.open++
	s.Totals.Admitted++
	if j.Cancelled {
		s.finishTask(t, Cancelled)
		return
	}
	s.waiting[id] = t
}

// cancel marks the job as cancelled and ends its waiting tasks. Its runs end by a
// StopRecord and an EndRecord. The cancellation of a job that the shard does not
// know yet is kept, so that its tasks are cancelled when they are admitted.
func (s *State) cancel(r *CancelRecord) {
	j := s.Jobs[r.Job]
	if j == nil {
		j = &Job{Tasks: map[int]*Task{}}
		s.Jobs[r.Job] = j
		s.Ended = append(s.Ended, r.Job)
	}
	if j.Cancelled {
		return
	}
	j.Cancelled = true
	for _, t := range j.Tasks {
		if t.Phase == Waiting {
			s.finishTask(t, Cancelled)
		}
	}
	s.closeJob(j)
}

func (s *State) place(r *PlaceRecord) error {
	t := s.Task(r.Run.Task)
	if t == nil || t.Phase != Waiting || r.Run.Attempt != t.Attempt+1 {
		return result.Errorf(result.JournalCorrupt, "place record for %s: its task is not waiting for this attempt", r.Run)
	}
	t.Phase, t.Attempt = Placed, r.Run.Attempt
	delete(s.waiting, t.ID)
	s.attach(t, &Run{
		ID: r.Run, Worker: r.Worker, Incarnation: r.Incarnation,
		Commit: r.Commit, Held: r.Commit,
		Resume: r.Resume, Checkpoint: r.Resume,
	})
	return nil
}

func (s *State) stop(r *StopRecord) error {
	run := s.Run(r.Run)
	if run == nil {
		return result.Errorf(result.JournalCorrupt, "stop record for %s, which is not running", r.Run)
	}
	run.Stop, run.CheckpointOnStop = r.Cause, r.Checkpoint
	return nil
}

// resize sets the wanted commitment of a run. Until the worker has confirmed it, the run
// holds the larger of the old and the new amount of each resource.
func (s *State) resize(r *ResizeRecord) error {
	run := s.Run(r.Run)
	if run == nil {
		return result.Errorf(result.JournalCorrupt, "resize record for %s, which is not running", r.Run)
	}
	run.Held = maxVector(run.Held, r.Commit)
	run.Commit, run.Throttled = r.Commit, r.Throttled
	return nil
}

// confirmResize records that the worker has applied the run's commitment.
func (s *State) confirmResize(r *ResizedRecord) error {
	run := s.Run(r.Run)
	if run == nil || run.Commit != r.Commit {
		return result.Errorf(result.JournalCorrupt, "resized record for %s does not match its commitment", r.Run)
	}
	run.Held = r.Commit
	return nil
}

func (s *State) recordProgress(r *ProgressRecord) error {
	run := s.Run(r.Run)
	if run == nil {
		return result.Errorf(result.JournalCorrupt, "progress record for %s, which is not running", r.Run)
	}
	run.Checkpoint = max(run.Checkpoint, r.Checkpoint)
	return nil
}

// endRun removes a run that has ended and sets the phase of its task.
func (s *State) endRun(r *EndRecord) error {
	run := s.Run(r.Run)
	if run == nil || !r.State.Final() {
		return result.Errorf(result.JournalCorrupt, "end record for %s: it is not running or the state is not final", r.Run)
	}
	t := run.task
	s.detach(run)
	t.Resume = max(run.Checkpoint, r.Checkpoint)
	t.Reason = r.Reason
	if run.Stop == StopMoved || run.Stop == StopPreempted {
		t.Evictions++
	}
	s.applyRunEnd(t, run, r)
	s.closeJob(t.job)
	return nil
}

// applyRunEnd sets the phase of a task whose run ended. A task that fails
// repeatedly stays waiting in the state; the placement policy sets it aside,
// because the policy knows whether the worker was at fault.
func (s *State) applyRunEnd(t *Task, run *Run, r *EndRecord) {
	if r.State == contract.Failed && !taskNotAtFault(r.Reason) {
		t.Failures++
		t.FailedOn = append(t.FailedOn, run.Worker)
		t.FailedOn = t.FailedOn[max(0, len(t.FailedOn)-maxFailedOn):]
	}
	spec := t.job.Spec
	switch {
	case r.State == contract.Finished && spec.Kind == job.Batch:
		s.finishTask(t, Finished)
	case t.job.Cancelled:
		s.finishTask(t, Cancelled)
	default:
		t.Phase = Waiting
		s.waiting[t.ID] = t
	}
}

// taskNotAtFault reports whether a failure is not counted against the task: its
// memory commitment was too small, or the worker had too little free capacity.
func taskNotAtFault(reason string) bool {
	return strings.HasPrefix(reason, placement.ReasonMemory) || strings.HasPrefix(reason, result.WorkerFull.String())
}

// markMoved marks a waiting task as moved to another shard.
func (s *State) markMoved(r *MovedRecord) error {
	t := s.Task(r.Task)
	if t == nil || t.Phase != Waiting {
		return result.Errorf(result.JournalCorrupt, "moved record for %s, which is not waiting", r.Task)
	}
	t.MovedTo = r.To
	s.finishTask(t, Moved)
	s.closeJob(t.job)
	return nil
}

func (s *State) finishTask(t *Task, p Phase) {
	t.Phase = p
	delete(s.waiting, t.ID)
	t.job.open--
	switch p {
	case Finished:
		s.Totals.Finished++
	case Cancelled:
		s.Totals.Cancelled++
	case Moved:
		s.Totals.Moved++
	}
}

// closeJob adds a job without open tasks to the ended jobs, and drops the oldest
// of these beyond maxEndedJobs.
func (s *State) closeJob(j *Job) {
	if j.open > 0 || j.Spec == nil {
		return
	}
	s.removeEnded(j.Spec.ID)
	s.Ended = append(s.Ended, j.Spec.ID)
	for len(s.Ended) > maxEndedJobs {
		delete(s.Jobs, s.Ended[0])
		s.Ended = s.Ended[1:]
	}
}

func (s *State) removeEnded(id string) {
	for i, e := range s.Ended {
		if e == id {
			s.Ended = append(s.Ended[:i:i], s.Ended[i+1:]...)
			return
		}
	}
}
