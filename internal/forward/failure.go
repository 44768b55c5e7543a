package forward

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkport/internal/admission"
	"skylarkport/internal/result"
)

// failure is the reason why a request got no usable response from an upstream.
type failure struct {
	code       result.Code
	detail     string
	notRun     bool          // the request is proved not to have run
	retryAfter time.Duration // zero if unknown
}

// Error implements error.
func (f *failure) Error() string { return f.code.String() + ": " + f.detail }

// newFailure returns a failure that counts as not run if its code implies that.
func newFailure(code result.Code, detail string) *failure {
	return &failure{code: code, detail: detail, notRun: code.Info().NotRun}
}

// toFailure converts err to a failure. If err wraps a failure, it returns that one. A
// refusal of the admission queue always means that the request was not run. For any
// other error the result code decides whether it counts as not run.
func toFailure(err error) *failure {
	var f *failure
	if errors.As(err, &f) {
		return f
	}
	var r *admission.Refusal
	if errors.As(err, &r) {
		return &failure{code: r.Code, detail: "refused by the admission queue", notRun: true, retryAfter: r.RetryAfter}
	}
	return newFailure(result.Of(err), err.Error())
}

// Problem is the JSON body of a refusal.
type Problem struct {
	Code   int    `json:"code"`
	Title  string `json:"title"`
	Detail string `json:"detail"`
	NotRun bool   `json:"not_run"`
}

// problemType is the media type of a refusal.
const problemType = "application/problem+json"

// defaultRetryAfter is the Retry-After value for refusals that are temporary.
const defaultRetryAfter = time.Second

// write sends the failure to the caller as an HTTP response.
func (f *failure) write(w http.ResponseWriter) {
	info := f.code.Info()
	body, _ := json.Marshal(Problem{Code: int(f.code), Title: info.Name, Detail: f.detail, NotRun: f.notRun})
	h := w.Header()
	h.Set("Content-Type", problemType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderResult, strconv.Itoa(int(f.code)))
	if f.notRun {
		h.Set(HeaderNotRun, "true")
	}
	if d := f.retryDelay(); d > 0 {
		seconds := (d + time.Second - 1) / time.Second
		h.Set(HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(info.Status)
	_, _ = w.Write(body)
}

// retryDelay returns the delay after which the caller may retry, or zero if a retry
// would not help.
func (f *failure) retryDelay() time.Duration {
	if f.retryAfter > 0 {
		return f.retryAfter
	}
	switch f.code.Info().Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return defaultRetryAfter
	}
	if f.code == result.KeyBusy {
		return defaultRetryAfter
	}
	return 0
}
