package ctl

import (
	"encoding/json"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"skylarkport/internal/bundle"
	"skylarkport/internal/job"
	"skylarkport/internal/operator"
	"skylarkport/internal/platform"
	"skylarkport/internal/settings"
	"skylarkport/internal/standin"
)

// reviewerOf generates a reviewer's key with the command "keys reviewer" and
// returns its public key.
func reviewerOf(t *testing.T, dir, name string) bundle.ReviewerKey {
	t.Helper()
	code, out := execute(t, "", "", "keys", "reviewer", "-o", "json", "-out", filepath.Join(dir, name))
	if code != 0 {
		t.Fatal(out)
	}
	key := bundle.ReviewerKey{Name: name}
	if err := json.Unmarshal([]byte(out), &key); err != nil {
		t.Fatal(err)
	}
	return key
}

func TestBundleLifeCycle(t *testing.T) {
	dir := t.TempDir()
	first := &bundle.Bundle{
		Author: "ops", RequiredSignOffs: 1, Organisations: []bundle.Organisation{{Name: "teiki", Weight: 1}},
		Reviewers: []bundle.ReviewerKey{reviewerOf(t, dir, "ai"), reviewerOf(t, dir, "bo")},
	}
	sys := standin.New(settings.Standin{CallTimeout: job.Duration(time.Second)})
	from := platform.Caller{}
	lifecycle := bundle.NewLifecycle(sys.Tables(from), sys.Objects(from), first, nil, nil)
	srv := httptest.NewServer(operator.New(&memoryBackend{}, lifecycle))
	defer srv.Close()

	propose := func(author, note string) string {
		next := *first
		next.Author, next.Note = author, note
		body, err := bundle.Encode(&next)
		if err != nil {
			t.Fatal(err)
		}
		code, out := execute(t, srv.URL, string(body), "bundle", "propose", "-o", "json", "-")
		var p bundle.Proposal
		if err := json.Unmarshal([]byte(out), &p); code != 0 || err != nil {
			t.Fatalf("propose: exit %d, %v: %s", code, err, out)
		}
		return p.Hash
	}
	accepted, competing := propose("ai", "one"), propose("bo", "two")
	sign := func(hash, reviewer string) []string {
		return []string{"bundle", "sign", "-reviewer", reviewer, "-sign-key", filepath.Join(dir, reviewer+".key"), hash}
	}
	steps := []struct {
		name string
		args []string
		want int
		text string
	}{
		{"review", []string{"bundle", "review", accepted}, 0, "0 of 1 sign-offs"},
		{"accept without sign-off", []string{"bundle", "accept", accepted}, int(ExitRefused), "1502"},
		{"sign by the author", sign(accepted, "ai"), int(ExitRefused), "1507"},
		{"sign", sign(accepted, "bo"), 0, "bo"},
		{"sign the competing proposal", sign(competing, "ai"), 0, "ai"},
		{"accept", []string{"bundle", "accept", accepted}, 0, "1"},
		{"accept again", []string{"bundle", "accept", accepted}, 0, "1"},
		{"accept the competing proposal", []string{"bundle", "accept", competing}, int(ExitConflict), "1501"},
		{"status", []string{"bundle", "status"}, 0, "accepted 1"},
		{"diff", []string{"bundle", "diff", "0", "1"}, 0, "0 changes"},
		{"show", []string{"bundle", "show", "1"}, 0, `"note": "one"`},
		{"show unknown", []string{"bundle", "show", "9"}, int(ExitNotFound), "1505"},
		{"bad version", []string{"bundle", "diff", "x", "1"}, int(ExitUsage), "want a version"},
		{"unknown proposal", []string{"bundle", "review", "00"}, int(ExitNotFound), "1505"},
		{"no key", []string{"bundle", "sign", "-reviewer", "ai", accepted}, int(ExitRefused), "1110"},
	}
	for _, s := range steps {
		code, out := execute(t, srv.URL, "", s.args...)
		if int(code) != s.want || !strings.Contains(out, s.text) {
			t.Errorf("%s: exit %d, want %d with %q; output:\n%s", s.name, code, s.want, s.text, out)
		}
	}
}

func TestKeys(t *testing.T) {
	dir := t.TempDir()
	ca, cert := filepath.Join(dir, "ca"), filepath.Join(dir, "e1")
	if code, out := execute(t, "", "", "keys", "ca", "-out", ca); code != 0 {
		t.Fatal(out)
	}
	args := []string{"keys", "cert", "-authority", ca, "-for", "dosanko", "-instance", "e1", "-program", "entry", "-out", cert}
	if code, out := execute(t, "", "", args...); code != 0 {
		t.Fatal(out)
	}
	if code, out := execute(t, "", "", "keys", "cert", "-out", cert); code != ExitUsage {
		t.Errorf("exit %d for missing flags: %s", code, out)
	}
	files := tlsFiles{TLS: settings.TLS{CA: ca + ".crt", Cert: cert + ".crt", Key: cert + ".key"}, deployment: "dosanko"}
	if _, err := files.transport(); err != nil {
		t.Errorf("cannot load the generated files: %v", err)
	}
}
