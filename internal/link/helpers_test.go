package link

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"skylarkport/internal/obs"
	"skylarkport/internal/result"
	"skylarkport/internal/settings"
)

// pipeTransport is a Transport on in-memory pipes.
type pipeTransport struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
}

type pipeListener struct {
	net.Listener
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (p *pipeTransport) Listen(address string) (net.Listener, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &pipeListener{accept: make(chan net.Conn), closed: make(chan struct{})}
	p.listeners[address] = l
	return l, nil
}

func (p *pipeTransport) Dial(ctx context.Context, address string) (net.Conn, error) {
	p.mu.Lock()
	l := p.listeners[address]
	p.mu.Unlock()
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	a, b := net.Pipe()
	select {
	case l.accept <- b:
		return a, nil
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// echoHandler is a Handler that responds to the method "echo" with its parameters and
// any other with an error that has a result code.
type echoHandler struct {
	mu       sync.Mutex
	notified []string
	opened   int
	closed   int
}

func (h *echoHandler) Opened(*Conn) { h.mu.Lock(); defer h.mu.Unlock(); h.opened++ }
func (h *echoHandler) Closed(*Conn) { h.mu.Lock(); defer h.mu.Unlock(); h.closed++ }

func (h *echoHandler) Notified(_ *Conn, method string, params json.RawMessage) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notified = append(h.notified, method+string(params))
}

func (h *echoHandler) Called(_ context.Context, _ *Conn, method string, params json.RawMessage) (any, error) {
	if method == "echo" {
		return params, nil
	}
	return nil, result.Errorf(result.JobUnknown, "j1")
}

// writePair writes the files of a key pair and of its authority to a new directory.
func writePair(t *testing.T, ca, pair KeyPair) settings.TLS {
	t.Helper()
	dir := t.TempDir()
	files := settings.TLS{
		CA:   filepath.Join(dir, "ca.pem"),
		Cert: filepath.Join(dir, "cert.pem"),
		Key:  filepath.Join(dir, "key.pem"),
	}
	storeKeys(t, files, ca, pair)
	return files
}

func storeKeys(t *testing.T, files settings.TLS, ca, pair KeyPair) {
	t.Helper()
	for name, data := range map[string][]byte{files.CA: ca.Cert, files.Cert: pair.Cert, files.Key: pair.Key} {
		if err := os.WriteFile(name, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func newCA(t *testing.T) KeyPair {
	t.Helper()
	ca, err := GenerateCA("test", 24*time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return ca
}

func newPair(t *testing.T, ca KeyPair, id Identity, from, to time.Duration) KeyPair {
	t.Helper()
	pair, err := GenerateCert(ca, id, time.Now().Add(from), time.Now().Add(to))
	if err != nil {
		t.Fatal(err)
	}
	return pair
}

func loadKeys(t *testing.T, files settings.TLS, deployment string) *Keys {
	t.Helper()
	k, err := LoadKeys(files, deployment)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// lockedBuffer is a buffer for the log that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func captureLog(t *testing.T) *lockedBuffer {
	t.Helper()
	out := &lockedBuffer{}
	if err := obs.Setup(out, "text", "info"); err != nil {
		t.Fatal(err)
	}
	return out
}

func helloOf(deployment, instance string) Hello {
	id := Identity{Deployment: deployment, Instance: instance, Program: "entry"}
	return Hello{Identity: id, Zone: "ishikari", Address: instance, Incarnation: "1"}
}

// serve runs an endpoint until the test ends.
func serve(t *testing.T, cfg Config) *Endpoint {
	t.Helper()
	e := NewEndpoint(cfg)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := e.Serve(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
	synctest.Wait()
	return e
}
