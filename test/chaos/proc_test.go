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
	binDir      = "../../bin"
	exitTimeout = 15 * time.Second
	tailBytes   = 1500
)

// proc is a program that a test starts, and may start again after it has ended.
type proc struct {
	name    string
	args    []string
	logFile string // receives its output
	cmd     *exec.Cmd
	done    chan struct{} // closed when the process ends
}

// startProc starts a program whose output goes to a log file in dir. The program
// ends with the test; the kernel kills it if the test process dies first.
func startProc(t *testing.T, dir, name string, args ...string) *proc {
	t.Helper()
	p := &proc{name: name, args: args, logFile: filepath.Join(dir, name+".log")}
	p.start(t)
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("%s:\n%s", name, p.logTail())
		}
	})
	return p
}

// start starts the process. It may be called again after the process has ended.
func (p *proc) start(t *testing.T) {
	t.Helper()
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(binDir, p.args[0]), p.args[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		t.Fatalf("start %s: %v (run make build first)", p.name, err)
	}
	p.cmd, p.done = cmd, make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
}

func (p *proc) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill kills the process and waits for its end.
func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// waitForExit waits for the end of the process and returns its exit code, or -1
// after exitTimeout.
func (p *proc) waitForExit() int {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(exitTimeout):
		return -1
	}
}

// logTail returns the last tailBytes of the log file.
func (p *proc) logTail() string {
	b, err := os.ReadFile(p.logFile)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(b[max(0, len(b)-tailBytes):]))
}
