package platform

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"skylarkport/internal/contract"
	"skylarkport/internal/settings"
)

// TestListSendsOnlyChanges checks that the server sends the list only after a change, that
// this still holds after an outage, and that a caller can't modify the cached list.
func TestListSendsOnlyChanges(t *testing.T) {
	version, sent, unavailable := 1, 0, false
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if unavailable {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		tag := fmt.Sprintf("%q", fmt.Sprint(version))
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		sent++
		fmt.Fprintf(w, `{"instances":[{"id":"w%d"}]}`, version)
	}))
	defer srv.Close()
	list := New(settings.Platform{Instances: srv.URL}, Caller{}).Instances()
	steps := []struct {
		name        string
		version     int
		unavailable bool
		want        string // "" for an error
		sent        int
	}{
		{"first", 1, false, "w1", 1},
		{"unchanged", 1, false, "w1", 1},
		{"changed", 2, false, "w2", 2},
		{"down", 3, true, "", 2},
		{"back", 3, false, "w3", 3},
		{"unchanged after a fault", 3, false, "w3", 3},
	}
	for _, s := range steps {
		version, unavailable = s.version, s.unavailable
		got, err := list.List(context.Background())
		if s.want == "" {
			if err == nil {
				t.Errorf("%s: no error", s.name)
			}
			continue
		}
		if err != nil || len(got) != 1 || got[0].ID != s.want || sent != s.sent {
			t.Errorf("%s: %v, %v, sent %d times; want %s, sent %d times", s.name, got, err, sent, s.want, s.sent)
			continue
		}
		got[0] = contract.Instance{ID: "changed by the caller"}
	}
}
