// Package node implements one instance of the batch scheduler. An instance
// accepts callers' jobs, routes each to its home shard, owns some of the shards
// and follows the configuration. All instances have the same role; whatever they
// must agree on, such as the owner of a shard, is a row in the store that is
// written conditionally.
package node

import "skylarkport/internal/obs"

var logger = obs.Logger("node")
