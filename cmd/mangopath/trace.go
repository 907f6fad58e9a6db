package main

import (
	"os"
	"path/filepath"

	"mangopath.org/mangopath/internal/mangotrace"
)

// explainRequest prints the story of a request from log files.
func explainRequest(p printer, id string, files []string) error {
	var logs []mangotrace.Log
	for _, f := range files {
		log, err := readLog(f)
		if err != nil {
			return &Error{Op: "--log " + f, Kind: KindUsage, Err: err}
		}
		logs = append(logs, log)
	}
	story, err := mangotrace.Assemble(logs, id)
	if err != nil {
		return err
	}
	return story.Write(p.out)
}

func readLog(path string) (mangotrace.Log, error) {
	file, err := os.Open(path)
	if err != nil {
		return mangotrace.Log{}, err
	}
	defer func() { _ = file.Close() }()
	return mangotrace.Read(filepath.Base(path), file)
}
