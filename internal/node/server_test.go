package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
)

// TestShutdownCompletesRequestsInFlight checks that a request that is being handled when
// the shutdown begins gets its complete response.
func TestShutdownCompletesRequestsInFlight(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handling, release := make(chan struct{}), make(chan struct{})
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(handling)
		<-release
		_, _ = io.WriteString(w, "whole")
	})}
	ended := errors.New("ended")
	var g run.Group
	addServer(&g, s, l)
	g.Add(func() error {
		<-handling
		go close(release)
		if err := s.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
		return ended
	}, func(error) {})
	got := make(chan string, 1)
	go func() {
		resp, err := http.Get("http://" + l.Addr().String())
		if err != nil {
			got <- err.Error()
			return
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		if err != nil {
			got <- err.Error()
			return
		}
		got <- string(b)
	}()
	if err := g.Run(); !errors.Is(err, ended) {
		t.Errorf("the group ended with %v", err)
	}
	if b := <-got; b != "whole" {
		t.Errorf("the caller got %q", b)
	}
}
