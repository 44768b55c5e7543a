package queueorder

import "time"

// Run is a run that may be stopped for others.
type Run struct {
	Cores   float64
	Unsaved time.Duration // run time that no checkpoint keeps
	Stop    time.Duration // how long the stop takes
	Restore time.Duration // how long the next run takes to continue
}

// Discarded is what a stop of the run throws away, in core-milliseconds: the unsaved run time, and
// the time in which the run holds capacity without making progress.
func (r Run) Discarded() float64 {
	return r.Cores * float64((r.Unsaved + r.Stop + r.Restore).Milliseconds())
}

// StartGain is what the start of the job within wait saves, in core-milliseconds: the worth that it
// loses if it would be late otherwise.
func (j *Job) StartGain(wait time.Duration) float64 {
	end := j.Elapsed + j.Chain
	if end <= j.Allowed && end+wait > j.Allowed {
		return (1 - lateWorth) * j.Work
	}
	return 0
}

// StopLoss is what a stop of a run of the job costs, in core-milliseconds: what it discards and,
// if the job could end in time only without the stop, the worth that the job loses.
func (j *Job) StopLoss(r Run) float64 {
	loss := r.Discarded()
	end := j.Elapsed + j.Chain
	if end <= j.Allowed && end+r.Stop+r.Restore > j.Allowed {
		loss += (1 - lateWorth) * j.Work
	}
	return loss
}
