// Package dispatch schedules and runs the jobs of one shard. A shard consists of
// the workers in some racks of an availability zone and of the jobs whose home
// shard it is. One instance owns a shard at a time. The owner commits each decision
// to the store before carrying it out; the commit is conditional on the owner row,
// so an instance that has lost the shard can't commit. The next owner rebuilds the
// state from the stored rows and from the runs that the workers report.
//
// Which instance owns a shard is decided by the caller of this package, which also
// serves the external requests.
package dispatch

import "skylarkport/internal/obs"

var logger = obs.Logger("dispatch")
