// Package dispatch runs the jobs of one shard: the workers of some racks of an
// availability zone and the jobs whose home the shard is. One instance owns a
// shard at a time. Its decisions are committed to the store under the owner's
// row before they are carried out, and a successor rebuilds the state from the
// rows and from what the workers list.
//
// The package never decides who owns a shard and never talks to callers.
package dispatch

import "skylarkport/internal/obs"

var logger = obs.Logger("dispatch")
