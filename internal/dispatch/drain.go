package dispatch

import (
	"context"
	"time"
)

// startAckWait is how long Drain waits for the responses to starts. The next owner asks the workers
// about starts without one, and fences those that are still on their way.
const startAckWait = 300 * time.Millisecond

// Drain stops placing runs and waits until all decisions are durable and, for startAckWait, until all
// starts are acknowledged.
func (s *Shard) Drain(ctx context.Context) {
	s.mu.Lock()
	s.paused = true
	s.mu.Unlock()
	acks := time.NewTimer(startAckWait)
	defer acks.Stop()
	awaitAcks := true
	for ctx.Err() == nil {
		s.mu.Lock()
		done, cycleDone := !s.hasUncommitted() && !(awaitAcks && s.hasUnanswered()), s.cycleDone
		s.mu.Unlock()
		if done {
			return
		}
		s.wakeCommitLoop()
		select {
		case <-cycleDone:
		case <-acks.C:
			awaitAcks = false
		case <-ctx.Done():
		}
	}
}

// hasUncommitted reports whether a change is not committed.
func (s *Shard) hasUncommitted() bool {
	for _, j := range s.jobs {
		if j.dirty || !j.stored {
			return true
		}
	}
	return false
}

// hasUnanswered reports whether a start has no response yet.
func (s *Shard) hasUnanswered() bool {
	for _, j := range s.jobs {
		for _, tasks := range j.tasks {
			for _, t := range tasks {
				if t.stage == stageSent {
					return true
				}
			}
		}
	}
	return false
}

// Resume lets a drained shard place runs and commit again after a failed handover.
func (s *Shard) Resume() {
	s.mu.Lock()
	s.paused, s.suspended = false, false
	s.mu.Unlock()
	s.wakeCommitLoop()
}
