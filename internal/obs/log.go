// Package obs sets up logs and metrics: one logger per part with a fixed
// prefix, and a tally scope that is scraped in the Prometheus text form.
package obs

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"skylarkport/internal/result"
)

// sink is where every logger writes and what it lets pass.
type sink struct {
	handler log.Handler
	level   log.Level
}

var current atomic.Pointer[sink]

// Setup makes every logger write to w in format "json" or "text" what is at
// least of level "debug", "info", "warn" or "error". Before Setup nothing is
// written.
func Setup(w io.Writer, format, level string) error {
	l, err := log.ParseLevel(level)
	if err != nil {
		return result.Errorf(result.SettingsRange, "log level %q", level)
	}
	switch format {
	case "json":
		current.Store(&sink{json.New(w), l})
	case "text":
		current.Store(&sink{&textHandler{w: w}, l})
	default:
		return result.Errorf(result.SettingsRange, "log format %q", format)
	}
	return nil
}

// Logger returns the logger of a part. Its messages begin with "part: ". It may
// be made before Setup.
func Logger(part string) log.Interface {
	return &log.Logger{Handler: prefixer(part + ": "), Level: log.DebugLevel}
}

// prefixer is the handler of a part's logger.
type prefixer string

// HandleLog implements log.Handler.
func (p prefixer) HandleLog(e *log.Entry) error {
	s := current.Load()
	if s == nil || e.Level < s.level {
		return nil
	}
	out := *e
	out.Message = string(p) + e.Message
	return s.handler.HandleLog(&out)
}

// textHandler writes one line per entry: time, level, message, fields.
type textHandler struct {
	mu sync.Mutex
	w  io.Writer
}

// HandleLog implements log.Handler.
func (h *textHandler) HandleLog(e *log.Entry) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-5s %s", e.Timestamp.UTC().Format(time.RFC3339Nano), e.Level, e.Message)
	for _, name := range e.Fields.Names() {
		fmt.Fprintf(&b, " %s=%v", name, e.Fields.Get(name))
	}
	b.WriteByte('\n')
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := io.WriteString(h.w, b.String())
	return err
}

// Cause is the text of the error that ended something, for a log's field: "none" where
// there is no error.
func Cause(err error) string {
	if err == nil {
		return "none"
	}
	return err.Error()
}
