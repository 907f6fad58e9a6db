package test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// startTimeout bounds the time until a process is ready, also on a busy machine.
	startTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// binaryDir is the folder of the binaries that the tests start.
var binaryDir string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the binaries, with the race detector if MANGOPATH_RACE is set, and runs the tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "mangopath-test")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	args := []string{"build", "-o", dir + "/"}
	if os.Getenv("MANGOPATH_RACE") != "" {
		args = append(args, "-race")
	}
	args = append(args, "mangopath.org/mangopath/cmd/mangopath", "mangopath.org/mangopath/cmd/mangostandin")
	command := exec.CommandContext(context.Background(), "go", args...)
	command.Stderr = os.Stderr
	if err := command.Run(); err != nil {
		return 1
	}
	binaryDir = dir
	return m.Run()
}

// process is a program that a test started.
type process struct {
	name    string
	command *exec.Cmd
	output  *logBuffer
	exited  chan struct{}
}

// logBuffer collects the output of a process, which is printed when the test fails.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// startProcess starts one of the built programs and kills it at the end of the test.
func startProcess(t testing.TB, name, program string, args ...string) *process {
	t.Helper()
	p := &process{name: name, output: &logBuffer{}, exited: make(chan struct{})}
	p.command = exec.CommandContext(context.Background(), filepath.Join(binaryDir, program), args...)
	p.command.Stdout, p.command.Stderr = p.output, p.output
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		<-p.exited
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, tail(p.output.String(), 60000))
		}
	})
	return p
}

// tail returns the last n bytes of a text.
func tail(s string, n int) string { return s[max(0, len(s)-n):] }

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// waitForExit waits until the process exits and returns its status, or -1 when it does not exit within the limit.
func (p *process) waitForExit(limit time.Duration) int {
	select {
	case <-p.exited:
		return p.command.ProcessState.ExitCode()
	case <-time.After(limit):
		return -1
	}
}

const (
	// firstPort and portCount give the range of ports that tests listen on. It lies below the ephemeral ports, which the
	// system may give to outgoing connections at any time.
	firstPort = 12000
	portCount = 20000
)

// portOffset is the offset of the last port handed out. It starts at random since several test programs may run at once.
var portOffset atomic.Uint32

func init() { portOffset.Store(rand.Uint32N(portCount)) }

// freeAddress returns a loopback address that is free, and that later calls return only after all others of the range.
func freeAddress(t testing.TB) string {
	t.Helper()
	for range 1000 {
		at := fmt.Sprintf("127.0.0.1:%d", firstPort+portOffset.Add(1)%portCount)
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", at)
		if err != nil {
			continue // the port is in use
		}
		_ = l.Close()
		return at
	}
	t.Fatal("1000 ports tried, none is free")
	return ""
}

// eventually polls a condition until it holds and returns how long that took. It fails the test after the limit.
func eventually(t testing.TB, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	begin := time.Now()
	for !condition() {
		if time.Since(begin) > limit {
			t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(pollInterval)
	}
	return time.Since(begin)
}

// respondsOK reports whether a GET request gets status 200 within a second.
func respondsOK(url string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = reply.Body.Close()
	return reply.StatusCode == http.StatusOK
}
