package test

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// runOperatorCommand runs the command-line client against an entry host and returns its exit status and output.
func (f *fleet) runOperatorCommand(e *entryHost, args ...string) (int, string) {
	f.t.Helper()
	token := filepath.Join(f.dir, "token")
	if err := os.WriteFile(token, []byte(operatorToken), 0o600); err != nil {
		f.t.Fatal(err)
	}
	p := startProcess(f.t, "command line", "mangopath", append([]string{"--operators", "http://" + e.operatorAddress, "--token-file", token, "--author", "anna"}, args...)...)
	return p.waitForExit(10 * time.Second), p.output.String()
}

// Guards against an alias that is switched to a profile that no upstream serves yet, and against refusing a switch to a
// profile that can serve, or one that the operator forces.
func TestSwitchWaitsForCompleteChain(t *testing.T) {
	is := is.New(t)
	f := newStandardFleet(t, 1, 1)
	e := f.entryHosts[0]
	v2 := modelProfile("tekst-v2", "v2")
	mustPropose(t, e, newChange("v2", 0, profileEntry(v2)))
	status, text := f.runOperatorCommand(e, "profile", "switch", "tekst", "--to", "tekst-v2")
	t.Log(text)
	is.Equal(status, 1)
	is.True(requestCompletion(context.Background(), e, "tekst", "x", 2).completed) // the alias still points to v1
	status, _ = propose(e, newChange("l2", 0, profileEntry(serviceProfile("lookup-2", "nieuwegein", false, "nowhere"))))
	is.Equal(status, http.StatusOK)
	status, _ = f.runOperatorCommand(e, "profile", "switch", "tekst", "--to", "lookup-2")
	is.Equal(status, 1) // a service without replicas
	f.startPipeline("v2", "nieuwegein", 1)
	f.publishHostList()
	f.waitServing("tekst-v2")
	status, text = f.runOperatorCommand(e, "profile", "switch", "tekst", "--to", "tekst-v2")
	t.Log(text)
	is.Equal(status, 0)
	waitForVersion(t, f.entryHosts, "tekst", "v2")
	forced := modelProfile("tekst-v3", "v3")
	mustPropose(t, e, newChange("v3", 0, profileEntry(forced)))
	status, _ = f.runOperatorCommand(e, "profile", "switch", "tekst", "--to", "tekst-v3", "--at-once")
	is.Equal(status, 0)
	forced = modelProfile("tekst-v4", "v4")
	forced.SwitchAtOnce = true
	mustPropose(t, e, newChange("v4", 0, profileEntry(forced)))
	status, _ = f.runOperatorCommand(e, "profile", "switch", "tekst", "--to", "tekst-v4")
	is.Equal(status, 0)
	status, _ = f.runOperatorCommand(e, "profile", "switch", "tekst", "--to", "lookup")
	is.Equal(status, 0) // a service with replicas
}
