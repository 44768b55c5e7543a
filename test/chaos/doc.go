// Package chaos runs the real programs against the stand-in, injects faults and
// checks the recorded history. Its tests need the build tag chaos and the
// binaries of make build.
package chaos
