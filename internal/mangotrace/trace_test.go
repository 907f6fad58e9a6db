package mangotrace

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write the golden files")

// readLogs reads log files from testdata.
func readLogs(t *testing.T, names ...string) []Log {
	t.Helper()
	var logs []Log
	for _, n := range names {
		file, err := os.Open(filepath.Join("testdata", n))
		if err != nil {
			t.Fatal(err)
		}
		log, err := Read(n, file)
		_ = file.Close()
		if err != nil {
			t.Fatal(err)
		}
		logs = append(logs, log)
	}
	return logs
}

// Guards against a trace that leaves out the lines that explain the outcome of a request, or does not say what the logs
// lack.
func TestTraceMatchesGoldenFile(t *testing.T) {
	tests := []struct {
		name  string
		files []string
		id    string
	}{
		{"refused", []string{"houten.log", "zeist.log"}, "70f272bf2792983e"},
		{"incomplete", []string{"incomplete.log"}, "9c41d07be2a35f68"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			trace, err := Assemble(readLogs(t, tt.files...), tt.id)
			is.NoErr(err)
			var b strings.Builder
			is.NoErr(trace.Write(&b))
			golden := filepath.Join("testdata", tt.name+".golden")
			if *update {
				is.NoErr(os.WriteFile(golden, []byte(b.String()), 0o600))
			}
			want, err := os.ReadFile(golden)
			is.NoErr(err)
			is.Equal(b.String(), string(want))
		})
	}
}

// Guards against an empty trace instead of an error if no line names the request.
func TestUnknownRequest(t *testing.T) {
	is := is.New(t)
	_, err := Assemble(readLogs(t, "houten.log"), "0000000000000000")
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(e.Kind, KindUnknown)
}

// Guards against a trace that leaves out what the daemon knew of a replica that was replaced in the request's chain.
func TestTraceShowsReplacedReplicas(t *testing.T) {
	is := is.New(t)
	log, err := Read("edge-1", strings.NewReader(`time="2026-12-06T10:00:00.000Z" event=replica_avoided replica=i-2 cause=Ended
time="2026-12-06T10:00:00.010Z" event=path_changed request=r1 replica=i-1 replaced=i-2,i-3 outcome=Begun
time="2026-12-06T10:00:01.000Z" event=request_sent request=r1 chain="i-1>i-2>i-3" result=Delivered send=1
time="2026-12-06T10:00:01.000Z" event=request_done request=r1 outcome=Delivered sends=1
`))
	is.NoErr(err)
	trace, err := Assemble([]Log{log}, "r1")
	is.NoErr(err)
	is.Equal(len(trace.ReplicaLines), 1)
	is.Equal(trace.ReplicaLines[0].Get("replica"), "i-2")
}

// Guards against a trace that calls a send missing which was lost on a kept connection, and is told of by the line of its retry.
func TestSendLostOnKeptConnection(t *testing.T) {
	is := is.New(t)
	log, err := Read("f", strings.NewReader(
		"edge-1 time=\"2026-12-06T10:00:00.100Z\" event=connection_retried request=r send=1 replica=i reason=Broken\n"+
			"edge-1 time=\"2026-12-06T10:00:00.200Z\" event=request_sent request=r send=2 replica=i result=Delivered\n"+
			"edge-1 time=\"2026-12-06T10:00:00.200Z\" event=request_done request=r sends=2\n"))
	is.NoErr(err)
	trace, err := Assemble([]Log{log}, "r")
	is.NoErr(err)
	is.Equal(len(trace.Missing), 0)
}

// Guards against a panic or endless loop on malformed lines, and against events without a name or time.
func FuzzRead(f *testing.F) {
	f.Add("edge-1 time=\"2026-10-05T10:37:03.000Z\" event=x request=1 a=\"b c\"\n")
	f.Add("time= event=\n time=\"\n\x00 event=y")
	f.Fuzz(func(t *testing.T, text string) {
		log, err := Read("f", strings.NewReader(text))
		if err != nil {
			return
		}
		for _, l := range log.Lines {
			if l.Event() == "" || l.At.IsZero() && !strings.Contains(text, "0001-01-01") {
				t.Errorf("Read returned a line without event or time: %+v", l)
			}
		}
	})
}
