// Package version names the build.
package version

import (
	"runtime"
	"runtime/debug"
)

// Number is the version of the product.
const Number = "0.1.0"

// String returns the version, the commit where it is known, and the Go release.
func String() string {
	s := "skylarkport " + Number
	if c := commit(); c != "" {
		s += " " + c
	}
	return s + " " + runtime.Version()
}

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
