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

const exitStatuses = `Exit status: 0 success, 1 failure, 2 usage or bad input, 3 conflict with another operator, 4 no entry host or platform reachable.`

// run runs the program and returns its exit status.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := rootCommand()
	root.Writer, root.ErrWriter = out, errOut
	err := root.Run(ctx, args)
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintf(errOut, "mangopath: %v\n", err)
	printPresent(errOut, err)
	return int(kindOf(err))
}

// printPresent shows who changed the entry that a conflict is about.
func printPresent(w io.Writer, err error) {
	var failure *mangoclient.Error
	if !errors.As(err, &failure) || failure.Present == nil {
		return
	}
	e := failure.Present
	_, _ = fmt.Fprintf(w, "present entry: %s %s, revision %d, changed by %s at %s\n", mangoclient.EntryKind(e),
		mangoclient.EntryName(e), e.GetRevision(), e.GetAuthor(), displayTime(e))
}

func displayTime(e *mangomessage.Entry) string {
	return time.UnixMilli(e.GetAtMs()).UTC().Format(time.RFC3339)
}

func rootCommand() *cli.Command {
	root := &cli.Command{
		Name: "mangopath", Usage: "route requests to model pipelines on mixed accelerators", Description: exitStatuses,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "operators", Usage: "operators' listeners of entry hosts, tried in turn, as `ADDRESS[,ADDRESS]`",
				Sources: cli.EnvVars("MANGOPATH_OPERATORS"),
			},
			&cli.StringFlag{
				Name: "token-file", Usage: "`FILE` with the operators' bearer token", Sources: cli.EnvVars("MANGOPATH_TOKEN_FILE"),
			},
			&cli.StringFlag{
				Name: "author", Usage: "`NAME` that changes are recorded under", Sources: cli.EnvVars("MANGOPATH_AUTHOR", "USER"),
			},
			&cli.StringFlag{Name: "output", Value: "text", Usage: "`FORMAT` of results: text or json"},
		},
		Commands: []*cli.Command{
			serveCommand(), checkCommand(), profileCommand(), hostCommand(), statusCommand(), explainCommand(), relayCommand(), versionCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	prepare(root)
	return root
}

// prepare makes each command report wrong flags and unknown subcommands as usage errors.
func prepare(command *cli.Command) {
	command.HideHelpCommand = true
	command.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return &Error{Op: "usage", Kind: KindUsage, Err: errors.Errorf("%v; see %s --help", err, c.FullName())}
	}
	if len(command.Commands) > 0 {
		command.Action = chooseSubcommand
	}
	for _, c := range command.Commands {
		prepare(c)
	}
}

func chooseSubcommand(_ context.Context, c *cli.Command) error {
	var names []string
	for _, s := range c.Commands {
		names = append(names, s.Name)
	}
	return badValue("command after "+c.FullName(), c.Args().First(), strings.Join(names, ", "))
}

// arguments returns the arguments of a command, of which there must be between least and most.
func arguments(c *cli.Command, least, most int) ([]string, error) {
	args := c.Args().Slice()
	if len(args) < least || len(args) > most {
		return nil, badValue("arguments of "+c.FullName(), strings.Join(args, " "), c.ArgsUsage)
	}
	for _, a := range args {
		if a == "" {
			return nil, badValue("argument of "+c.FullName(), a, "a name")
		}
	}
	return args, nil
}
