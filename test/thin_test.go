package test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangoengine"
)

// newStandardFleet starts the given number of entry hosts, one pipeline of three stages with the given number of replicas
// each, and two service replicas. It declares the profiles "tekst" (an alias of tekst-v1), "reserve" (non-idempotent) and
// "lookup" (idempotent).
func newStandardFleet(t *testing.T, entries, replicas int, settings ...string) *fleet {
	t.Helper()
	f := newFleet(t)
	for i := range entries {
		f.startEntryHost(entryName(i), "nieuwegein", settings...)
	}
	f.startPipeline("v1", "nieuwegein", replicas)
	f.startService("opvang-1", "nieuwegein")
	f.startService("opvang-2", "nieuwegein")
	f.publishHostList()
	f.declareStandardProfiles()
	f.waitServing("tekst")
	return f
}

func digestOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func entryName(i int) string { return string(rune('a'+i)) + "-entry" }

func (f *fleet) declareStandardProfiles() {
	f.t.Helper()
	hosts := []string{"opvang-1", "opvang-2"}
	mustPropose(f.t, f.entryHosts[0],
		newChange("c1", 0, customerEntry("shelter", digestOf(customerKey))),
		newChange("c2", 0, profileEntry(modelProfile("tekst-v1", "v1"))),
		newChange("c3", 0, aliasEntry("tekst", "tekst-v1")),
		newChange("c4", 0, profileEntry(serviceProfile("reserve", "nieuwegein", true, hosts...))),
		newChange("c5", 0, profileEntry(serviceProfile("lookup", "nieuwegein", false, hosts...))),
	)
}

// expectedText returns the text that the model gives for a prompt in a run without faults.
func expectedText(version, prompt string, tokens int) string {
	return mangoengine.Model{Name: "tekst-model", Version: version}.Complete(modelLayers, prompt, tokens).Text
}

// Guards against a path of calls that works only within one process: here every part is a process of its own.
func TestEndToEndAcrossProcesses(t *testing.T) {
	f := newStandardFleet(t, 2, 1)
	for _, e := range f.entryHosts {
		t.Run(e.name, func(t *testing.T) {
			is := is.New(t)
			a := requestCompletion(context.Background(), e, "tekst", "a shy black cat", 20)
			is.NoErr(a.err)
			is.True(a.completed) // the stream must end with its end mark
			is.Equal(a.text, expectedText("v1", "a shy black cat", 20))
			b := requestBooking(context.Background(), e, "reserve", "key-"+e.name, `{"Cat":"Mies"}`)
			is.NoErr(b.err)
			is.Equal(b.status, http.StatusOK)
			is.Equal(b.outcome, "Answer")
		})
	}
}

// Guards against one caller receiving parts of another's answer when many run at once.
func TestAnswersDoNotMix(t *testing.T) {
	is := is.New(t)
	f := newStandardFleet(t, 1, 2)
	type result struct {
		prompt string
		answer callResult
	}
	const calls = 24
	results := make(chan result, calls)
	for i := range calls {
		go func() {
			prompt := "animal number " + string(rune('A'+i))
			results <- result{prompt, requestCompletion(context.Background(), f.entryHosts[0], "tekst", prompt, 15)}
		}()
	}
	for range calls {
		r := <-results
		is.True(r.answer.completed)
		is.Equal(r.answer.text, expectedText("v1", r.prompt, 15))
	}
}

// Guards against invalid input that crashes an entry host or is refused without an outcome and a reason.
func TestBadInputIsRejectedWithItsReason(t *testing.T) {
	f := newStandardFleet(t, 1, 1)
	e := f.entryHosts[0]
	for _, c := range []struct {
		name, path, key, body string
		status                int
	}{
		{"unknown profile", "/v1/completions", customerKey, `{"model":"none","prompt":"x"}`, http.StatusNotFound},
		{"unknown key", "/v1/completions", "wrong", `{"model":"tekst","prompt":"x"}`, http.StatusUnauthorized},
		{"malformed body", "/v1/completions", customerKey, `{"model":`, http.StatusBadRequest},
		{"non-idempotent without key", "/v1/services/reserve/x", customerKey, `{}`, http.StatusBadRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			header := http.Header{"Authorization": {"Bearer " + c.key}}
			status, body, replied, err := sendRequest(context.Background(), http.MethodPost, "http://"+e.callerAddress+c.path, header, []byte(c.body))
			is.NoErr(err)
			is.Equal(status, c.status)
			is.Equal(replied.Get("Mangopath-Outcome"), "Rejected")
			is.True(len(body) > 0)
		})
	}
	is.New(t).Equal(requestCompletion(context.Background(), e, "tekst", "still alive", 3).completed, true)
}
