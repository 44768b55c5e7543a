package contract

// Headers between the entry and an upstream. A request goes to
// RunReport.BaseURL + path by HTTP/1.1.
const (
	// HeaderNotRun with HeaderTrue on an upstream's answer with status 503
	// proves that the request was not run.
	HeaderNotRun = "Skylark-Not-Run"
	// HeaderLeaving with HeaderTrue on any answer says that the upstream takes
	// no new work.
	HeaderLeaving = "Skylark-Leaving"
	// HeaderRequestID carries the request's id in both directions. An answer
	// whose id differs from the request's is discarded.
	HeaderRequestID = "X-Request-Id"
	// HeaderDeadline carries the time left, in milliseconds.
	HeaderDeadline = "Skylark-Timeout-Ms"
	// HeaderTrue is the value of a header that is either set or absent.
	HeaderTrue = "true"
)
