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

func read(t *testing.T, names ...string) []Log {
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

// Guards against a story that leaves out what decided a request, or does not say what its logs lack.
func TestStory(t *testing.T) {
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
			story, err := Assemble(read(t, tt.files...), tt.id)
			is.NoErr(err)
			var b strings.Builder
			is.NoErr(story.Write(&b))
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

// Guards against an empty story where the request is not in the logs at all.
func TestUnknownRequest(t *testing.T) {
	is := is.New(t)
	_, err := Assemble(read(t, "houten.log"), "0000000000000000")
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(e.Kind, KindUnknown)
}

// Guards against a reader that fails or hangs on lines that are no events.
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
				t.Errorf("a line without event or time: %+v", l)
			}
		}
	})
}
