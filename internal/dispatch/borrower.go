package dispatch

import "skylarkport/internal/workload"

// maxBorrowerLoad is the load up to which a shard is lent single tasks. Above it, a free worker
// for the task is unlikely.
const maxBorrowerLoad = 0.95

// ChooseBorrower returns the named shard that should run one long-running task of the step,
// which finds no worker in its own shard, or "" if none probably has capacity for it.
func ChooseBorrower(st *workload.Step, loads map[string]Load, names []string) string {
	best, leastLoad := "", maxBorrowerLoad
	for _, name := range names {
		if l := loads[name]; l.Utilisation(st.MilliCPU()) <= leastLoad {
			best, leastLoad = name, l.Utilisation(st.MilliCPU())
		}
	}
	return best
}
