package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// startFakeRelay answers queries with a status and a message, and returns its address and the last query.
func startFakeRelay(t *testing.T, status int, reply proto.Message) (address string, last *mangomessage.RelayExplainRequest) {
	t.Helper()
	last = &mangomessage.RelayExplainRequest{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.Method != http.MethodPost || r.URL.Path != "/explain" || protojson.Unmarshal(body, last) != nil {
			w.WriteHeader(http.StatusTeapot)
			return
		}
		text, _ := protojson.Marshal(reply)
		w.WriteHeader(status)
		_, _ = w.Write(text)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), last
}

// fixedExplanation is an answer in which each part has something to print.
func fixedExplanation() *mangomessage.RelayExplainReply {
	chain := &mangomessage.RelayExplainedTarget{
		DataCentre: "houten", CostMicros: 12_500, Pressure: 0.4, Kept: true,
		Stages: []*mangomessage.RelayExplainedStage{{Replica: "r1", ToLayer: 20}, {Replica: "r2", FromLayer: 20, ToLayer: 40}},
	}
	return &mangomessage.RelayExplainReply{
		Method: "POST", Host: "api.example.org", Path: "/v1/chat", Route: "chat", Kind: "Stream", Customer: "anna", Rank: 2, DataCentre: "houten",
		Version: 7, TimeLeftMs: 20_000,
		Services: []*mangomessage.RelayExplainedService{{
			Service: "tekst", Share: 1, RetriesLeft: 3.5, RetryReserve: 0.7, Chosen: chain,
			Admission: &mangomessage.RelayExplainedAdmission{
				Share: 0.25, Reason: "memory", Room: 1000, Demand: 4000, ViewAgeMs: proto.Int64(300), RetryAfterMinMs: 1200, RetryAfterMaxMs: 2000,
			},
			DataCentres: []*mangomessage.RelayExplainedDataCentre{
				{Name: "houten", Cheapest: chain, WaitMs: 40},
				{Name: "utrecht", Reason: "no usable replica for layers 0-20"},
				{Name: "zwolle", Cheapest: chain, Reason: "cut off"},
			},
			Replicas: []*mangomessage.RelayExplainedReplica{
				{Replica: "r1", DataCentre: "houten", Kept: true},
				{Replica: "r9", DataCentre: "utrecht", Excluded: true, Notes: []*mangomessage.RelayExplainedNote{{Kind: "avoided", Cause: "Reset", LeftMs: 1500}}},
			},
		}},
	}
}

// Guards against properties of a request that do not reach the relay, and against parts of the answer that are not printed.
func TestExplainAtRelay(t *testing.T) {
	is := is.New(t)
	address, last := startFakeRelay(t, http.StatusOK, fixedExplanation())
	key := filepath.Join(t.TempDir(), "key")
	is.NoErr(os.WriteFile(key, []byte("secret\n"), 0o600))
	args := []string{
		"explain", "--relay", address, "--host", "api.example.org", "--path", "/v1/chat", "--key-file", key, "--prompt-tokens", "800",
		"--answer-tokens", "200", "--hint", "150", "--deadline", "15s", "--returning",
	}
	status, out, errOut := runCommand(t, nil, args...)
	is.Equal(errOut, "")
	is.Equal(status, 0)
	want := &mangomessage.RelayExplainRequest{
		Method: "POST", Host: "api.example.org", Path: "/v1/chat", Key: "secret", PromptTokens: 800, AnswerTokens: 200, AnswerHint: 150,
		DeadlineMs: 15_000, Returning: true,
	}
	is.True(proto.Equal(last, want))
	for _, part := range []string{
		"chat, Stream", "anna", "probability 0.250, reason memory, room 1000, demand 4000, view 300ms old, Retry-After 1.2s to 2s",
		"r1[0-20] r2[20-40] in houten, cost 12.5ms, pressure 0.40, over a kept connection", "none: no usable replica for layers 0-20",
		"avoided (Reset) for 1.5s", "over a kept connection; cut off", "3.5 left", "random part",
	} {
		if !strings.Contains(out, part) {
			t.Errorf("%q is not in:\n%s", part, out)
		}
	}
	is.True(!strings.Contains(out, "secret"))
	status, out, _ = runCommand(t, nil, append(args, "--json")...)
	is.Equal(status, 0)
	is.True(json.Valid([]byte(out)))
	is.True(strings.Contains(out, `"Customer": "anna"`))
}

// Guards against a wrong exit status, and against an error that does not say what is wrong.
func TestExplainAtRelayFailures(t *testing.T) {
	tests := []struct {
		name   string
		status int
		reply  string
		args   string
		exit   int
		want   string
	}{
		{"invalid number", 400, "PromptTokens is -1", "--prompt-tokens=-1", 2, "PromptTokens is -1"},
		{"unknown host", 404, `no route for host "x"`, "--host x", 2, `no route for host "x"`},
		{"no configuration", 503, "the daemon has no configuration yet", "", 4, "no configuration"},
		{"another listener", 404, "", "", 1, "metrics listener"},
		{"no number", 200, "", "--prompt-tokens many", 2, "prompt-tokens"},
		{"no address", 200, "", "--relay host", 2, "IP:PORT"},
		{"nobody listens", 200, "", "--relay 127.0.0.1:1", 4, "127.0.0.1:1"},
		{"an argument", 200, "", "name", 2, `"name"`},
		{"no key file", 200, "", "--key-file testdata/none", 2, "--key-file"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address, _ := startFakeRelay(t, tt.status, &mangomessage.RelayExplainError{Message: tt.reply})
			args := append([]string{"explain", "--relay", address}, strings.Fields(tt.args)...)
			status, out, errOut := runCommand(t, nil, args...)
			is.Equal(out, "")
			is.Equal(status, tt.exit)
			is.True(strings.Contains(errOut, tt.want))
		})
	}
}
