package history

import (
	"time"

	"skylarkport/internal/result"
)

// Call is one request as its caller observed it. A repeated request has a new request
// id, also if its idempotency key is the same.
type Call struct {
	RequestID     string        `json:"request_id"`
	Key           string        `json:"key,omitempty"`
	Entry         string        `json:"entry"` // instance that the request was sent to
	Idempotent    bool          `json:"idempotent"`
	Code          result.Code   `json:"code"` // zero if there was no response
	NotRun        bool          `json:"not_run"`
	Broken        bool          `json:"broken"`           // the connection broke before the response was complete
	Matches       bool          `json:"matches"`          // the response is complete and belongs to this request
	ResponseStart string        `json:"answer,omitempty"` // the start of a response that does not match
	Sent          time.Duration `json:"sent_ns"`          // on the clock of Record, like all times here
	Ended         time.Duration `json:"ended_ns"`
}

// Stop is one graceful stop of an entry instance.
type Stop struct {
	Instance string        `json:"instance"`
	At       time.Duration `json:"at_ns"` // of the signal
	Exited   time.Duration `json:"exited_ns"`
	ExitCode int           `json:"exit_code"`
}

// Version is a sample of the bundle version that an instance had in force, 0 for
// none.
type Version struct {
	Instance string        `json:"instance"`
	At       time.Duration `json:"at_ns"`
	Version  uint64        `json:"version"`
}

// Acceptance is the accepted version of a bundle and the time at which the
// acceptance was answered.
type Acceptance struct {
	Version uint64        `json:"version"`
	At      time.Duration `json:"at_ns"`
}

// Expectation is the number of tasks of a batch job that must have finished.
type Expectation struct {
	Job      string `json:"job"`
	Finished int    `json:"finished"`
}

// Input holds everything that Check checks: the record of the stand-in platform,
// what callers and the test itself observed, and what is expected.
type Input struct {
	Record      Record
	Calls       []Call
	Stops       []Stop
	Versions    []Version // ascending by At
	Acceptances []Acceptance
	Expect      []Expectation
}

// Rule is an invariant of the system, in words.
type Rule string

// The rules.
const (
	AtMostOnce            Rule = "a non-idempotent request runs at most once"
	NoConcurrentRuns      Rule = "a task never has two runs at the same time"
	ResumesFromCheckpoint Rule = "an evicted run resumes once, from its last checkpoint"
	NoWorkLost            Rule = "no task is lost or runs again after it is reported finished"
	CompleteResponse      Rule = "every caller gets the complete response to its own request"
	NotRunAccurate        Rule = "a request refused as not run has not run"
	NoWorkWhileDraining   Rule = "a draining upstream gets no new requests"
	GracefulStop          Rule = "a graceful stop interrupts no request in flight"
	BundleInForce         Rule = "an accepted bundle is in force everywhere and never reverts"
	NoOvercommit          Rule = "no worker is committed beyond its capacity"
	WithinSlots           Rule = "no worker gets more requests or connections than it accepts"
	RecordComplete        Rule = "the record is complete"
)

// Time limits of the rules: DrainNoticeLimit until a draining upstream gets no
// new work, MaxBundleDelay until an accepted bundle is in force everywhere.
const (
	DrainNoticeLimit = 3 * time.Second
	MaxBundleDelay   = 8 * time.Second
)

// Violation is a rule that did not hold and the events that show it.
type Violation struct {
	Rule   Rule
	Detail string
}

// String returns the rule and the detail.
func (v Violation) String() string { return string(v.Rule) + ": " + v.Detail }
