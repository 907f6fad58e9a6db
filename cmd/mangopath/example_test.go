package main

import (
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// Guards against settings and profiles files under examples/ that the program no longer accepts.
func TestExamples(t *testing.T) {
	is := is.New(t)
	settings, err := filepath.Glob("../../examples/*/settings/*.ini")
	is.NoErr(err)
	profiles, err := filepath.Glob("../../examples/*/*.json")
	is.NoErr(err)
	is.Equal(len(settings), 16)
	is.Equal(len(profiles), 4)
	for _, f := range settings {
		status, _, errOut := runCommand(t, nil, "check", "-c", f)
		is.Equal(errOut, "")
		is.Equal(status, 0)
	}
	for _, f := range profiles {
		status, _, errOut := runCommand(t, nil, "check", "--profiles", f)
		is.Equal(errOut, "")
		is.Equal(status, 0)
	}
}
