package main

import (
	"context"
	"strings"

	"github.com/urfave/cli/v3"

	"mangopath.org/mangopath/internal/mangosetting"
	"mangopath.org/mangopath/pkg/mangoclient"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// maxProfilesFileBytes bounds a profiles file; it leaves room for all customers of a deployment of the intended size.
const maxProfilesFileBytes = 16 << 20

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check settings or profiles without a daemon",
		Description: `Prints the effective settings with secrets redacted, or the number of entries of a profiles file. All errors are printed, one per line, with exit status 2.

Example: mangopath check -c examples/isartal/settings/sued-a-1.ini
Example: mangopath check --profiles examples/isartal/profiles.json`,
		Flags: []cli.Flag{
			settingsFlag(),
			&cli.StringFlag{Name: "profiles", Usage: "profiles `FILE` in JSON form"},
		},
		Action: check,
	}
}

// check validates a settings file or a profiles file and prints what it holds.
func check(_ context.Context, c *cli.Command) error {
	p, err := newPrinter(c)
	if err != nil {
		return err
	}
	if _, err := positionalArgs(c, 0, 0); err != nil {
		return err
	}
	settings, profiles := c.String("settings"), c.String("profiles")
	if (settings == "") == (profiles == "") {
		return invalidValue("--settings and --profiles", strings.Trim(settings+" "+profiles, " "), "exactly one of them, with the path of a file")
	}
	if profiles != "" {
		return checkProfiles(p, profiles)
	}
	loaded, err := mangosetting.Load(settings)
	if err != nil {
		return err
	}
	if p.json {
		return p.printJSON(mangosetting.Redacted(loaded))
	}
	return p.printLine("%s", strings.TrimSuffix(mangosetting.Effective(loaded), "\n"))
}

// checkProfiles validates a profiles file and prints its number of entries by kind, or the entries as JSON.
func checkProfiles(p printer, path string) error {
	entries, err := readProfiles("--profiles", path)
	if err != nil {
		return err
	}
	if p.json {
		return p.printJSON(&mangomessage.EntryList{Entries: entries})
	}
	counts := make(map[string]int)
	for _, e := range entries {
		counts[mangoclient.EntryKind(e)]++
	}
	return p.printLine("%s: %d profiles, %d aliases, %d customers, %d host marks", path, counts["Profile"], counts["Alias"],
		counts["Customer"], counts["HostMark"])
}

// readProfiles reads and validates the entries of a profiles file; flag is the flag that named it, for error messages.
func readProfiles(flag, path string) ([]*mangomessage.Entry, error) {
	if path == "" {
		return nil, invalidValue(flag, path, "the path of a profiles file")
	}
	data, err := readFileUpTo(path, maxProfilesFileBytes)
	if err != nil {
		return nil, &Error{Op: flag, Kind: KindUsage, Err: err}
	}
	entries, err := mangoclient.ParseProfiles(path, data)
	if err != nil {
		return nil, err
	}
	return entries, validateEntries(path, entries)
}
