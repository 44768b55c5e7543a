// Package version provides the version of the build.
package version

import (
	"runtime"
	"runtime/debug"
)

// Number is the release version.
const Number = "0.1.0"

// String returns the release version, the commit if it is known, and the Go version.
func String() string {
	s := "skylarkport " + Number
	if c := commit(); c != "" {
		s += " " + c
	}
	return s + " " + runtime.Version()
}

// commit returns the commit that the program was built from, or an empty string.
func commit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, kv := range info.Settings {
		if kv.Key == "vcs.revision" {
			return kv.Value
		}
	}
	return ""
}
