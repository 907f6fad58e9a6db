package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// printer writes results in the format of --output.
type printer struct {
	out io.Writer
	// json is true for JSON and false for text.
	json bool
}

// newPrinter returns a printer to the program's standard output, or a usage error for an unknown format.
func newPrinter(c *cli.Command) (printer, error) {
	switch format := c.String("output"); format {
	case "text", "json":
		return printer{out: c.Root().Writer, json: format == "json"}, nil
	default:
		return printer{}, invalidValue("--output", format, "text or json")
	}
}

// printJSON writes a protobuf message as indented JSON.
func (p printer) printJSON(m proto.Message) error {
	text, err := indentedJSON(m)
	if err != nil {
		return err
	}
	return p.printLine(text)
}

// printLine writes a formatted line. Without args, format is written as it is, so that it may contain percent signs.
func (p printer) printLine(format string, args ...any) error {
	if len(args) > 0 {
		format = fmt.Sprintf(format, args...)
	}
	_, err := io.WriteString(p.out, format+"\n")
	return errors.WithStack(err)
}

// indentedJSON formats a message with encoding/json, because the white space of protojson's output is deliberately unstable.
func indentedJSON(m proto.Message) (string, error) {
	data, err := protojson.Marshal(m)
	if err != nil {
		return "", errors.WithStack(err)
	}
	var out bytes.Buffer
	if err := json.Indent(&out, data, "", "  "); err != nil {
		return "", errors.WithStack(err)
	}
	return out.String(), nil
}

// printTable writes rows in aligned columns.
func (p printer) printTable(rows [][]string) error {
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return errors.WithStack(w.Flush())
}
