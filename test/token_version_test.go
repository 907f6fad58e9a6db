package test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSwitchInMidAnswer points an alias to another version of the model while answers run. It guards against an answer
// that mixes the two versions, and against calls that start on the old version after the switch is in force.
func TestSwitchInMidAnswer(t *testing.T) {
	const tokens, calls = 80, 6
	is := is.New(t)
	f := newStandardFleet(t, 1, 1)
	f.startPipeline("v2", "nieuwegein", 1)
	f.publishHostList()
	mustPropose(t, f.entryHosts[0], newChange("p2", 0, profileEntry(modelProfile("tekst-v2", "v2"))))
	f.waitServing("tekst-v2")
	type reply struct {
		prompt  string
		started time.Time
		answer  callResult
	}
	replies := make(chan reply, 3*calls)
	begin := func(when string) {
		for n := range calls {
			prompt, now := fmt.Sprintf("%s switch %d", when, n), time.Now()
			go func() {
				replies <- reply{prompt, now, requestCompletion(context.Background(), f.entryHosts[0], "tekst", prompt, tokens)}
			}()
		}
	}
	begin("before")
	time.Sleep(300 * time.Millisecond)
	begin("just before")
	status, body := propose(f.entryHosts[0], newChange("s1", aliasRevision(t, f.entryHosts[0], "tekst"), aliasEntry("tekst", "tekst-v2")))
	if status != http.StatusOK {
		t.Fatalf("switch: %d %s", status, body)
	}
	waitForVersion(t, f.entryHosts, "tekst", "v2")
	switched := time.Now()
	begin("after")
	versions := map[string]int{}
	for range 3 * calls {
		r := <-replies
		is.True(r.answer.completed)
		version := "v2"
		if r.answer.text == expectedText("v1", r.prompt, tokens) {
			version = "v1"
			is.True(r.started.Before(switched)) // no call that starts after the switch may get the old version
		}
		is.Equal(r.answer.text, expectedText(version, r.prompt, tokens))
		versions[version]++
	}
	t.Logf("answers by version: %v", versions)
	is.True(versions["v1"] >= calls && versions["v2"] >= calls)
}
