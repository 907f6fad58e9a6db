package main

import (
	"encoding/csv"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against commands in the documentation that the program rejects. They run against the real API handlers with entries
// in memory, and a relay's address stands for a fake relay; serve commands are skipped, because they do not return.
func TestDocumentedCommands(t *testing.T) {
	book := &memoryBook{}
	flags := startOperatorAPI(t, book)
	relayAddress, _ := startFakeRelay(t, http.StatusOK, fixedExplanation())
	t.Chdir("../..")
	for _, page := range []string{
		"README.md", "docs/OPERATIONS.md", "examples/baasje-gezocht/README.md", "examples/isartal/README.md",
	} {
		is := is.New(t)
		text, err := os.ReadFile(page)
		is.NoErr(err)
		commands := regexp.MustCompile("(?m)(?:^ {4,}|`)bin/mangopath ([^`\n]+)").FindAllStringSubmatch(string(text), -1)
		is.True(len(commands) > 0)
		for _, c := range commands {
			if strings.HasPrefix(c[1], "serve ") {
				continue
			}
			words := csv.NewReader(strings.NewReader(c[1]))
			words.Comma = ' '
			args, err := words.Read()
			is.NoErr(err)
			if i := slices.Index(args, "--relay"); i >= 0 {
				args[i+1] = relayAddress
			}
			if status, _, errOut := runCommand(t, flags, args...); status != 0 {
				t.Errorf("%s: %s: status %d: %s", page, c[1], status, errOut)
			}
		}
	}
}
