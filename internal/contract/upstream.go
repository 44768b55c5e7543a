package contract

// Headers between the entry, which forwards callers' requests, and an upstream, which
// is a run of a service. Requests go to RunReport.BaseURL + path over HTTP/1.1.
const (
	// HeaderNotRun with the value HeaderTrue on a response with status 503 proves that
	// the upstream did not process the request, so that it may be retried.
	HeaderNotRun = "Skylark-Not-Run"
	// HeaderLeaving with the value HeaderTrue on any response means that the upstream
	// accepts no new requests.
	HeaderLeaving = "Skylark-Leaving"
	// HeaderRequestID carries the request's id in both directions. A response with a
	// different id is discarded.
	HeaderRequestID = "X-Request-Id"
	// HeaderDeadline carries the time left for the request, in milliseconds.
	HeaderDeadline = "Skylark-Timeout-Ms"
	// HeaderTrue is the value of a header that is either set or absent.
	HeaderTrue = "true"
)
