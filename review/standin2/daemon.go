package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// deployFile has the command of the daemon, and settingsTemplate the template of its settings.
	deployFile       = "deploy/system.toml"
	settingsTemplate = "deploy/relay.ini"
	// The ports of daemons are in one of portBlocks blocks of blockSize from firstPort on.
	firstPort  = 20000
	blockSize  = 80
	portBlocks = 150
	// readyTime bounds the time until a daemon is ready.
	readyTime = 15 * time.Second
)

// daemon is a process of the deploy file.
type daemon struct {
	name, front, readiness string
	// dir has its settings file and its log, and values are what its settings are filled with.
	dir     string
	values  map[string]string
	command *exec.Cmd
	ended   chan struct{}
}

// startDaemon starts a daemon of a data centre with the command and the settings template of the deploy file. Its log goes to a file
// in dir.
func startDaemon(dir, name, dataCentre, storeAddress string, firstStart bool) (*daemon, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	d := &daemon{name: name, front: ports[0], readiness: ports[1], dir: dir}
	_, metricsPort, _ := net.SplitHostPort(ports[2])
	_, peerPort, _ := net.SplitHostPort(ports[3])
	d.values = map[string]string{
		"nodeName": name, "zone": dataCentre, "region": "review", "limits.memoryMb": "284", "limits.cpuShare": "0.4", "listen.front": d.front,
		"listen.readiness": d.readiness, "ip": "127.0.0.1", "portRange.0": peerPort, "portRange.1": metricsPort, "platform.address": storeAddress,
		"platform.ttlMinMs": "1000", "bounds.graceS": "8", "bounds.retryRatio": "0.2", "bounds.retryWindowS": "10", "bounds.retrySlack": "198",
	}
	if firstStart {
		d.values["bootstrap"] = "true"
	}
	if err := d.start(); err != nil {
		return nil, err
	}
	return d, nil
}

// startAgain starts the daemon again after its end, which is no longer the first start of the whole system.
func (d *daemon) startAgain() error {
	delete(d.values, "bootstrap")
	return d.start()
}

// start writes the settings file and starts the process.
func (d *daemon) start() error {
	template, err := os.ReadFile(settingsTemplate)
	if err != nil {
		return err
	}
	path := filepath.Join(d.dir, d.name+".ini")
	if err := os.WriteFile(path, []byte(fill(string(template), d.values)), 0o600); err != nil {
		return err
	}
	words, err := deployCommand()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, d.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	d.command = exec.Command(words[0], words[1:]...) //nolint:noctx // The driver ends the process itself.
	d.command.Env = append(os.Environ(), "MANGOPATH_BOOT="+path)
	d.command.Stdout, d.command.Stderr = log, log
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.command.Start(); err != nil {
		return err
	}
	command, ended := d.command, make(chan struct{})
	d.ended = ended
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// deployCommand returns the words of the command of the deploy file's role.
func deployCommand() ([]string, error) {
	text, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindStringSubmatch(string(text))
	if found == nil {
		return nil, errors.New("the deploy file has no command")
	}
	return strings.Fields(found[1]), nil
}

// fill fills a settings template: sections that depend on a value, then the values.
func fill(template string, values map[string]string) string {
	sections := regexp.MustCompile(`\{\{#([^}]*)\}\}(.*?)\{\{/[^}]*\}\}`)
	template = sections.ReplaceAllStringFunc(template, func(section string) string {
		parts := sections.FindStringSubmatch(section)
		if values[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	return regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(template, func(name string) string {
		return values[strings.Trim(name, "{}")]
	})
}

// portsSeen is how many ports of the block have been given out or were not free. Daemons are started one after the other.
var portsSeen int

// freePorts returns loopback addresses with free ports below the range from which the kernel takes those of outgoing connections, which
// could take one before its daemon listens there. Drivers that are started one after the other look in different blocks.
func freePorts(n int) ([]string, error) {
	var addresses []string
	block := firstPort + os.Getpid()%portBlocks*blockSize
	for ; portsSeen < blockSize; portsSeen++ {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(block+portsSeen))
		l, err := net.Listen("tcp", address) //nolint:noctx // It is closed at once.
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		if addresses = append(addresses, address); len(addresses) == n {
			portsSeen++
			return addresses, nil
		}
	}
	return nil, errors.New("there are no free ports")
}

// awaitReady waits until the daemon is ready.
func (d *daemon) awaitReady() error {
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + d.readiness + "/readiness") //nolint:noctx // A loopback address answers at once.
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", d.name)
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) { _ = d.command.Process.Signal(s) }

// stop kills the process and waits for its end.
func (d *daemon) stop() {
	d.signal(syscall.SIGKILL)
	<-d.ended
}
