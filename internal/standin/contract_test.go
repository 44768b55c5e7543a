package standin

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"skylarkport/internal/contract"
	"skylarkport/internal/job"
	"skylarkport/internal/platform"
	"skylarkport/internal/resource"
	"skylarkport/internal/result"
	"skylarkport/internal/settings"
)

const zone = "ishikari"

var from = platform.Caller{Zone: zone, Instance: "e1"}

func testSettings() settings.Standin {
	return settings.Standin{
		Workers: settings.StandinWorkers{
			BasePort: 20000, Capacity: resource.Vector{MilliCPU: 4000, MemoryMB: 8000, Accelerators: 1},
		},
		Zones:   []settings.StandinZone{{Name: zone, Workers: 2}, {Name: "tokachi", Workers: 1}},
		Entries: []settings.StandinEntry{{ID: "e1", Zone: zone, EntryPeer: "127.0.0.1:1", SchedulerPeer: "127.0.0.1:2"}},
	}
}

// overHTTP serves sys over HTTP on the loopback interface and returns a client.
func overHTTP(t *testing.T, sys *System, http2 bool) *platform.Client {
	t.Helper()
	srv := httptest.NewUnstartedServer(sys.Handler())
	srv.Config.Protocols = bothProtocols()
	srv.Start()
	t.Cleanup(srv.Close)
	c := platform.New(settings.Platform{
		Tables: srv.URL, Objects: srv.URL, Instances: srv.URL,
		Timeout: job.Duration(time.Minute), HTTP2: http2,
	}, from)
	t.Cleanup(c.Close)
	return c
}

// eachTransport runs f with in-process calls, with HTTP/1.1 and with HTTP/2.
func eachTransport(t *testing.T, cfg settings.Standin, f func(*testing.T, *System, contract.Tables, contract.Objects, contract.Instances)) {
	t.Helper()
	t.Run("memory", func(t *testing.T) {
		sys := New(cfg)
		f(t, sys, sys.Tables(from), sys.Objects(from), sys.Instances(from))
	})
	for name, http2 := range map[string]bool{"http": false, "http2": true} {
		t.Run(name, func(t *testing.T) {
			sys := New(cfg)
			c := overHTTP(t, sys, http2)
			f(t, sys, c.Tables(), c.Objects(), c.Instances())
		})
	}
}

func key(row string) contract.Key { return contract.Key{Table: "t", Row: row} }

func put(row string, cond contract.Condition, version uint64, value string) contract.Write {
	return contract.Write{Key: key(row), If: cond, Version: version, Do: contract.Put, Value: []byte(value)}
}

// wantError fails the test unless err has the code and, if it is not nil, the outcome.
func wantError(t *testing.T, err error, code result.Code, outcome contract.Outcome) {
	t.Helper()
	if result.Of(err) != code {
		t.Fatalf("error %v: code %v, want %v", err, result.Of(err), code)
	}
	if err != nil && contract.OutcomeOf(err) != outcome {
		t.Fatalf("error %v: outcome %v, want %v", err, contract.OutcomeOf(err), outcome)
	}
}

func TestTablesCommit(t *testing.T) {
	tests := []struct {
		name   string
		writes []contract.Write
		want   []uint64
		code   result.Code
		row    contract.Key
	}{
		{"insert", []contract.Write{put("new", contract.IfAbsent, 0, "x")}, []uint64{1}, result.OK, contract.Key{}},
		{"insert over a row", []contract.Write{put("a", contract.IfAbsent, 0, "x")}, nil, result.PlatformConflict, key("a")},
		{"replace at its version", []contract.Write{put("a", contract.IfVersion, 2, "x")}, []uint64{3}, result.OK, contract.Key{}},
		{"replace at an old version", []contract.Write{put("a", contract.IfVersion, 1, "x")}, nil, result.PlatformConflict, key("a")},
		{"replace a missing row", []contract.Write{put("none", contract.IfVersion, 1, "x")}, nil, result.PlatformConflict, key("none")},
		{"one condition fails", []contract.Write{put("new", contract.Always, 0, "x"), put("a", contract.IfAbsent, 0, "x")}, nil, result.PlatformConflict, key("a")},
		{"check holds", []contract.Write{{Key: key("a"), If: contract.IfVersion, Version: 2, Do: contract.Check}, put("new", contract.Always, 0, "x")}, []uint64{0, 1}, result.OK, contract.Key{}},
		{"check fails", []contract.Write{{Key: key("a"), If: contract.IfVersion, Version: 1, Do: contract.Check}, put("new", contract.Always, 0, "x")}, nil, result.PlatformConflict, key("a")},
		{"a deleted row's versions go on", []contract.Write{put("gone", contract.IfAbsent, 0, "x")}, []uint64{2}, result.OK, contract.Key{}},
		{"same row twice", []contract.Write{put("a", contract.Always, 0, "x"), put("a", contract.Always, 0, "y")}, nil, result.PlatformBadCall, contract.Key{}},
		{"no writes", nil, nil, result.PlatformBadCall, contract.Key{}},
		{"unknown condition", []contract.Write{put("a", "maybe", 0, "x")}, nil, result.PlatformBadCall, contract.Key{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			eachTransport(t, testSettings(), func(t *testing.T, _ *System, tables contract.Tables, _ contract.Objects, _ contract.Instances) {
				ctx := t.Context()
				mustCommit(t, tables, put("a", contract.IfAbsent, 0, "1"), put("gone", contract.IfAbsent, 0, "1"))
				mustCommit(t, tables, put("a", contract.IfVersion, 1, "2"), contract.Write{Key: key("gone"), If: contract.IfVersion, Version: 1, Do: contract.Delete})
				got, err := tables.Commit(ctx, tt.writes)
				wantError(t, err, tt.code, contract.Refused)
				if d := cmp.Diff(tt.want, got); d != "" {
					t.Errorf("versions: %s", d)
				}
				if err == nil {
					return
				}
				if e := err.(*contract.CallError); e.Row != tt.row {
					t.Errorf("row %v, want %v", e.Row, tt.row)
				}
				if _, err := tables.Read(ctx, key("new")); !contract.IsNotFound(err) {
					t.Errorf("a refused commit wrote a row: %v", err)
				}
			})
		})
	}
}

func mustCommit(t *testing.T, tables contract.Tables, writes ...contract.Write) {
	t.Helper()
	if _, err := tables.Commit(t.Context(), writes); err != nil {
		t.Fatal(err)
	}
}

func TestTablesScan(t *testing.T) {
	tests := []struct {
		name, from, to string
		limit          int
		want           string
		code           result.Code
	}{
		{"all", "", "", 10, "a b c", result.OK},
		{"half open", "a", "c", 10, "a b", result.OK},
		{"limit", "", "", 2, "a b", result.OK},
		{"from between keys", "aa", "", 10, "b c", result.OK},
		{"none", "x", "", 10, "", result.OK},
		{"no limit", "", "", 0, "", result.PlatformBadCall},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			eachTransport(t, testSettings(), func(t *testing.T, _ *System, tables contract.Tables, _ contract.Objects, _ contract.Instances) {
				mustCommit(t, tables, put("b", contract.Always, 0, "2"), put("c", contract.Always, 0, "3"), put("a", contract.Always, 0, "1"))
				rows, err := tables.Scan(t.Context(), "t", tt.from, tt.to, tt.limit)
				wantError(t, err, tt.code, contract.Refused)
				var got []string
				for _, r := range rows {
					got = append(got, r.Key.Row)
				}
				if s := strings.Join(got, " "); s != tt.want {
					t.Errorf("rows %q, want %q", s, tt.want)
				}
			})
		})
	}
}

// TestWriteFaults checks for each fault which error the caller of a write gets and whether
// the write takes effect.
func TestWriteFaults(t *testing.T) {
	tests := []struct {
		name    string
		fault   Fault
		code    result.Code
		outcome contract.Outcome
		written bool
	}{
		{"none", Fault{Kind: Lag, Target: "instances"}, result.OK, contract.Refused, true},
		{"down", Fault{Kind: Down, Target: "tables"}, result.PlatformRefused, contract.Refused, false},
		{"other service down", Fault{Kind: Down, Target: "objects"}, result.OK, contract.Refused, true},
		{"response lost", Fault{Kind: LostResponse, Target: "tables", Count: 1}, result.PlatformUnknown, contract.Unknown, true},
		{"slow beyond the timeout", Fault{Kind: Slow, Target: "tables", Delay: job.Duration(time.Hour)}, result.PlatformUnknown, contract.Unknown, true},
		{"late beyond the timeout", Fault{Kind: Late, Target: "tables", Delay: job.Duration(time.Hour)}, result.PlatformUnknown, contract.Unknown, false},
		{"cut both ways", Fault{Kind: Partition, From: zone, To: PlatformZone}, result.PlatformUnknown, contract.Unknown, false},
		{"cut towards the platform", Fault{Kind: Partition, From: zone, To: PlatformZone, OneWay: true}, result.PlatformUnknown, contract.Unknown, false},
		{"cut from the platform", Fault{Kind: Partition, From: PlatformZone, To: zone, OneWay: true}, result.PlatformUnknown, contract.Unknown, true},
		{"another zone cut", Fault{Kind: Partition, From: "tokachi", To: PlatformZone}, result.OK, contract.Refused, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := testSettings()
			if tt.outcome == contract.Unknown {
				cfg.CallTimeout = job.Duration(time.Millisecond)
			}
			eachTransport(t, cfg, func(t *testing.T, sys *System, tables contract.Tables, _ contract.Objects, _ contract.Instances) {
				if err := sys.Inject(tt.fault); err != nil {
					t.Fatal(err)
				}
				_, err := tables.Commit(t.Context(), []contract.Write{put("a", contract.IfAbsent, 0, "1")})
				wantError(t, err, tt.code, tt.outcome)
				_, err = sys.tables.read(key("a"))
				if written := err == nil; written != tt.written {
					t.Errorf("written %v, want %v", written, tt.written)
				}
			})
		})
	}
}

func TestObjects(t *testing.T) {
	eachTransport(t, testSettings(), func(t *testing.T, _ *System, _ contract.Tables, objects contract.Objects, _ contract.Instances) {
		ctx := t.Context()
		const name = "snap/a b/1%2F?x"
		_, err := objects.Get(ctx, name)
		wantError(t, err, result.PlatformNotFound, contract.Refused)
		for _, body := range [][]byte{[]byte("one"), {}, bytes.Repeat([]byte{7}, 1<<20)} {
			wantError(t, objects.Put(ctx, name, body), result.OK, contract.Refused)
			got, err := objects.Get(ctx, name)
			if err != nil || !bytes.Equal(got, body) {
				t.Errorf("get: %d bytes, %v, want %d bytes", len(got), err, len(body))
			}
		}
		wantError(t, objects.Delete(ctx, name), result.OK, contract.Refused)
		wantError(t, objects.Delete(ctx, name), result.OK, contract.Refused)
		_, err = objects.Get(ctx, name)
		wantError(t, err, result.PlatformNotFound, contract.Refused)
	})
}

func TestInstances(t *testing.T) {
	eachTransport(t, testSettings(), func(t *testing.T, sys *System, _ contract.Tables, _ contract.Objects, list contract.Instances) {
		if err := sys.SetInstanceState("ishikari-w000", contract.Leaving); err != nil {
			t.Fatal(err)
		}
		if err := sys.SetInstanceState("ishikari-w001", Gone); err != nil {
			t.Fatal(err)
		}
		wantError(t, sys.SetInstanceState("nobody", Gone), result.PlatformNotFound, contract.Refused)
		got, err := list.List(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		var ids []string
		for _, i := range got {
			ids = append(ids, i.ID+":"+string(i.State))
		}
		if s := strings.Join(ids, " "); s != "e1:live ishikari-w000:leaving tokachi-w000:live" {
			t.Errorf("list: %s", s)
		}
	})
}

// TestIntermediaryResponses checks the errors for responses that do not come from the
// platform itself, such as those of a proxy, and for malformed responses.
func TestIntermediaryResponses(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		code    result.Code
		outcome contract.Outcome
	}{
		{"429", status(http.StatusTooManyRequests), result.PlatformLimited, contract.Refused},
		{"400", status(http.StatusBadRequest), result.PlatformBadCall, contract.Refused},
		{"404", status(http.StatusNotFound), result.PlatformNotFound, contract.Refused},
		{"502", status(http.StatusBadGateway), result.PlatformUnknown, contract.Unknown},
		{"503", status(http.StatusServiceUnavailable), result.PlatformUnknown, contract.Unknown},
		{"broken", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, result.PlatformUnknown, contract.Unknown},
		{"cut short", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"versions"`))
		}, result.PlatformUnknown, contract.Unknown},
		{"not JSON", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }, result.PlatformUnknown, contract.Unknown},
		{"too few versions", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }, result.PlatformUnknown, contract.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			srv := httptest.NewServer(tt.handler)
			defer srv.Close()
			c := platform.New(settings.Platform{Tables: srv.URL}, from)
			defer c.Close()
			_, err := c.Tables().Commit(t.Context(), []contract.Write{put("a", contract.Always, 0, "")})
			wantError(t, err, tt.code, tt.outcome)
		})
	}
}

func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

func TestNoListener(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	srv.Close()
	c := platform.New(settings.Platform{Tables: srv.URL}, from)
	_, err := c.Tables().Read(t.Context(), key("a"))
	wantError(t, err, result.PlatformRefused, contract.Refused)
	_, err = c.Workers().Exchange(t.Context(), strings.TrimPrefix(srv.URL, "http://"), contract.ExchangeRequest{})
	wantError(t, err, result.WorkerUnavailable, contract.Refused)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.Tables().Read(ctx, key("a"))
	wantError(t, err, result.PlatformRefused, contract.Refused)
}
