package job

import (
	"regexp"
	"strings"

	"skylarkport/internal/result"
)

// Limits of a Spec.
const (
	MaxTasks    = 100_000
	MaxPriority = 100
	maxName     = 128
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Valid reports whether k is a known kind.
func (k Kind) Valid() bool { return k == Service || k == Batch || k == Watch }

// Valid reports whether c is a known service class.
func (c Class) Valid() bool { return c == LatencyCritical || c == BestEffort }

// FamilyName returns the family, or the ID if no family is set.
func (s *Spec) FamilyName() string {
	if s.Family != "" {
		return s.Family
	}
	return s.ID
}

// Validate returns an error with the code result.JobBad that lists every fault of the
// spec, or nil.
func (s *Spec) Validate() error {
	var faults []string
	check := func(ok bool, fault string) {
		if !ok {
			faults = append(faults, fault)
		}
	}
	check(validName(s.ID), "id: want 1 to 128 letters, digits, '.', '_' or '-'")
	check(validName(s.Organisation), "tenant: want 1 to 128 letters, digits, '.', '_' or '-'")
	check(s.Family == "" || validName(s.Family), "family: want a name or nothing")
	check(s.Kind.Valid(), "kind: want service, batch or watch")
	check(s.Priority >= 0 && s.Priority <= MaxPriority, "priority: want 0 to 100")
	check(s.Tasks >= 1 && s.Tasks <= MaxTasks, "tasks: want 1 to 100000")
	check(s.Needs.Valid() && !s.Needs.IsZero(), "needs: want amounts of at least 0, not all 0")
	check(s.RunTime >= 0, "run_time: want a positive duration or nothing")
	check(s.Deadline >= 0, "deadline: want a positive duration or nothing")
	check(s.Kind == Batch || s.Deadline == 0, "deadline: only a batch has one")
	check(s.Target >= 0, "target: want a positive duration or nothing")
	check(s.Retries >= 0, "retries: want 0 or more")
	check(distinct(s.Zones), "zones: want distinct names")
	if len(faults) == 0 {
		return nil
	}
	return result.Errorf(result.JobBad, "%s", strings.Join(faults, "; "))
}

func validName(s string) bool { return len(s) <= maxName && namePattern.MatchString(s) }

func distinct(names []string) bool {
	seen := make(map[string]struct{}, len(names))
	for _, n := range names {
		if _, ok := seen[n]; ok || n == "" {
			return false
		}
		seen[n] = struct{}{}
	}
	return true
}
