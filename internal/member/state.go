package member

import "time"

// Silence after which a peer changes its state, in tenths of its heartbeat
// interval.
const (
	suspectTenths = 16
	deadTenths    = 22
)

// refusalsToDie is how many refused connections in a row prove that no process
// listens at a peer's address.
const refusalsToDie = 2

// evidence is what this process observed of a peer itself. Times are readings
// of the monotonic clock since the process started.
type evidence struct {
	since        time.Duration // when the wait for messages began
	heard        time.Duration // last message
	everHeard    bool
	unheardUntil time.Duration // the peer said that it does not hear this process
	refusals     int           // of connections in a row
	refusedAt    time.Duration // the last of them
	saidLeaving  bool
	gone         bool // it said so
	heldUntil    time.Duration
}

// refused reports whether refused connections prove that nothing listens. The
// proof holds for as long as the next attempt may take.
func (e evidence) refused(now time.Duration) bool {
	return e.refusals >= refusalsToDie && now-e.refusedAt <= 2*maxBackoff
}

// assess returns the state of a peer that is expected to send a heartbeat every
// interval.
func assess(e evidence, now, interval time.Duration) State {
	silence := now - max(e.since, e.heard)
	switch {
	case e.gone, e.refused(now), silence > interval*deadTenths/10:
		return Dead
	case e.saidLeaving:
		return Leaving
	case !e.everHeard, silence > interval*suspectTenths/10:
		return Suspect
	case now < e.unheardUntil, now < e.heldUntil:
		return Suspect
	default:
		return Alive
	}
}

// Damping of peers that flap.
const (
	flapWindow  = time.Minute // in which deaths are counted
	flapDeaths  = 3           // from which a peer is held back
	flapHold    = 5 * time.Second
	flapMaxHold = time.Minute
)

// flaps counts the deaths of a peer.
type flaps struct {
	deaths []time.Duration // within flapWindow, ascending
}

// died records a death or a restart.
func (f *flaps) died(now time.Duration) {
	f.trim(now)
	f.deaths = append(f.deaths, now)
}

// hold returns how long a peer that is heard again stays suspect.
func (f *flaps) hold(now time.Duration) time.Duration {
	f.trim(now)
	over := len(f.deaths) - flapDeaths
	if over < 0 {
		return 0
	}
	hold := flapHold
	for range over {
		hold = min(2*hold, flapMaxHold)
	}
	return hold
}

func (f *flaps) trim(now time.Duration) {
	for len(f.deaths) > 0 && now-f.deaths[0] > flapWindow {
		f.deaths = f.deaths[1:]
	}
}
