package workload

import (
	"fmt"

	"skylarkport/internal/result"
)

// Loan is the right to run one task, or all tasks of a gang, which one shard has lent to another.
// The borrower stores it as a job of one step. Until the borrower has returned it, only the
// borrower may start runs of the tasks.
type Loan struct {
	Task       string `json:"task"`         // the task's name in commands to workers; of a gang, that of its first member
	Lender     string `json:"lender"`       // the shard that has the task's job
	Run        int    `json:"run"`          // number of this loan; the borrower's runs have higher numbers
	Failures   int    `json:"f,omitempty"`  // number of earlier runs that failed
	FailedRuns []int  `json:"fr,omitempty"` // as in Progress
	Checkpoint string `json:"c,omitempty"`  // latest checkpoint
	Crashes           // of the task's workers before the loan
	// Cancelled says that the task's job has been cancelled. The borrower stores the loan, so that no
	// earlier call can, and starts no run.
	Cancelled bool `json:"cancelled,omitempty"`
}

// ID returns the id of the borrower's job. It differs between two loans of one task.
func (l *Loan) ID() string { return fmt.Sprintf("%s.%d", l.Task, l.Run) }

// Tasks returns the names of the lent tasks, of which spec is the borrower's job.
func (l *Loan) Tasks(spec *Spec) []string {
	first, err := ParseTaskID(l.Task)
	if err != nil {
		return nil // Validate has checked it
	}
	names := make([]string, spec.Steps[0].Tasks)
	for i := range names {
		id := first
		id.Index += i
		names[i] = id.String()
	}
	return names
}

// Validate returns an error with the code LoanBad if spec and the loan do not describe one task
// that works alone, or one gang.
func (l *Loan) Validate(spec *Spec) error {
	first, err := ParseTaskID(l.Task)
	if err != nil {
		return result.Wrap(result.LoanBad, err, "loan")
	}
	if l.Lender == "" || l.Run <= 0 || l.Failures < 0 || l.Crashes.Total < 0 || l.Crashes.AtStart < 0 {
		return result.Errorf(result.LoanBad, "loan of %s by shard %q with number %d", l.Task, l.Lender, l.Run)
	}
	if spec.ID != l.ID() {
		return result.Errorf(result.LoanBad, "loan of %s is stored as %s, want %s", l.Task, spec.ID, l.ID())
	}
	if err := spec.Validate(); err != nil {
		return result.Wrap(result.LoanBad, err, l.ID())
	}
	if len(spec.Steps) != 1 || spec.Timed() {
		return result.Errorf(result.LoanBad, "loan of %s is not one step", l.Task)
	}
	if st := &spec.Steps[0]; st.Gang && first.Index != 0 || !st.Gang && st.Tasks != 1 {
		return result.Errorf(result.LoanBad, "loan of %s is neither one task that works alone nor a gang", l.Task)
	}
	return nil
}

// ReturnedLoan gives a loan back to its lender, with the progress that the task made. The task may
// be done.
type ReturnedLoan struct {
	Loan     Loan     `json:"loan"`
	Progress Progress `json:"progress"`
}
