package bundle

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"skylarkport/internal/result"
)

// operatorWait bounds an operator's call.
const operatorWait = 20 * time.Second

// newTestLifecycle returns a Lifecycle on p without a Syncer.
func newTestLifecycle(p *platform, checkStranded StrandedWorkCheck) *Lifecycle {
	return NewLifecycle(p, objectStore{p}, initialBundle(), nil, checkStranded)
}

// step is one operator call of the workflow.
type step struct {
	name string
	do   func(ctx context.Context, l *Lifecycle, b *Bundle, hash string) error
}

// workflowSteps returns the operator calls that bring a bundle from proposal to acceptance.
func workflowSteps(t *testing.T) []step {
	sign := func(name string) func(context.Context, *Lifecycle, *Bundle, string) error {
		return func(ctx context.Context, l *Lifecycle, _ *Bundle, hash string) error {
			return l.Sign(ctx, Sign(reviewerKey(name), name, hash))
		}
	}
	return []step{
		{"propose", func(ctx context.Context, l *Lifecycle, b *Bundle, _ string) error {
			_, err := l.Propose(ctx, encode(t, b), b.Author)
			return err
		}},
		{"sign", sign("ai")},
		{"sign again", sign("bo")},
		{"review", func(ctx context.Context, l *Lifecycle, _ *Bundle, hash string) error {
			r, err := l.Review(ctx, hash)
			if err == nil && (len(r.SignOffs) != 2 || r.RequiredSignOffs != 2 || len(r.Reasons) > 0 || len(r.Changes) == 0) {
				t.Errorf("Review() = %+v", r)
			}
			return err
		}},
		{"accept", func(ctx context.Context, l *Lifecycle, b *Bundle, hash string) error {
			head, err := l.Accept(ctx, hash)
			if err == nil && head != (Head{b.Version, hash, b.Author}) {
				t.Errorf("Accept() = %+v", head)
			}
			return err
		}},
	}
}

// maxCallsPerStep exceeds the number of platform calls in any step. totalCalls is the
// number of platform calls in all steps: three each to propose, sign (twice) and
// review, and four to accept.
const (
	maxCallsPerStep = 10
	totalCalls      = 16
)

// TestFaultMatrix injects every fault into every platform call of every step. The
// operator repeats a step that fails. In the end the bundle must be accepted
// exactly once.
func TestFaultMatrix(t *testing.T) {
	injected := 0
	for i, faultyStep := range workflowSteps(t) {
		for _, f := range []fault{faultRefused, faultSlow, faultResponseLost, faultNotApplied} {
			for call := range maxCallsPerStep {
				synctest.Test(t, func(t *testing.T) {
					if runFaultCase(t, i, f, call) {
						injected++
					}
				})
				if t.Failed() {
					t.Fatalf("%s at call %d of %s", f, call, faultyStep.name)
				}
			}
		}
	}
	t.Logf("the fault was injected in %d cases", injected)
	if want := totalCalls * 4; injected != want {
		t.Errorf("the fault was injected in %d cases, want %d", injected, want)
	}
}

// runFaultCase runs all steps and injects f into one platform call of step faultyStep;
// call is the index of that call within the step. It reports whether the fault was injected.
func runFaultCase(t *testing.T, faultyStep int, f fault, call int) bool {
	p := newPlatform()
	l := newTestLifecycle(p, nil)
	b := successor(initialBundle(), "ops", "x")
	b.Organisations = append(b.Organisations, Organisation{Name: "new", Weight: 1})
	hash := HashOf(encode(t, b))
	injected := false
	for i, s := range workflowSteps(t) {
		if i == faultyStep {
			p.setFaultAt(f, call)
		}
		ctx, cancel := context.WithTimeout(t.Context(), operatorWait)
		err := s.do(ctx, l, b, hash)
		cancel()
		if i == faultyStep {
			injected = !p.faultPending()
			p.setFault(faultNone, false)
		}
		if err == nil {
			continue
		}
		if i != faultyStep || !injected {
			t.Errorf("%s failed without a fault: %v", s.name, err)
		}
		if err := s.do(t.Context(), l, b, hash); err != nil {
			t.Errorf("%s failed again after %s at call %d: %v", s.name, f, call, err)
		}
	}
	checkAccepted(t, p, l, Head{1, hash, "ops"})
	return injected
}

func checkAccepted(t *testing.T, p *platform, l *Lifecycle, want Head) {
	t.Helper()
	st, err := l.Status(t.Context())
	if err != nil || st.Current != want || len(st.Proposals) != 0 {
		t.Errorf("Status() = %+v, %v", st, err)
	}
	if row := p.rows[currentKey]; row.Version != want.Version {
		t.Errorf("the current row was written %d times for version %d", row.Version, want.Version)
	}
	if b, err := l.Version(t.Context(), want.Version); err != nil || b.Version != want.Version {
		t.Errorf("Version() = %+v, %v", b, err)
	}
}

// TestRace checks that exactly one of several concurrent acceptances succeeds and
// that the errors of the others name the winner, for every fault of a commit.
func TestRace(t *testing.T) {
	const operators = 5
	for _, f := range []fault{faultNone, faultSlow, faultResponseLost, faultNotApplied} {
		t.Run(string(f), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlatform()
				l := newTestLifecycle(p, nil)
				hashes := make([]string, operators)
				for i := range hashes {
					b := successor(initialBundle(), fmt.Sprint("op", i), fmt.Sprint("change ", i))
					hashes[i] = proposeSigned(t, l, b)
				}
				p.setFaultAt(f, 3) // hits the acceptance of one of them
				errs := make([]error, operators)
				var wg sync.WaitGroup
				for i := range operators {
					wg.Go(func() { _, errs[i] = newTestLifecycle(p, nil).Accept(t.Context(), hashes[i]) })
				}
				wg.Wait()
				for i := range errs {
					if code := result.Of(errs[i]); code != result.OK && code != result.BundleConflict && code != result.BundleOutdated {
						_, errs[i] = l.Accept(t.Context(), hashes[i]) // the response was lost: the operator tries again
					}
				}
				checkRace(t, l, hashes, errs)
			})
		})
	}
}

func checkRace(t *testing.T, l *Lifecycle, hashes []string, errs []error) {
	t.Helper()
	st, err := l.Status(t.Context())
	if err != nil || st.Current.Version != 1 {
		t.Fatalf("Status() = %+v, %v", st, err)
	}
	for i, err := range errs {
		won := hashes[i] == st.Current.Hash
		if won && err != nil {
			t.Errorf("the winner got %v", err)
		}
		if !won && (result.Of(err) != result.BundleConflict || !strings.Contains(err.Error(), st.Current.Author)) {
			t.Errorf("a loser got %v, want a conflict that names %s", err, st.Current.Author)
		}
	}
}

// proposeSigned stores b with two sign-offs and returns its hash.
func proposeSigned(t *testing.T, l *Lifecycle, b *Bundle) string {
	t.Helper()
	p, err := l.Propose(t.Context(), encode(t, b), b.Author)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"ai", "bo", "cy"} {
		if name == b.Author {
			continue
		}
		if err := l.Sign(t.Context(), Sign(reviewerKey(name), name, p.Hash)); err != nil {
			t.Fatal(err)
		}
	}
	return p.Hash
}

// TestSameAccepted checks that accepting a bundle twice succeeds, also after newer
// versions were accepted.
func TestSameAccepted(t *testing.T) {
	p := newPlatform()
	l := newTestLifecycle(p, nil)
	first := proposeSigned(t, l, successor(initialBundle(), "ops", "1"))
	for range 2 {
		if _, err := l.Accept(t.Context(), first); err != nil {
			t.Fatal(err)
		}
	}
	b1, err := l.Version(t.Context(), 1)
	if err != nil {
		t.Fatal(err)
	}
	second := proposeSigned(t, l, successor(b1, "ops", "2"))
	if _, err := l.Accept(t.Context(), second); err != nil {
		t.Fatal(err)
	}
	if head, err := l.Accept(t.Context(), first); err != nil || head.Version != 1 {
		t.Errorf("Accept() of version 1 again = %+v, %v", head, err)
	}
	checkAccepted(t, p, l, Head{2, second, "ops"})
	changes, err := l.Diff(t.Context(), 1, 2)
	if err != nil || len(changes) != 0 {
		t.Errorf("Diff() = %v, %v", changes, err)
	}
}

// TestRefused checks the result code of every call that the workflow rejects, and
// that nothing is accepted.
func TestRefused(t *testing.T) {
	valid := successor(initialBundle(), "ops", "x")
	tests := []struct {
		name string
		do   func(l *Lifecycle) error
		want result.Code
		text string // part of the error
	}{
		{"every reason at once", func(l *Lifecycle) error {
			b := *valid
			b.Author, b.RequiredSignOffs = "", 9
			b.Organisations = []Organisation{{Name: "a", Weight: 0}, {Name: "a", Weight: 1}}
			_, err := l.Propose(t.Context(), encode(t, &b), "")
			for _, part := range []string{"author", "sign_offs", "tenants[0].weight", "tenants[1].name"} {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("%v lacks %s", err, part)
				}
			}
			return err
		}, result.BundleBad, "author"},
		{"unknown field", func(l *Lifecycle) error {
			_, err := l.Propose(t.Context(), []byte(`{"author": "ops", "tenents": []}`), "")
			return err
		}, result.BundleBad, "tenents"},
		{"another author", func(l *Lifecycle) error {
			_, err := l.Propose(t.Context(), encode(t, valid), "mallory")
			return err
		}, result.BundleBad, "mallory"},
		{"old base", func(l *Lifecycle) error {
			b := *valid
			b.Base, b.Version = 4, 5
			_, err := l.Propose(t.Context(), encode(t, &b), "")
			return err
		}, result.BundleOutdated, "4"},
		{"version not above the base", func(l *Lifecycle) error {
			b := *valid
			b.Version = 7
			_, err := l.Propose(t.Context(), encode(t, &b), "")
			return err
		}, result.BundleBad, "version"},
		{"unknown hash", func(l *Lifecycle) error { _, err := l.Accept(t.Context(), "00"); return err }, result.BundleUnknown, "00"},
		{"no sign-offs", func(l *Lifecycle) error {
			p, err := l.Propose(t.Context(), encode(t, valid), "ops")
			if err != nil {
				return err
			}
			_, err = l.Accept(t.Context(), p.Hash)
			return err
		}, result.BundleUnsigned, "0 of 2"},
		{"the author signs", func(l *Lifecycle) error {
			p, err := l.Propose(t.Context(), encode(t, successor(initialBundle(), "ai", "x")), "ai")
			if err != nil {
				return err
			}
			return l.Sign(t.Context(), Sign(reviewerKey("ai"), "ai", p.Hash))
		}, result.BundleSelfReview, "ai"},
		{"a stranger signs", func(l *Lifecycle) error {
			p, err := l.Propose(t.Context(), encode(t, valid), "ops")
			if err != nil {
				return err
			}
			return l.Sign(t.Context(), Sign(reviewerKey("xx"), "xx", p.Hash))
		}, result.BundleSignature, "xx"},
		{"another key signs", func(l *Lifecycle) error {
			p, err := l.Propose(t.Context(), encode(t, valid), "ops")
			if err != nil {
				return err
			}
			return l.Sign(t.Context(), Sign(reviewerKey("xx"), "bo", p.Hash))
		}, result.BundleSignature, "bo"},
		{"a signature of another bundle", func(l *Lifecycle) error {
			p, err := l.Propose(t.Context(), encode(t, valid), "ops")
			if err != nil {
				return err
			}
			sign := Sign(reviewerKey("bo"), "bo", "other")
			sign.Hash = p.Hash
			return l.Sign(t.Context(), sign)
		}, result.BundleSignature, "bo"},
		{"no first bundle", func(l *Lifecycle) error {
			l.initialBundle = nil
			p, err := l.Propose(t.Context(), encode(t, valid), "ops")
			if err != nil {
				return err
			}
			_, err = l.Accept(t.Context(), p.Hash)
			return err
		}, result.BundleUnknown, "bundle_file"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPlatform()
			err := tt.do(newTestLifecycle(p, nil))
			if result.Of(err) != tt.want || !strings.Contains(err.Error(), tt.text) {
				t.Errorf("got %v, want code %d with %q", err, tt.want, tt.text)
			}
			if _, ok := p.rows[currentKey]; ok {
				t.Error("something was accepted")
			}
		})
	}
}

// TestStrandedWork checks that a bundle that does not fit the running work is rejected
// with every reason, and that nothing is accepted if the check itself fails.
func TestStrandedWork(t *testing.T) {
	running := func(_ context.Context, now, nextBundle *Bundle) ([]Reason, error) {
		var out []Reason
		for _, c := range Diff(now, nextBundle) {
			if c.Kind == Removed {
				out = append(out, Reason{c.Path, "kept, 3 tasks run"})
			}
		}
		return out, nil
	}
	p := newPlatform()
	l := newTestLifecycle(p, running)
	b := successor(initialBundle(), "ops", "x")
	b.Organisations, b.Services = nil, nil
	hash := proposeSigned(t, l, b)
	r, err := l.Review(t.Context(), hash)
	if err != nil || len(r.Reasons) != 2 {
		t.Errorf("Review() = %+v, %v", r.Reasons, err)
	}
	_, err = l.Accept(t.Context(), hash)
	if result.Of(err) != result.BundleStrandsWork || !strings.Contains(err.Error(), "tenants[teiki]") || !strings.Contains(err.Error(), "services[confirm]") {
		t.Errorf("Accept() = %v", err)
	}
	failingCheck := func(context.Context, *Bundle, *Bundle) ([]Reason, error) {
		return nil, result.Errorf(result.PlatformRefused, "unavailable")
	}
	if _, err := newTestLifecycle(p, failingCheck).Accept(t.Context(), hash); result.Of(err) != result.PlatformRefused {
		t.Errorf("Accept() without the check = %v", err)
	}
	if _, ok := p.rows[currentKey]; ok {
		t.Error("something was accepted")
	}
}
