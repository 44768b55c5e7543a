package queueorder

import "time"

// Urgency is the worth per work left of a job, less the more slack it has: how much its caller loses
// when one of its runs is delayed.
func (j *Job) Urgency() float64 {
	if j.Standing = j.alone(); j.Standing == Expired {
		return 0
	}
	slack := max(0, j.Allowed-j.Elapsed-j.Chain)
	return j.density() / (1 + float64(slack)/float64(max(j.Chain, time.Millisecond)))
}
