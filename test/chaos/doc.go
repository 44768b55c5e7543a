// Package chaos runs the real entry and scheduler programs against the stand-in,
// which simulates the platform and the workers. It injects faults and checks the
// recorded history. Its tests need the build tag chaos and the binaries that
// make build writes to bin. With the build tag measure it also measures the
// resource use of the programs.
package chaos
