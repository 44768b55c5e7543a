// Package colocation estimates how services and backfill runs that share a worker affect each
// other. It learns from the tail latencies of services and the CPU use of runs that workers
// report, and predicts how much more a service can bear. It has no clock, lock or network.
//
// The tail latency of a service is modelled like that of a queue, as baseline / (1 - u), where
// baseline is the tail latency without load. The utilisation u is the service's own load plus, for
// each backfill run on the worker, a weight times the share of the worker's CPU that the run
// declares. The own load is a curve over time; a weight depends on both images and on
// the run's use of its CPU, see Use.
package colocation
