package mangobench

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// Report is the outcome of a benchmark.
type Report struct {
	Rows     []Row
	Added    []AddedLatency
	Recovery []Recovery
}

// Write writes bench.json, bench.svg and bench.md to a directory and returns the tables.
func (r *Report) Write(dir string) (string, error) {
	var table, plot bytes.Buffer
	if err := r.tables(&table); err != nil {
		return "", err
	}
	if err := WritePlot(&plot, r.Rows); err != nil {
		return "", err
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return "", errors.Wrap(err, "encode report")
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", errors.Wrap(err, "create directory")
	}
	files := map[string][]byte{"bench.json": data, "bench.svg": plot.Bytes(), "bench.md": table.Bytes()}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(dir, name), content, 0o644); err != nil {
			return "", errors.Wrap(err, "write report")
		}
	}
	return table.String(), nil
}

func (r *Report) tables(b *bytes.Buffer) error {
	if err := WriteTable(b, r.Rows); err != nil {
		return err
	}
	if err := writeAdded(b, r.Added); err != nil {
		return err
	}
	return writeRecovery(b, r.Recovery)
}
