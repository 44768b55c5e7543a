package link

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"skylarkport/internal/result"
)

const year = 365 * 24 * time.Hour

// TestRefusals checks which dialers are refused, with which result code, and that
// both sides log it.
func TestRefusals(t *testing.T) {
	a := Identity{Deployment: "dosanko", Instance: "a", Program: "entry"}
	tests := []struct {
		name      string
		id        Identity // identity in the dialer's certificate
		hello     Hello    // Hello of the dialer
		unknownCA bool     // signed by an unknown authority
		from, to  time.Duration
		want      result.Code
	}{
		{"good", a, helloOf("dosanko", "a"), false, 0, time.Hour, result.OK},
		{"other deployment", Identity{"cymru", "a", "entry"}, helloOf("cymru", "a"), false, 0, time.Hour, result.PeerDeployment},
		{"other deployment in the hello", a, helloOf("cymru", "a"), false, 0, time.Hour, result.PeerDeployment},
		{"expired", a, helloOf("dosanko", "a"), false, -2 * time.Hour, -time.Hour, result.PeerExpired},
		{"not yet valid", a, helloOf("dosanko", "a"), false, time.Hour, 2 * time.Hour, result.PeerExpired},
		{"unknown authority", a, helloOf("dosanko", "a"), true, 0, time.Hour, result.PeerRefused},
		{"other instance in the hello", a, helloOf("dosanko", "b"), false, 0, time.Hour, result.PeerRefused},
		{"other program in the hello", Identity{"dosanko", "a", "scheduler"}, helloOf("dosanko", "a"), false, 0, time.Hour, result.PeerRefused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := captureLog(t)
				ca := newCA(t)
				net := &pipeTransport{listeners: map[string]*pipeListener{}}
				server := helloOf("dosanko", "s")
				serverKeys := writePair(t, ca, newPair(t, ca, server.Identity, 0, time.Hour))
				serve(t, Config{Self: server, Keys: loadKeys(t, serverKeys, "dosanko"), Transport: net, Handler: &echoHandler{}})

				signer := ca
				if tt.unknownCA {
					signer = newCA(t)
				}
				files := writePair(t, ca, newPair(t, signer, tt.id, tt.from, tt.to))
				// The dialer loads its keys for the deployment of the server, so
				// that it accepts the certificate of the server.
				client := serve(t, Config{Self: tt.hello, Keys: loadKeys(t, files, "dosanko"), Transport: net, Handler: &echoHandler{}})
				c, err := client.Dial(t.Context(), "s")
				if result.Of(err) != tt.want {
					t.Fatalf("Dial() = %v, want code %d", err, tt.want)
				}
				if tt.want == result.OK {
					c.Close()
					return
				}
				synctest.Wait()
				if n := strings.Count(log.String(), fmt.Sprintf("%d %s", tt.want, tt.want)); n < 2 {
					t.Errorf("the result code is logged %d times, want it logged by both sides:\n%s", n, log.String())
				}
			})
		})
	}
}

// TestServerRefused checks that a dialer refuses a server of another deployment and
// sends it the reason.
func TestServerRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := captureLog(t)
		ca := newCA(t)
		net := &pipeTransport{listeners: map[string]*pipeListener{}}
		server, client := helloOf("cymru", "s"), helloOf("dosanko", "a")
		serverFiles := writePair(t, ca, newPair(t, ca, server.Identity, 0, time.Hour))
		serve(t, Config{Self: server, Keys: loadKeys(t, serverFiles, "cymru"), Transport: net, Handler: &echoHandler{}})
		files := writePair(t, ca, newPair(t, ca, client.Identity, 0, time.Hour))
		e := serve(t, Config{Self: client, Keys: loadKeys(t, files, "dosanko"), Transport: net, Handler: &echoHandler{}})
		if _, err := e.Dial(t.Context(), "s"); result.Of(err) != result.PeerDeployment {
			t.Fatalf("Dial() = %v", err)
		}
		synctest.Wait()
		if !strings.Contains(log.String(), "peer refused the connection") {
			t.Errorf("the server did not log the refusal:\n%s", log)
		}
	})
}

func TestCalls(t *testing.T) {
	for _, secure := range []bool{false, true} {
		t.Run(fmt.Sprintf("tls=%v", secure), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				net := &pipeTransport{listeners: map[string]*pipeListener{}}
				ca := newCA(t)
				keys := func(h Hello) *Keys {
					if !secure {
						return nil
					}
					return loadKeys(t, writePair(t, ca, newPair(t, ca, h.Identity, 0, time.Hour)), "dosanko")
				}
				server, client := helloOf("dosanko", "s"), helloOf("dosanko", "a")
				sh, ch := &echoHandler{}, &echoHandler{}
				serve(t, Config{Self: server, Keys: keys(server), Transport: net, Handler: sh})
				e := serve(t, Config{Self: client, Keys: keys(client), Transport: net, Handler: ch})
				c, err := e.Dial(t.Context(), "s")
				if err != nil {
					t.Fatal(err)
				}
				var got string
				if err := c.Call(t.Context(), "echo", "hi", &got); err != nil || got != "hi" {
					t.Errorf("Call() = %q, %v", got, err)
				}
				err = c.Call(t.Context(), "fail", nil, nil)
				if result.Of(err) != result.JobUnknown || strings.Count(err.Error(), "1402") != 1 {
					t.Errorf("Call() = %v, want code %d once", err, result.JobUnknown)
				}
				for i := range 3 {
					if err := c.Notify("n", i); err != nil {
						t.Error(err)
					}
				}
				synctest.Wait()
				if got := strings.Join(sh.notified, " "); got != "n0 n1 n2" {
					t.Errorf("notified %q", got)
				}
				if c.Peer() != server || e.Bytes().Out.Load() == 0 || e.Bytes().In.Load() == 0 {
					t.Errorf("peer %+v, bytes %d %d", c.Peer(), e.Bytes().Out.Load(), e.Bytes().In.Load())
				}
				c.Close()
				synctest.Wait()
				if sh.opened != 1 || sh.closed != 1 || ch.opened != 1 || ch.closed != 1 {
					t.Errorf("opened and closed: %+v %+v", sh, ch)
				}
				if err := c.Call(t.Context(), "echo", "hi", &got); result.Of(err) != result.PeerUnavailable {
					t.Errorf("Call() on a closed connection = %v", err)
				}
			})
		})
	}
}

// TestNoHello checks that a call before the hello is refused.
func TestNoHello(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := &pipeTransport{listeners: map[string]*pipeListener{}}
		h := &echoHandler{}
		serve(t, Config{Self: helloOf("dosanko", "s"), Transport: net, Handler: h})
		e := NewEndpoint(Config{Self: helloOf("dosanko", "a"), Transport: net, Handler: &echoHandler{}})
		defer e.stop()
		raw, err := net.Dial(t.Context(), "s")
		if err != nil {
			t.Fatal(err)
		}
		c, err := e.secure(t.Context(), raw, true)
		if err != nil {
			t.Fatal(err)
		}
		c.start()
		if err := c.Call(t.Context(), "echo", "hi", nil); result.Of(err) != result.PeerUnavailable {
			t.Errorf("Call() = %v, want code %d", err, result.PeerUnavailable)
		}
		if h.opened != 0 {
			t.Error("the connection was opened")
		}
	})
}

// TestReload checks that changed keys are used without a restart, that a connection
// is closed when the peer's certificate expires, and that the earlier keys stay in
// use while the files cannot be parsed.
func TestReload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		captureLog(t)
		ca := newCA(t)
		net := &pipeTransport{listeners: map[string]*pipeListener{}}
		server, client := helloOf("dosanko", "s"), helloOf("dosanko", "a")
		serverFiles := writePair(t, ca, newPair(t, ca, server.Identity, 0, year))
		serve(t, Config{Self: server, Keys: loadKeys(t, serverFiles, "dosanko"), Transport: net, Handler: &echoHandler{}})
		files := writePair(t, ca, newPair(t, ca, client.Identity, 0, time.Minute))
		e := serve(t, Config{Self: client, Keys: loadKeys(t, files, "dosanko"), Transport: net, Handler: &echoHandler{}})
		c, err := e.Dial(t.Context(), "s")
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute + 2*reloadInterval)
		select {
		case <-c.Done():
		default:
			t.Error("the connection is still open after the certificate expired")
		}
		if _, err := e.Dial(t.Context(), "s"); result.Of(err) != result.PeerExpired {
			t.Fatalf("Dial() with the expired key = %v", err)
		}
		storeKeys(t, files, ca, newPair(t, ca, client.Identity, 0, time.Hour))
		time.Sleep(2 * reloadInterval)
		if _, err := e.Dial(t.Context(), "s"); err != nil {
			t.Fatalf("Dial() with the new key = %v", err)
		}
		storeKeys(t, files, ca, KeyPair{Cert: []byte("x"), Key: []byte("y")})
		time.Sleep(2 * reloadInterval)
		if _, err := e.Dial(t.Context(), "s"); err != nil {
			t.Fatalf("Dial() after broken files = %v", err)
		}
	})
}

// TestAuthorityWithdrawn checks that a connection is closed when the authority that
// signed the peer's certificate is removed from the CA file.
func TestAuthorityWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := captureLog(t)
		oldAuthority, newAuthority := newCA(t), newCA(t)
		net := &pipeTransport{listeners: map[string]*pipeListener{}}
		server, client := helloOf("dosanko", "s"), helloOf("dosanko", "a")
		both := KeyPair{Cert: append(append([]byte(nil), oldAuthority.Cert...), newAuthority.Cert...)}
		serverPair := newPair(t, newAuthority, server.Identity, 0, year)
		serverFiles := writePair(t, both, serverPair)
		serve(t, Config{Self: server, Keys: loadKeys(t, serverFiles, "dosanko"), Transport: net, Handler: &echoHandler{}})
		files := writePair(t, both, newPair(t, oldAuthority, client.Identity, 0, year))
		e := serve(t, Config{Self: client, Keys: loadKeys(t, files, "dosanko"), Transport: net, Handler: &echoHandler{}})
		c, err := e.Dial(t.Context(), "s")
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * reloadInterval)
		select {
		case <-c.Done():
			t.Fatal("the connection was closed before the change")
		default:
		}
		storeKeys(t, serverFiles, newAuthority, serverPair)
		time.Sleep(2 * reloadInterval)
		select {
		case <-c.Done():
		default:
			t.Error("the connection is still open after its authority was removed")
		}
		if !strings.Contains(log.String(), fmt.Sprint(int(result.PeerRefused))) {
			t.Errorf("the refusal is not logged:\n%s", log)
		}
	})
}

// blockingHandler is a Handler that returns from no call until release is closed.
type blockingHandler struct {
	echoHandler
	release chan struct{}
}

func (h *blockingHandler) Called(context.Context, *Conn, string, json.RawMessage) (any, error) {
	<-h.release
	return nil, nil
}

// TestBounds checks the limits of concurrent calls and of the size of a message.
func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := &pipeTransport{listeners: map[string]*pipeListener{}}
		h := &blockingHandler{release: make(chan struct{})}
		serve(t, Config{Self: helloOf("dosanko", "s"), Transport: net, Handler: h})
		e := serve(t, Config{Self: helloOf("dosanko", "a"), Transport: net, Handler: &echoHandler{}})
		c, err := e.Dial(t.Context(), "s")
		if err != nil {
			t.Fatal(err)
		}
		var calls sync.WaitGroup
		for range maxConcurrentCalls {
			calls.Go(func() {
				if err := c.Call(t.Context(), "wait", nil, nil); err != nil {
					t.Error(err)
				}
			})
		}
		synctest.Wait()
		if err := c.Call(t.Context(), "wait", nil, nil); result.Of(err) != result.PeerBusy {
			t.Errorf("one call over the limit = %v, want code %d", err, result.PeerBusy)
		}
		close(h.release)
		calls.Wait()
		large := strings.Repeat("x", MaxMessageBytes+1)
		if err := c.Call(t.Context(), "wait", large, nil); result.Of(err) != result.PeerUnavailable {
			t.Errorf("a message over the limit = %v, want code %d", err, result.PeerUnavailable)
		}
	})
}

// TestLoopbackTCP checks that TCP listens and dials.
func TestLoopbackTCP(t *testing.T) {
	l, err := TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	defer l.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, _ := l.Accept()
		accepted <- c
	}()
	c, err := TCP{}.Dial(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	(<-accepted).Close()
}
