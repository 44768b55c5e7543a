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

// failure is why a request has no answer of an upstream.
type failure struct {
	code       result.Code
	detail     string
	notRun     bool          // proved
	retryAfter time.Duration // zero for no advice
}

// Error implements error.
func (f *failure) Error() string { return f.code.String() + ": " + f.detail }

// unsent returns a failure that the code alone proves not to have run.
func unsent(code result.Code, detail string) *failure {
	return &failure{code: code, detail: detail, notRun: code.Info().NotRun}
}

// failureOf returns err as a failure. Only a failure or a refusal of the queue
// carries more than its code says.
func failureOf(err error) *failure {
	var f *failure
	if errors.As(err, &f) {
		return f
	}
	var r *admission.Refusal
	if errors.As(err, &r) {
		return &failure{code: r.Code, detail: "refused in the queue", notRun: true, retryAfter: r.RetryAfter}
	}
	return unsent(result.Of(err), err.Error())
}

// Problem is the body of a refusal.
type Problem struct {
	Code   int    `json:"code"`
	Title  string `json:"title"`
	Detail string `json:"detail"`
	NotRun bool   `json:"not_run"`
}

// problemType is the media type of a refusal.
const problemType = "application/problem+json"

// defaultRetryAfter is the advice with refusals that pass by themselves.
const defaultRetryAfter = time.Second

// write answers with the failure.
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
	if d := f.advice(); d > 0 {
		seconds := (d + time.Second - 1) / time.Second
		h.Set(HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(info.Status)
	_, _ = w.Write(body)
}

// advice returns when the caller may come back, or zero where that does not
// help.
func (f *failure) advice() time.Duration {
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
