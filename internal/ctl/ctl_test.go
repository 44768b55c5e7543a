package ctl

import (
	"bytes"
	"context"
	"flag"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"

	"skylarkport/internal/job"
	"skylarkport/internal/operator"
	"skylarkport/internal/operator/api"
	"skylarkport/internal/result"
)

// memoryBackend is an operator.Backend that keeps jobs in memory.
type memoryBackend struct {
	jobs          map[string]job.Spec
	lostResponses int // number of submissions that are stored but get an error response
}

func (s *memoryBackend) Submit(_ context.Context, spec job.Spec) (bool, error) {
	old, ok := s.jobs[spec.ID]
	if ok && old.Tasks != spec.Tasks {
		return false, result.Errorf(result.JobExists, "%s", spec.ID)
	}
	s.jobs[spec.ID] = spec
	if s.lostResponses > 0 {
		s.lostResponses--
		return false, result.Errorf(result.JobNotStored, "%s", spec.ID)
	}
	return !ok, nil
}

func (s *memoryBackend) List(_ context.Context, kind job.Kind) (api.JobList, error) {
	var l api.JobList
	for _, v := range s.jobs {
		if kind == "" || v.Kind == kind {
			l.Jobs = append(l.Jobs, api.Job{Spec: v})
		}
	}
	return l, nil
}

func (s *memoryBackend) Show(_ context.Context, id string) (api.Job, error) {
	v, ok := s.jobs[id]
	if !ok {
		return api.Job{}, result.Errorf(result.JobUnknown, "%s", id)
	}
	return api.Job{Spec: v, Tasks: []api.Task{{Task: job.TaskID{Job: id}, State: api.TaskRunning, Worker: "w1"}}}, nil
}

func (s *memoryBackend) Cancel(_ context.Context, ids []string) (api.CancelReply, error) {
	var r api.CancelReply
	for _, id := range ids {
		code := result.OK
		if _, ok := s.jobs[id]; !ok {
			code = result.JobUnknown
		}
		r.Results = append(r.Results, api.CancelResult{ID: id, Code: int(code)})
	}
	return r, nil
}

func (s *memoryBackend) Workers(context.Context) (api.WorkerList, error) {
	return api.WorkerList{Workers: []api.Worker{{ID: "w1", Zone: "ishikari"}}}, nil
}

func (s *memoryBackend) Status(context.Context) (api.Status, error) {
	return api.Status{Instance: "i1", Zone: "ishikari"}, nil
}

func (s *memoryBackend) Explain(_ context.Context, subject string) (api.Explanation, error) {
	if !strings.HasPrefix(subject, "renewals") {
		return api.Explanation{}, result.Errorf(result.JobUnknown, "%s", subject)
	}
	return api.Explanation{Subject: subject, State: "waiting", Events: []api.Event{{Step: "wait", Detail: "no room"}}}, nil
}

// execute runs one command line and returns its exit code and output.
func execute(t *testing.T, server, stdin string, args ...string) (subcommands.ExitStatus, string) {
	t.Helper()
	var out bytes.Buffer
	fs := flag.NewFlagSet("skylarkctl", flag.ContinueOnError)
	c := subcommands.NewCommander(fs, "skylarkctl")
	c.Output, c.Error = &out, &out
	Register(c, &Env{Out: &out, Err: &out, In: strings.NewReader(stdin)})
	t.Setenv("SKYLARK_SERVERS", server)
	if err := fs.Parse(args); err != nil {
		t.Fatal(err)
	}
	return c.Execute(context.Background()), out.String()
}

const renewals = `{"id":"renewals","tenant":"teiki","tasks":20,"needs":{"milli_cpu":500,"memory_mb":256,"accelerators":0},"run_time":"2s"}`

func TestCommands(t *testing.T) {
	file := filepath.Join(t.TempDir(), "job.json")
	if err := os.WriteFile(file, []byte(renewals), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name          string
		stdin         string
		args          []string
		lostResponses int
		want          subcommands.ExitStatus
		text          string
	}{
		{name: "create from file", args: []string{"job", "create", file}, text: "renewals"},
		{name: "create from standard input", stdin: renewals, args: []string{"job", "create", "-o", "json", "-"}, text: `"id": "renewals"`},
		{name: "call without a response is repeated on the next server", args: []string{"job", "create", file}, lostResponses: 1, text: "renewals"},
		{name: "no response from any server", args: []string{"job", "create", file}, lostResponses: 2, want: ExitUnavailable, text: "1406"},
		{name: "different job with the same id", stdin: strings.Replace(renewals, "20", "21", 1), args: []string{"job", "create", "-"}, want: ExitConflict, text: "1401"},
		{name: "kind differs from the noun", stdin: strings.Replace(renewals, "{", `{"kind":"batch",`, 1), args: []string{"service", "create", "-"}, want: ExitUsage, text: "1400"},
		{name: "unknown field", stdin: `{"nope":1}`, args: []string{"job", "create", "-"}, want: ExitUsage, text: "nope"},
		{name: "every error is reported at once", stdin: `{"id":"/","tasks":0}`, args: []string{"job", "create", "-"}, want: ExitUsage, text: "tasks: want"},
		{name: "trailing data", stdin: renewals + "{}", args: []string{"job", "create", "-"}, want: ExitUsage, text: "follows"},
		{name: "list", args: []string{"job", "list"}, text: "renewals"},
		{name: "show", args: []string{"job", "show", "renewals"}, text: "running"},
		{name: "show unknown", args: []string{"job", "show", "x"}, want: ExitNotFound, text: "1402"},
		{name: "cancel", args: []string{"job", "cancel", "renewals"}, text: "1000 ok"},
		{name: "cancel unknown", args: []string{"job", "cancel", "renewals", "x"}, want: ExitNotFound, text: "1402"},
		{name: "cancel nothing", args: []string{"job", "cancel"}, want: ExitUsage},
		{name: "workers", args: []string{"workers"}, text: "ishikari"},
		{name: "status", args: []string{"status", "-o", "json"}, text: `"instance": "i1"`},
		{name: "explain", args: []string{"explain", "renewals/3"}, text: "no room"},
		{name: "explain unknown", args: []string{"explain", "x"}, want: ExitNotFound},
		{name: "unknown verb", args: []string{"job", "drop"}, want: ExitUsage, text: "job create"},
		{name: "no such file", args: []string{"job", "create", file + "x"}, want: ExitUsage},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &memoryBackend{jobs: map[string]job.Spec{}, lostResponses: tt.lostResponses}
			spec := job.Spec{ID: "renewals", Organisation: "teiki", Kind: job.Batch, Tasks: 20}
			s.jobs[spec.ID] = spec
			h := operator.New(s, nil)
			a, b := httptest.NewServer(h), httptest.NewServer(h)
			defer a.Close()
			defer b.Close()
			got, out := execute(t, a.URL+","+b.URL, tt.stdin, tt.args...)
			if got != tt.want {
				t.Errorf("exit code %d, want %d; output:\n%s", got, tt.want, out)
			}
			if !strings.Contains(out, tt.text) {
				t.Errorf("output lacks %q:\n%s", tt.text, out)
			}
		})
	}
}

func TestNoServerAnswers(t *testing.T) {
	s := httptest.NewServer(nil)
	s.Close()
	if got, out := execute(t, s.URL, "", "status"); got != ExitUnavailable {
		t.Errorf("exit code %d, want %d; output:\n%s", got, ExitUnavailable, out)
	}
}
