package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

const (
	// startTime bounds the time until a daemon is ready.
	startTime = 20 * time.Second
	// startAttempts bounds the attempts to start a daemon.
	startAttempts = 4
	// zoneName is the zone of all daemons and replicas.
	zoneName = "z1"
	// readyPoll is the time between two questions whether it is.
	readyPoll = 50 * time.Millisecond
)

// errEnded means that a daemon ended before it was ready.
var errEnded = errors.New("the daemon has ended before it was ready")

// daemon is a running process of the role of the deploy file.
type daemon struct {
	name string
	// front and readiness are its addresses.
	front, readiness string
	command          *exec.Cmd
	// ended is closed when the process has ended; state says how.
	ended chan struct{}
	state string
	log   string
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// render fills in the template of the deploy file: sections of fields that have a value, and values.
func render(template string, fields map[string]string) string {
	template = sectionPattern.ReplaceAllStringFunc(template, func(s string) string {
		parts := sectionPattern.FindStringSubmatch(s)
		if fields[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	return valuePattern.ReplaceAllStringFunc(template, func(s string) string { return fields[valuePattern.FindStringSubmatch(s)[1]] })
}

// deployValue returns a text value of the deploy file.
func deployValue(key string) (string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(data)) {
		name, value, found := strings.Cut(line, "=")
		if found && strings.TrimSpace(name) == key {
			return strings.Trim(strings.TrimSpace(value), `"`), nil
		}
	}
	return "", fmt.Errorf("deploy/system.toml has no %s", key)
}

// freeAddresses returns loopback addresses that nothing listened at a moment ago.
func freeAddresses(ctx context.Context, n int) ([]string, error) {
	var list []string
	for range n {
		l, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		// The listeners stay open until all addresses are known, so that they differ.
		defer func() { _ = l.Close() }()
		list = append(list, l.Addr().String())
	}
	return list, nil
}

// startDaemon starts a daemon and waits until it is ready. It tries again with other addresses if one of them has been taken in
// the meantime, so that the daemon ends at once.
func (w *world) startDaemon(ctx context.Context, name string) (*daemon, error) {
	for range startAttempts - 1 {
		if d, err := w.startOnce(ctx, name); !errors.Is(err, errEnded) {
			return d, err
		}
	}
	return w.startOnce(ctx, name)
}

// startOnce starts a daemon on free addresses and waits until it is ready.
func (w *world) startOnce(ctx context.Context, name string) (*daemon, error) {
	addresses, err := freeAddresses(ctx, 4)
	if err != nil {
		return nil, err
	}
	template, err := deployValue("template")
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	port := func(address string) string { return address[strings.LastIndex(address, ":")+1:] }
	settings := filepath.Join(w.folder, name+".ini")
	filled := render(string(text), map[string]string{
		"nodeName": name, "zone": zoneName, "region": "region", "limits.memoryMb": "284", "limits.cpuShare": "0.4", "bootstrap": "true",
		"ip": "127.0.0.1", "listen.front": addresses[0], "listen.readiness": addresses[1], "portRange.0": port(addresses[2]),
		"portRange.1": port(addresses[3]), "platform.address": w.store.address, "platform.ttlMinMs": "1000", "bounds.graceS": "8",
		"bounds.retryRatio": "0.2", "bounds.retryWindowS": "10", "bounds.retrySlack": "198",
	})
	if err := os.WriteFile(settings, []byte(filled), 0o600); err != nil {
		return nil, err
	}
	run, err := deployValue("run")
	if err != nil {
		return nil, err
	}
	d := &daemon{name: name, front: addresses[0], readiness: addresses[1], ended: make(chan struct{}), log: filepath.Join(w.folder, name+".log")}
	out, err := os.Create(d.log)
	if err != nil {
		return nil, err
	}
	words := strings.Fields(run)
	d.command = exec.CommandContext(ctx, words[0], words[1:]...)
	d.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MANGOPATH_BOOT=" + settings}
	d.command.Stdout, d.command.Stderr = out, out
	if err := d.command.Start(); err != nil {
		return nil, err
	}
	w.note("%s starts", name)
	w.daemons = append(w.daemons, d)
	go func() {
		defer close(d.ended)
		// The state of the process says how it ended.
		_ = d.command.Wait()
		_ = out.Close()
		d.state = d.command.ProcessState.String()
		w.note("%s has ended: %s", name, d.state)
	}()
	return d, w.awaitReady(ctx, d)
}

// awaitReady waits until a daemon answers 200 at its readiness address.
func (w *world) awaitReady(ctx context.Context, d *daemon) error {
	for until := time.Now().Add(startTime); time.Now().Before(until); {
		if d.isReady(ctx) {
			w.note("%s is ready", d.name)
			return nil
		}
		select {
		case <-d.ended:
			return errEnded
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyPoll):
		}
	}
	return errors.New(d.name + " is not ready in time")
}

// isReady asks a daemon whether it is ready, as the platform does.
func (d *daemon) isReady(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.readiness+"/readiness", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// signal sends a signal to a daemon.
func (w *world) signal(d *daemon, s syscall.Signal) {
	w.note("%s gets %s", d.name, s)
	if err := d.command.Process.Signal(s); err != nil {
		w.note("the signal failed: %v", err)
	}
}

// configure writes a configuration as the operator does.
func (w *world) configure(routes []map[string]any, services ...string) {
	w.version += 3
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/health", "maxConns": 1000})
	}
	w.store.set(w.names.Configuration, map[string]any{
		"version": w.version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
	})
	text, _ := json.Marshal(routes)
	w.note("the operator writes version %d: %s", w.version, text)
}
