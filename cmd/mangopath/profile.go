package main

import (
	"context"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"mangopath.org/mangopath/pkg/mangoclient"
	"mangopath.org/mangopath/pkg/mangomessage"
)

func profileCommand() *cli.Command {
	file := &cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "profiles `FILE` in JSON form"}
	basedOn := &cli.Uint64Flag{Name: "based-on", Usage: "refuse to replace entries that changed after this `REVISION`"}
	dryRun := &cli.BoolFlag{Name: "dry-run", Usage: "check the changes without making them"}
	return &cli.Command{
		Name: "profile", Usage: "read and change profiles, aliases, customers and host marks",
		Commands: []*cli.Command{
			{
				Name: "get", Usage: "print an entry as a profiles file", ArgsUsage: "NAME", Flags: []cli.Flag{kindFlag("Profile")},
				Description: "Example: mangopath profile get tekst-houten > tekst-houten.json", Action: profileGet,
			},
			{
				Name: "list", Usage: "list entries", Flags: []cli.Flag{kindFlag("")},
				Description: "Example: mangopath --output json profile list --kind Alias", Action: profileList,
			},
			{
				Name: "put", Usage: "apply the entries of a profiles file; up to 128 changes are accepted together or not at all", Flags: []cli.Flag{file, dryRun, basedOn},
				Description: "Example: mangopath profile put -f examples/baasje-gezocht/profiles.json --dry-run", Action: profilePut,
			},
			{
				Name: "switch", Usage: "change the profile that an alias refers to", ArgsUsage: "NAME",
				Flags:       []cli.Flag{&cli.StringFlag{Name: "to", Usage: "`TARGET` profile"}, atOnceFlag(), dryRun, basedOn},
				Description: "Example: mangopath profile switch tekst-model --to tekst-zeist", Action: profileSwitch,
			},
			{
				Name: "history", Usage: "list the latest changes of one entry name or of all entries", ArgsUsage: "[NAME]",
				Description: "Example: mangopath profile history tekst-model", Action: profileHistory,
			},
			{
				Name: "diff", Usage: "print what put would change", Flags: []cli.Flag{file},
				Description: "Example: mangopath profile diff -f examples/baasje-gezocht/profiles.json", Action: profileDiff,
			},
		},
	}
}

// kindFlag returns the flag that selects a kind of entries, with its default value; empty means all kinds.
func kindFlag(value string) cli.Flag {
	return &cli.StringFlag{Name: "kind", Value: value, Usage: "`KIND` of entries: Profile, Alias, Customer or HostMark"}
}

// parseKind returns the value of --kind, or a usage error for an unknown kind.
func parseKind(c *cli.Command) (string, error) {
	switch kind := c.String("kind"); kind {
	case "", "Profile", "Alias", "Customer", "HostMark":
		return kind, nil
	default:
		return "", invalidValue("--kind", kind, "Profile, Alias, Customer or HostMark")
	}
}

// profileGet prints an entry, as a profiles file in the text format and with its revision and author in JSON.
func profileGet(ctx context.Context, c *cli.Command) error {
	args, err := positionalArgs(c, 1, 1)
	if err != nil {
		return err
	}
	kind, err := parseKind(c)
	if err != nil {
		return err
	}
	s, err := openSession(c)
	if err != nil {
		return err
	}
	list, err := s.client.Entries(ctx, kind)
	if err != nil {
		return err
	}
	entry := mangoclient.Find(list, kind, args[0])
	if entry == nil || entry.GetRemoved() {
		return invalidValue("NAME", args[0], "the name of an entry of kind "+kind)
	}
	if s.json {
		return s.printJSON(entry)
	}
	return s.printJSON(profilesFileOf(entry))
}

// profilesFileOf returns an entry as a profiles file that the put command accepts.
func profilesFileOf(entry *mangomessage.Entry) *mangomessage.ProfilesFile {
	file := &mangomessage.ProfilesFile{}
	switch content := entry.GetContent().(type) {
	case *mangomessage.Entry_Profile:
		file.Profiles = append(file.Profiles, content.Profile)
	case *mangomessage.Entry_Alias:
		file.Aliases = append(file.Aliases, content.Alias)
	case *mangomessage.Entry_Customer:
		file.Customers = append(file.Customers, content.Customer)
	case *mangomessage.Entry_HostMark:
		file.HostMarks = append(file.HostMarks, content.HostMark)
	}
	return file
}

// profileList prints the entries that have not been removed.
func profileList(ctx context.Context, c *cli.Command) error {
	if _, err := positionalArgs(c, 0, 0); err != nil {
		return err
	}
	kind, err := parseKind(c)
	if err != nil {
		return err
	}
	s, err := openSession(c)
	if err != nil {
		return err
	}
	list, err := s.client.Entries(ctx, kind)
	if err != nil {
		return err
	}
	live := &mangomessage.EntryList{Revision: list.GetRevision()}
	for _, e := range list.GetEntries() {
		if !e.GetRemoved() {
			live.Entries = append(live.Entries, e)
		}
	}
	return s.printEntries(live)
}

// profileHistory prints the latest changes, newest first.
func profileHistory(ctx context.Context, c *cli.Command) error {
	args, err := positionalArgs(c, 0, 1)
	if err != nil {
		return err
	}
	s, err := openSession(c)
	if err != nil {
		return err
	}
	list, err := s.client.History(ctx, strings.Join(args, ""))
	if err != nil {
		return err
	}
	return s.printEntries(list)
}

// printEntries prints a list of entries with their last changes.
func (s *session) printEntries(list *mangomessage.EntryList) error {
	if s.json {
		return s.printJSON(list)
	}
	rows := [][]string{{"KIND", "NAME", "REVISION", "AUTHOR", "CHANGED", "CONTENT"}}
	for _, e := range list.GetEntries() {
		rows = append(rows, []string{
			mangoclient.EntryKind(e), mangoclient.EntryName(e), strconv.FormatUint(e.GetRevision(), 10), e.GetAuthor(),
			formatChangeTime(e), summarise(e),
		})
	}
	return s.printTable(rows)
}

// summarise returns the main fields of an entry on one line; a profile's data centres come with their numbers of hosts.
func summarise(entry *mangomessage.Entry) string {
	if entry.GetRemoved() {
		return "removed"
	}
	switch content := entry.GetContent().(type) {
	case *mangomessage.Entry_Profile:
		var places []string
		for _, p := range content.Profile.GetPlaces() {
			places = append(places, p.GetDataCentre()+":"+strconv.Itoa(len(p.GetHosts())))
		}
		return strings.Join([]string{content.Profile.GetKind(), content.Profile.GetModel(), content.Profile.GetVersion(), strings.Join(places, ",")}, " ")
	case *mangomessage.Entry_Alias:
		return "-> " + content.Alias.GetTarget()
	case *mangomessage.Entry_Customer:
		return "keys=" + strconv.Itoa(len(content.Customer.GetKeyDigests())) + " weight=" + strconv.FormatUint(uint64(content.Customer.GetWeight()), 10)
	case *mangomessage.Entry_HostMark:
		return "drain=" + strconv.FormatBool(content.HostMark.GetDrain())
	default:
		return ""
	}
}

// profileSwitch changes the target of an alias, once the target profile can serve calls.
func profileSwitch(ctx context.Context, c *cli.Command) error {
	args, err := positionalArgs(c, 1, 1)
	if err != nil {
		return err
	}
	target := c.String("to")
	if target == "" {
		return invalidValue("--to", target, "the name of a profile")
	}
	s, err := openSession(c)
	if err != nil {
		return err
	}
	list, err := s.client.Entries(ctx, "")
	if err != nil {
		return err
	}
	if e := mangoclient.Find(list, "Alias", args[0]); e == nil || e.GetRemoved() {
		return invalidValue("NAME", args[0], "the name of an alias; profile put creates one")
	}
	e := mangoclient.Find(list, "Profile", target)
	if e == nil || e.GetRemoved() {
		return invalidValue("--to", target, "the name of a profile")
	}
	if err := s.checkReady(ctx, c, e.GetProfile()); err != nil {
		return err
	}
	alias := &mangomessage.Entry{Content: &mangomessage.Entry_Alias{Alias: &mangomessage.Alias{Name: args[0], Target: target}}}
	return s.proposeEntries(ctx, c, list, []*mangomessage.Entry{alias})
}

// basedOnConflict returns the error for a change to an entry that has changed after the revision in --based-on.
func basedOnConflict(present *mangomessage.Entry, basedOn uint64) error {
	return &mangoclient.Error{
		Op: "put", Kind: mangoclient.KindConflict, Present: present,
		Err: errors.Errorf("--based-on is %d, but %s %s was changed at revision %d", basedOn, mangoclient.EntryKind(present),
			mangoclient.EntryName(present), present.GetRevision()),
	}
}
