package main

import (
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"mangopath.org/mangopath/pkg/mangoclient"
)

// maxTokenFileBytes bounds the token file, so that a wrong path does not read a large file into memory.
const maxTokenFileBytes = 4096

// session holds the API client, the author of changes and the output format of a command that calls entry hosts.
type session struct {
	client *mangoclient.Operators
	// author is recorded with each change.
	author string
	printer
}

// openSession creates a session from the flags --operators, --token-file, --author and --output. It sends no request.
func openSession(c *cli.Command) (*session, error) {
	p, err := newPrinter(c)
	if err != nil {
		return nil, err
	}
	if c.String("operators") == "" {
		return nil, invalidValue("--operators", "", "ADDRESS[,ADDRESS], such as 127.0.0.1:7200")
	}
	token, err := readToken(c.String("token-file"))
	if err != nil {
		return nil, err
	}
	client, err := mangoclient.NewOperators(strings.Split(c.String("operators"), ","), token)
	if err != nil {
		return nil, &Error{Op: "--operators", Kind: KindUsage, Err: err}
	}
	author := c.String("author")
	if author == "" {
		author = "unknown"
	}
	return &session{client: client, author: author, printer: p}, nil
}

// readToken reads the operators' bearer token from a file that holds nothing else.
func readToken(path string) (string, error) {
	return readSecret("--token-file", path, "the path of a file with the operators' token")
}

// readSecret reads a secret from a file, named by a flag, that holds nothing else. allowed says what the flag takes.
func readSecret(flag, path, allowed string) (string, error) {
	if path == "" {
		return "", invalidValue(flag, path, allowed)
	}
	data, err := readFileUpTo(path, maxTokenFileBytes)
	if err != nil {
		return "", &Error{Op: flag, Kind: KindUsage, Err: err}
	}
	token := strings.TrimSpace(string(data))
	if token == "" || strings.ContainsAny(token, "\r\n") {
		return "", invalidValue(flag, path, allowed+" on one line")
	}
	return token, nil
}

// readFileUpTo reads a file of at most maxBytes and fails if it is larger.
func readFileUpTo(path string, maxBytes int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, maxBytes+1))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if int64(len(data)) > maxBytes {
		return nil, errors.Errorf("%s is larger than %d bytes", path, maxBytes)
	}
	return data, nil
}
