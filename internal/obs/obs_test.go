package obs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"skylarkport/internal/result"
)

func TestLogger(t *testing.T) {
	logger := Logger("journal") // before Setup
	tests := []struct {
		name, format, level string
		log                 func()
		want                string // part of the output; empty for none
		wantErr             result.Code
	}{
		{name: "text", format: "text", level: "info", log: func() { logger.WithField("row", 7).Info("appended") }, want: "info  journal: appended row=7\n"},
		{name: "json", format: "json", level: "info", log: func() { logger.Warn("slow") }, want: `"message":"journal: slow"`},
		{name: "below level", format: "text", level: "warn", log: func() { logger.Info("appended") }},
		{name: "bad level", format: "text", level: "loud", wantErr: result.SettingsRange},
		{name: "bad format", format: "xml", level: "info", wantErr: result.SettingsRange},
	}
	t.Cleanup(func() { current.Store(nil) })
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			err := Setup(&out, tt.format, tt.level)
			if tt.wantErr != 0 {
				if result.Of(err) != tt.wantErr {
					t.Fatalf("Setup() = %v, want code %d", err, tt.wantErr)
				}
				return
			}
			tt.log()
			if !strings.Contains(out.String(), tt.want) || tt.want == "" && out.Len() > 0 {
				t.Errorf("wrote %q, want %q", out.String(), tt.want)
			}
			if tt.format == "json" && !json.Valid(out.Bytes()) {
				t.Errorf("wrote %q, want JSON", out.String())
			}
		})
	}
}

func TestMetrics(t *testing.T) {
	m := NewMetrics("skylark")
	l := NewLatencies(m.Scope(), "latency", 2)
	for i := range 5 {
		l.Record(fmt.Sprintf("t%d", i), "latency", 3*time.Millisecond)
	}
	m.Scope().Counter("sent").Inc(4)
	if err := m.Close(); err != nil { // copies the latest values to the registry
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	body := w.Body.String()
	for _, want := range []string{
		"skylark_sent 4",
		`skylark_latency_bucket{class="latency",tenant="t0",le="0.005"} 1`,
		`skylark_latency_bucket{class="latency",tenant="t0",le="0.002"} 0`,
		`skylark_latency_count{class="latency",tenant="t1"} 1`,
		`skylark_latency_count{class="latency",tenant="other"} 3`,
	} {
		if !strings.Contains(body, want) {
			t.Errorf("scrape lacks %q", want)
		}
	}
	if strings.Contains(body, `tenant="t2"`) {
		t.Error("scrape contains an organisation beyond the limit")
	}
}

func BenchmarkLatenciesRecord(b *testing.B) {
	m := NewMetrics("skylark")
	defer m.Close()
	l := NewLatencies(m.Scope(), "latency", 100)
	b.ReportAllocs()
	for b.Loop() {
		l.Record("teiki", "latency", 3*time.Millisecond)
	}
}
