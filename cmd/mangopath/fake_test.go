package main

import (
	"context"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangooperator"
	"mangopath.org/mangopath/pkg/mangoclient"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// memoryBook is a book in memory behind the real handlers.
type memoryBook struct {
	mutex    sync.Mutex
	revision uint64
	entries  map[string]*mangomessage.Entry
	log      []*mangomessage.Entry
	// loseAnswers is the number of next proposals whose answer is lost after the effect.
	loseAnswers int
	down        bool
}

func (b *memoryBook) Entries(kind string) *mangomessage.EntryList {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	list := &mangomessage.EntryList{Revision: b.revision}
	for _, e := range b.entries {
		if kind == "" || mangoclient.EntryKind(e) == kind {
			list.Entries = append(list.Entries, e)
		}
	}
	return list
}

func (b *memoryBook) Propose(_ context.Context, changes []*mangomessage.Change, dryRun bool) (uint64, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.down {
		return 0, &mangooperator.Error{Op: "Propose", Kind: mangooperator.KindUnavailable, Err: errors.New("store down")}
	}
	for _, c := range changes {
		if old := b.entries[entryKey(c.GetEntry())]; old.GetRevision() != c.GetExpectedRevision() {
			return 0, &mangooperator.Error{Op: "Propose", Kind: mangooperator.KindConflict, Present: old}
		}
	}
	if dryRun {
		return b.revision, nil
	}
	for _, c := range changes {
		b.revision++
		e := c.GetEntry()
		e.Revision = b.revision
		b.entries[entryKey(e)] = e
		b.log = append(b.log, e)
	}
	if b.loseAnswers > 0 {
		b.loseAnswers--
		return 0, &mangooperator.Error{Op: "Propose", Kind: mangooperator.KindUnknown, Err: errors.New("answer lost")}
	}
	return b.revision, nil
}

func (b *memoryBook) History(context.Context, string) ([]*mangomessage.Entry, error) {
	return b.log, nil
}

func (b *memoryBook) Status() *mangomessage.OperatorStatus {
	return &mangomessage.OperatorStatus{Host: "houten-1", Ready: true, Revision: b.revision}
}

func (b *memoryBook) Explain(context.Context, *mangomessage.ExplainRequest) (*mangomessage.ExplainReply, error) {
	return &mangomessage.ExplainReply{Profile: "tekst-a", Chains: []*mangomessage.ExplainedChain{{
		Chosen: true, CostMicros: 1500, Stages: []*mangomessage.ExplainedStage{{Host: "h1", ToLayer: 8, CostMicros: 1500}},
	}}}, nil
}

func (b *memoryBook) Hosts() []*mangomessage.HostReport {
	return []*mangomessage.HostReport{{Name: "h1", State: "Draining", Reasons: []string{"mark"}}}
}

func entryKey(e *mangomessage.Entry) string {
	return mangoclient.EntryKind(e) + " " + mangoclient.EntryName(e)
}

// serveBook starts the operators' API and returns the flags that reach it.
func serveBook(t *testing.T, b *memoryBook) []string {
	t.Helper()
	b.entries = make(map[string]*mangomessage.Entry)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	sources := mangooperator.Dependencies{EntryReader: b, Proposer: b, HistoryReader: b, StatusReporter: b, RouteExplainer: b, HostLister: b}
	api := mangooperator.New(&mangomessage.OperatorSettings{Token: "secret"}, sources, prometheus.NewRegistry(), logger)
	server := httptest.NewServer(api.Handler())
	t.Cleanup(server.Close)
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte("secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return []string{"--operators", server.URL, "--token-file", token, "--author", "anna"}
}
