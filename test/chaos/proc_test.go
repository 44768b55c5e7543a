//go:build chaos

package chaos

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	binDir    = "../../bin"
	exitWait  = 15 * time.Second
	tailBytes = 1500
)

// proc is one running program.
type proc struct {
	name string
	args []string
	file string // of its output
	cmd  *exec.Cmd
	done chan struct{} // closed at its end
}

// startProc starts a program whose output goes to a file in dir. The kernel
// ends it with the test.
func startProc(t *testing.T, dir, name string, args ...string) *proc {
	t.Helper()
	p := &proc{name: name, args: args, file: filepath.Join(dir, name+".log")}
	p.start(t)
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("%s:\n%s", name, p.tail())
		}
	})
	return p
}

func (p *proc) start(t *testing.T) {
	t.Helper()
	out, err := os.OpenFile(p.file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(binDir, p.args[0]), p.args[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		t.Fatalf("%s: %v (run make build)", p.name, err)
	}
	p.cmd, p.done = cmd, make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
}

func (p *proc) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the program at once.
func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// exit waits for the program's end and returns its exit code, -1 for none in
// time.
func (p *proc) exit() int {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(exitWait):
		return -1
	}
}

func (p *proc) tail() string {
	b, err := os.ReadFile(p.file)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(b[max(0, len(b)-tailBytes):]))
}
