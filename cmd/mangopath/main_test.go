package main

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// runCommand runs the program and returns its exit status, standard output and standard error.
func runCommand(t *testing.T, flags []string, args ...string) (int, string, string) {
	t.Helper()
	var out, errOut bytes.Buffer
	status := run(t.Context(), append(append([]string{"mangopath"}, flags...), args...), &out, &errOut)
	return status, out.String(), errOut.String()
}

// Guards against operator commands without their documented effect. The steps run in order on the same entries.
func TestCommandSequence(t *testing.T) {
	book := &memoryBook{}
	flags := startOperatorAPI(t, book)
	steps := []struct {
		args   string
		status int
		want   string
	}{
		{"profile diff -f testdata/profiles.json", 0, "+ Profile tekst-a: completion tekst 1 houten:1"},
		{"profile put -f testdata/profiles.json --dry-run", 0, "dry run: 3 changes"},
		{"profile list", 0, "KIND"},
		{"profile put -f testdata/profiles.json", 0, "3 changes accepted, revision 3"},
		{"profile put -f testdata/profiles.json", 0, "0 changes accepted, revision 3"},
		{"profile switch tekst --to tekst-b", 0, "1 changes accepted, revision 4"},
		{"profile diff -f testdata/profiles.json", 0, "Target: tekst-b -> tekst-a"},
		{"profile put -f testdata/profiles.json --based-on 3", 3, "changed by anna"},
		{"profile get tekst --kind Alias", 0, `"Target": "tekst-b"`},
		{"profile history tekst", 0, "-> tekst-b"},
		{"profile switch tekst --to nothing", 2, `--to is "nothing"`},
		{"profile switch nothing --to tekst-a", 2, `NAME is "nothing"`},
		{"profile get nothing", 2, `NAME is "nothing"`},
		{"host drain h1 h2", 0, "2 changes accepted"},
		{"host undrain h1", 0, "1 changes accepted"},
		{"host list", 0, "Draining"},
		{"status", 0, "houten-1"},
		{"explain tekst --prompt hallo", 0, "h1[0-8]=1.5ms"},
		{"--output json status", 0, `"Host": "houten-1"`},
	}
	for _, s := range steps {
		t.Run(s.args, func(t *testing.T) {
			is := is.New(t)
			status, out, errOut := runCommand(t, flags, strings.Fields(s.args)...)
			if status != s.status || !strings.Contains(out+errOut, s.want) {
				t.Errorf("status %d, output:\n%s%s", status, out, errOut)
			}
			is.True(!strings.Contains(out+errOut, "secret")) // the token is never printed
		})
	}
}

// Guards against a change that is made twice, or reported as failed, when the reply to the proposal is lost after the
// change took effect.
func TestPutLostReply(t *testing.T) {
	is := is.New(t)
	book := &memoryBook{lostReplies: 1}
	status, out, errOut := runCommand(t, startOperatorAPI(t, book), "profile", "put", "-f", "testdata/profiles.json")
	is.Equal(errOut, "")
	is.Equal(status, 0)
	is.True(strings.Contains(out, "3 changes accepted"))
	is.Equal(len(book.history), 3)
}

// Guards against commands that ignore --output json and print something that is not valid JSON.
func TestJSONOutput(t *testing.T) {
	flags := append(startOperatorAPI(t, &memoryBook{}), "--output", "json")
	for _, args := range []string{
		"profile put -f testdata/profiles.json", "profile list", "profile get tekst-a", "profile history", "host list",
		"profile diff -f testdata/profiles.json", "status", "explain tekst", "version", "check --profiles testdata/profiles.json",
	} {
		t.Run(args, func(t *testing.T) {
			is := is.New(t)
			status, out, errOut := runCommand(t, flags, strings.Fields(args)...)
			is.Equal(errOut, "")
			is.Equal(status, 0)
			is.True(json.Valid([]byte(out)))
		})
	}
}

// Guards against a wrong exit status, and against a usage error that does not name the flag, its value and the allowed
// values.
func TestExitStatus(t *testing.T) {
	down := startOperatorAPI(t, &memoryBook{down: true})
	tests := []struct {
		name   string
		flags  []string
		args   string
		status int
		want   []string
	}{
		{"help", nil, "--help", 0, nil},
		{"unknown command", nil, "profil", 2, []string{`"profil"`, "serve, check, profile"}},
		{"unknown flag", nil, "status --colour", 2, []string{"colour", "mangopath status --help"}},
		{"wrong flag value", nil, "profile put --based-on x", 2, []string{"based-on", "x"}},
		{"wrong output", nil, "version --output xml", 2, []string{"--output", `"xml"`, "text or json"}},
		{"missing operators", nil, "--operators= status", 2, []string{"--operators", "127.0.0.1:7200"}},
		{"wrong operators", append(down, "--operators", "host:1"), "status", 2, []string{"--operators", `"host:1"`}},
		{"missing token", nil, "--operators 127.0.0.1:1 --token-file= status", 2, []string{"--token-file"}},
		{"wrong kind", down, "profile list --kind Profiles", 2, []string{"--kind", `"Profiles"`, "HostMark"}},
		{"stray argument", down, "status now", 2, []string{`"now"`}},
		{"missing file", down, "profile put", 2, []string{"--file"}},
		{"absent file", down, "profile put -f testdata/none.json", 2, []string{"--file", "testdata/none.json"}},
		{"no file to check", nil, "check", 2, []string{"--settings and --profiles"}},
		{"platform down", down, "host drain h1", 4, []string{"store down"}},
		{"wrong token", append(down, "--token-file", "testdata/profiles.json"), "status", 2, []string{"--token-file"}},
		{"nobody listens", append(down, "--operators", "127.0.0.1:1"), "status", 4, []string{"127.0.0.1:1"}},
		{"no settings", nil, "serve", 2, []string{"--settings"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, out, errOut := runCommand(t, tt.flags, strings.Fields(tt.args)...)
			if status != tt.status {
				t.Errorf("status %d:\n%s%s", status, out, errOut)
			}
			for _, w := range tt.want {
				if !strings.Contains(errOut, w) {
					t.Errorf("%q is not in:\n%s", w, errOut)
				}
			}
		})
	}
}

// Guards against a log event that takes several lines, as when its message contains a newline, and against events below the
// configured level.
func TestLogger(t *testing.T) {
	is := is.New(t)
	root := rootCommand()
	var out bytes.Buffer
	root.ErrWriter = &out
	logger, err := newLogger(root, &mangomessage.LogSettings{Level: "warning"})
	is.NoErr(err)
	logger.Info("hidden")
	logger.WithField("call", "c 1").Warn("call failed\nlate")
	is.True(strings.HasSuffix(out.String(), `level=warning msg="call failed\nlate" call="c 1"`+"\n"))
	is.Equal(strings.Count(out.String(), "\n"), 1)
}
