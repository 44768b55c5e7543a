// Package obs sets up logs and metrics: one logger per component with a fixed
// message prefix, and a tally scope that is scraped in the Prometheus text
// format.
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

// sink is the output that all loggers share, and the lowest level that is
// written.
type sink struct {
	handler log.Handler
	level   log.Level
}

var current atomic.Pointer[sink]

// Setup makes every logger write to w in format "json" or "text" the entries of
// at least level, which is "debug", "info", "warn" or "error". Before Setup
// nothing is written.
func Setup(w io.Writer, format, level string) error {
	l, err := log.ParseLevel(level)
	if err != nil {
		return result.Errorf(result.SettingsRange, "unknown log level %q", level)
	}
	switch format {
	case "json":
		current.Store(&sink{json.New(w), l})
	case "text":
		current.Store(&sink{&textHandler{w: w}, l})
	default:
		return result.Errorf(result.SettingsRange, "unknown log format %q: want json or text", format)
	}
	return nil
}

// SetLevel changes the lowest level that is written, as named for Setup.
func SetLevel(level string) error {
	l, err := log.ParseLevel(level)
	if err != nil {
		return result.Errorf(result.SettingsRange, "unknown log level %q", level)
	}
	if s := current.Load(); s != nil {
		current.Store(&sink{s.handler, l})
	}
	return nil
}

// Logger returns the logger of a component. Its messages begin with the
// component's name and ": ". It may be called before Setup.
func Logger(component string) log.Interface {
	return &log.Logger{Handler: prefixHandler(component + ": "), Level: log.DebugLevel}
}

// prefixHandler is the handler of a component's logger. It puts the prefix
// before the message and passes the entry on to the current sink.
type prefixHandler string

// HandleLog implements log.Handler.
func (p prefixHandler) HandleLog(e *log.Entry) error {
	s := current.Load()
	if s == nil || e.Level < s.level {
		return nil
	}
	out := *e
	out.Message = string(p) + e.Message
	return s.handler.HandleLog(&out)
}

// textHandler writes one line per entry: time, level, message and fields.
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

// ErrorText returns the text of err for a log field, or "none" if err is nil.
func ErrorText(err error) string {
	if err == nil {
		return "none"
	}
	return err.Error()
}
