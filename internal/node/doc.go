// Package node is one instance of the batch side: it takes callers' jobs, finds
// the shard that each belongs to, owns some of the shards and follows the
// configuration. Instances are equal; what has to be agreed is a row in the
// store.
package node

import "skylarkport/internal/obs"

var logger = obs.Logger("node")
