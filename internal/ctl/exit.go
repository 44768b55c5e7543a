// Package ctl implements the commands of skylarkctl.
package ctl

import (
	"github.com/google/subcommands"

	"skylarkport/internal/result"
)

// Exit codes of skylarkctl. 0 is success.
const (
	ExitFailed      subcommands.ExitStatus = 1 // the call failed for a reason not listed below
	ExitUsage       subcommands.ExitStatus = 2 // the command line or the input is invalid
	ExitConflict    subcommands.ExitStatus = 3 // another change was accepted first, or the id is in use
	ExitNotFound    subcommands.ExitStatus = 4 // no such job, task, request or bundle
	ExitUnavailable subcommands.ExitStatus = 5 // no server responded, or the outcome is unknown; safe to repeat
	ExitRefused     subcommands.ExitStatus = 6 // refused, with no effect
)

// exitCode maps the result code of err to an exit code.
func exitCode(err error) subcommands.ExitStatus {
	switch result.Of(err) {
	case result.OK:
		return subcommands.ExitSuccess
	case result.RequestBad, result.JobBad, result.BundleBad:
		return ExitUsage
	case result.JobExists, result.BundleConflict, result.BundleOutdated, result.PlatformConflict:
		return ExitConflict
	case result.JobUnknown, result.BundleUnknown, result.PlatformNotFound:
		return ExitNotFound
	case result.PeerUnavailable, result.JobNotStored, result.PlatformUnknown:
		return ExitUnavailable
	case result.Internal:
		return ExitFailed
	}
	return ExitRefused
}
