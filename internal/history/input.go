package history

import (
	"time"

	"skylarkport/internal/result"
)

// Call is one request as its caller saw it. Every sending has an id of its own,
// also when it repeats an idempotency key.
type Call struct {
	RequestID  string        `json:"request_id"`
	Key        string        `json:"key,omitempty"`
	Entry      string        `json:"entry"` // instance that was asked
	Idempotent bool          `json:"idempotent"`
	Code       result.Code   `json:"code"` // zero when no answer came
	NotRun     bool          `json:"not_run"`
	Broken     bool          `json:"broken"`           // the connection broke before the whole answer
	Matches    bool          `json:"matches"`          // the whole answer is that of this request
	Answer     string        `json:"answer,omitempty"` // the start of one that does not match
	Sent       time.Duration `json:"sent_ns"`          // on the clock of Record
	Ended      time.Duration `json:"ended_ns"`
}

// Stop is a graceful stop of an entry instance.
type Stop struct {
	Instance string        `json:"instance"`
	At       time.Duration `json:"at_ns"` // of the signal
	Exited   time.Duration `json:"exited_ns"`
	ExitCode int           `json:"exit_code"`
}

// Version is the bundle version that an instance had in force, 0 for none.
type Version struct {
	Instance string        `json:"instance"`
	At       time.Duration `json:"at_ns"`
	Version  uint64        `json:"version"`
}

// Acceptance is the answer to the acceptance of a bundle.
type Acceptance struct {
	Version uint64        `json:"version"`
	At      time.Duration `json:"at_ns"`
}

// Expect is how many tasks of a batch job must have finished.
type Expect struct {
	Job      string `json:"job"`
	Finished int    `json:"finished"`
}

// Input is everything that is checked.
type Input struct {
	Record      Record
	Calls       []Call
	Stops       []Stop
	Versions    []Version // ascending by At
	Acceptances []Acceptance
	Expect      []Expect
}

// Rule names what must always hold.
type Rule string

// The rules.
const (
	AtMostOnce    Rule = "a non-idempotent request runs at most once"
	OnePlace      Rule = "a task never runs in two places"
	ResumedOnce   Rule = "evicted work resumes once, from its last checkpoint"
	NothingLost   Rule = "no work is lost or doubled"
	WholeAnswer   Rule = "every caller gets the whole answer to its own request"
	NotRunHonest  Rule = "what is refused as not run was not run"
	LeavingSpared Rule = "a leaving upstream gets no new work"
	GracefulStop  Rule = "a graceful stop cuts off nothing in flight"
	BundleInForce Rule = "an accepted bundle is in force everywhere and never reverts"
	NoOvercommit  Rule = "no worker is committed beyond its capacity"
	WithinSlots   Rule = "no worker gets more requests or connections than it takes"
	Complete      Rule = "the record is complete"
)

// Limits of time that the rules hold the system to.
const (
	LeavingLimit = 3 * time.Second
	BundleLimit  = 8 * time.Second
)

// Violation is a rule that did not hold, with what shows it.
type Violation struct {
	Rule   Rule
	Detail string
}

// String returns the rule and the detail.
func (v Violation) String() string { return string(v.Rule) + ": " + v.Detail }
