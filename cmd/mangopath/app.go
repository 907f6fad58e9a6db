package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"mangopath.org/mangopath/pkg/mangoclient"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const exitStatusHelp = `Exit status: 0 success, 1 failure, 2 usage or bad input, 3 conflict with another operator, 4 no entry host or platform reachable.`

// run parses and executes a command line, prints the error to errOut, and returns the exit status.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := rootCommand()
	root.Writer, root.ErrWriter = out, errOut
	err := root.Run(ctx, args)
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintf(errOut, "mangopath: %v\n", err)
	printCurrentEntry(errOut, err)
	return int(kindOf(err))
}

// printCurrentEntry prints the entry in force and who changed it last, if err is a conflict that carries the entry.
func printCurrentEntry(w io.Writer, err error) {
	var failure *mangoclient.Error
	if !errors.As(err, &failure) || failure.Present == nil {
		return
	}
	e := failure.Present
	_, _ = fmt.Fprintf(w, "current entry: %s %s, revision %d, changed by %s at %s\n", mangoclient.EntryKind(e),
		mangoclient.EntryName(e), e.GetRevision(), e.GetAuthor(), formatChangeTime(e))
}

// formatChangeTime returns the time at which an entry was last changed, in UTC.
func formatChangeTime(e *mangomessage.Entry) string {
	return time.UnixMilli(e.GetAtMs()).UTC().Format(time.RFC3339)
}

func rootCommand() *cli.Command {
	root := &cli.Command{
		Name: "mangopath", Usage: "route requests to model pipelines on mixed accelerators", Description: exitStatusHelp,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "operators", Usage: "`ADDRESS[,ADDRESS]` of the operators' API of entry hosts, tried in turn",
				Sources: cli.EnvVars("MANGOPATH_OPERATORS"),
			},
			&cli.StringFlag{
				Name: "token-file", Usage: "`FILE` with the operators' bearer token", Sources: cli.EnvVars("MANGOPATH_TOKEN_FILE"),
			},
			&cli.StringFlag{
				Name: "author", Usage: "`NAME` of the author that changes are recorded with", Sources: cli.EnvVars("MANGOPATH_AUTHOR", "USER"),
			},
			&cli.StringFlag{Name: "output", Value: "text", Usage: "output `FORMAT`: text or json"},
		},
		Commands: []*cli.Command{
			serveCommand(), checkCommand(), profileCommand(), hostCommand(), statusCommand(), explainCommand(), relayCommand(), versionCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	setUsageErrors(root)
	return root
}

// setUsageErrors makes a command and its subcommands return invalid flags and unknown subcommands as usage errors.
func setUsageErrors(command *cli.Command) {
	command.HideHelpCommand = true
	command.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return &Error{Op: "usage", Kind: KindUsage, Err: errors.Errorf("%v; see %s --help", err, c.FullName())}
	}
	if len(command.Commands) > 0 {
		command.Action = reportMissingSubcommand
	}
	for _, c := range command.Commands {
		setUsageErrors(c)
	}
}

// reportMissingSubcommand is the action of a command that only groups subcommands: it runs if none of them is named.
func reportMissingSubcommand(_ context.Context, c *cli.Command) error {
	var names []string
	for _, s := range c.Commands {
		names = append(names, s.Name)
	}
	return invalidValue("command after "+c.FullName(), c.Args().First(), strings.Join(names, ", "))
}

// positionalArgs returns the positional arguments of a command: between least and most of them, none empty.
func positionalArgs(c *cli.Command, least, most int) ([]string, error) {
	args := c.Args().Slice()
	if len(args) < least || len(args) > most {
		return nil, invalidValue("arguments of "+c.FullName(), strings.Join(args, " "), c.ArgsUsage)
	}
	for _, a := range args {
		if a == "" {
			return nil, invalidValue("argument of "+c.FullName(), a, "a name that is not empty")
		}
	}
	return args, nil
}
