package member

import "time"

// Time without a message after which a peer is suspect or dead, in tenths of its
// heartbeat interval.
const (
	suspectTenths = 16
	deadTenths    = 22
)

// deadAfterRefusals is the number of refused connections in a row after which no
// process is taken to listen at a peer's address.
const deadAfterRefusals = 2

// evidence is what this process observed of a peer itself. Times are since the
// process started, by the monotonic clock.
type evidence struct {
	waitingSince     time.Duration // start of the wait for messages
	lastMessage      time.Duration // when the last message was received
	everReceived     bool          // a message was ever received
	notReceivedUntil time.Duration // the peer reported that it receives nothing from this process
	refusedDials     int           // refused connections in a row
	lastRefusedDial  time.Duration // time of the last refused connection
	announcedLeaving bool          // the peer announced that it is about to stop
	announcedStop    bool          // the peer announced that it stops now
	dampedUntil      time.Duration // a flapping peer stays suspect until then
}

// refusesConnections reports whether refused connections show that no process
// listens at the peer's address. That holds for twice the longest wait between two
// dials, so that the next dial confirms or refutes it.
func (e evidence) refusesConnections(now time.Duration) bool {
	return e.refusedDials >= deadAfterRefusals && now-e.lastRefusedDial <= 2*maxDialBackoff
}

// classifyPeer returns the state of a peer by the evidence e: its announcements, refused
// connections and the time since its last message. The peer is expected to send a
// heartbeat every interval.
func classifyPeer(e evidence, now, interval time.Duration) State {
	silence := now - max(e.waitingSince, e.lastMessage)
	switch {
	case e.announcedStop, e.refusesConnections(now), silence > interval*deadTenths/10:
		return Dead
	case e.announcedLeaving:
		return Leaving
	case !e.everReceived, silence > interval*suspectTenths/10:
		return Suspect
	case now < e.notReceivedUntil, now < e.dampedUntil:
		return Suspect
	default:
		return Alive
	}
}

// Damping of flapping peers: after minFlapDeaths deaths within flapWindow, a peer
// from which a message arrives again stays suspect for minFlapSuspectTime, which
// doubles with every further death up to maxFlapSuspectTime.
const (
	flapWindow         = time.Minute // period in which deaths are counted
	minFlapDeaths      = 3           // deaths in the window from which a peer is damped
	minFlapSuspectTime = 5 * time.Second
	maxFlapSuspectTime = time.Minute
)

// flaps records the recent deaths of a peer.
type flaps struct {
	deaths []time.Duration // within flapWindow, ascending
}

// recordDeath records a death or a restart.
func (f *flaps) recordDeath(now time.Duration) {
	f.removeExpired(now)
	f.deaths = append(f.deaths, now)
}

// suspectTime returns how long a peer from which a message arrives again stays suspect.
func (f *flaps) suspectTime(now time.Duration) time.Duration {
	f.removeExpired(now)
	furtherDeaths := len(f.deaths) - minFlapDeaths
	if furtherDeaths < 0 {
		return 0
	}
	suspectTime := minFlapSuspectTime
	for range furtherDeaths {
		suspectTime = min(2*suspectTime, maxFlapSuspectTime)
	}
	return suspectTime
}

// removeExpired removes the deaths before the window.
func (f *flaps) removeExpired(now time.Duration) {
	for len(f.deaths) > 0 && now-f.deaths[0] > flapWindow {
		f.deaths = f.deaths[1:]
	}
}
