package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"

	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// explainTimeout bounds a query; a daemon answers from memory.
	explainTimeout = 5 * time.Second
	// maxExplainReplyBytes bounds the answer; a replica takes about 200 bytes.
	maxExplainReplyBytes = 16 << 20
)

// relayExplainFlags returns the flags that describe a request to a relay.
func relayExplainFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "relay", Usage: "`IP:PORT` of the metrics listener of a running relay"},
		&cli.StringFlag{Name: "host", Usage: "`HOST` that the request names"},
		&cli.StringFlag{Name: "path", Usage: "`PATH` of the request"},
		&cli.StringFlag{Name: "method", Value: http.MethodPost, Usage: "`METHOD` of the request; routes do not depend on it"},
		&cli.StringFlag{Name: "customer", Usage: "`NAME` of the customer"},
		&cli.StringFlag{Name: "key-file", Usage: "`FILE` with a key of the customer, instead of the name"},
		&cli.Int64Flag{Name: "prompt-tokens", Usage: "`TOKENS` of the prompt"},
		&cli.Int64Flag{Name: "answer-tokens", Usage: "most `TOKENS` of the answer"},
		&cli.Int64Flag{Name: "hint", Usage: "`TOKENS` that the caller expects of the answer"},
		&cli.DurationFlag{Name: "deadline", Usage: "`TIME` for which the caller waits, such as 20s"},
		&cli.BoolFlag{Name: "returning", Usage: "the caller was refused before"},
		&cli.BoolFlag{Name: "json", Usage: "print JSON, as --output json"},
	}
}

// explainAtRelay asks a running relay where a request would go, and prints the answer.
func explainAtRelay(ctx context.Context, c *cli.Command) error {
	p, err := newPrinter(c)
	if err != nil {
		return err
	}
	p.json = p.json || c.Bool("json")
	if _, err := positionalArgs(c, 0, 0); err != nil {
		return err
	}
	q := &mangomessage.RelayExplainRequest{
		Method: c.String("method"), Host: c.String("host"), Path: c.String("path"), Customer: c.String("customer"),
		PromptTokens: c.Int64("prompt-tokens"), AnswerTokens: c.Int64("answer-tokens"), AnswerHint: c.Int64("hint"),
		DeadlineMs: c.Duration("deadline").Milliseconds(), Returning: c.Bool("returning"),
	}
	if path := c.String("key-file"); path != "" {
		if q.Key, err = readSecret("--key-file", path, "the path of a file with a key"); err != nil {
			return err
		}
	}
	reply, err := queryRelay(ctx, c.String("relay"), q)
	if err != nil {
		return err
	}
	if p.json {
		return p.printJSON(reply)
	}
	return printRelayExplanation(p, reply)
}

// queryRelay sends a query to the metrics listener of a relay.
func queryRelay(ctx context.Context, address string, q *mangomessage.RelayExplainRequest) (*mangomessage.RelayExplainReply, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, invalidValue("--relay", address, "IP:PORT of the metrics listener, such as 127.0.0.1:9100")
	}
	body, err := protojson.Marshal(q)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/explain", bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	request.Header.Set("Content-Type", "application/json")
	// Daemons are reached directly: a proxy of the environment must not see the key of a customer.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return nil, &Error{Op: "--relay " + address, Kind: KindUnreachable, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	if body, err = io.ReadAll(io.LimitReader(response.Body, maxExplainReplyBytes)); err != nil {
		return nil, &Error{Op: "--relay " + address, Kind: KindUnreachable, Err: err}
	}
	if response.StatusCode != http.StatusOK {
		return nil, relayRefusal(address, response.StatusCode, body)
	}
	reply := &mangomessage.RelayExplainReply{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, reply); err != nil {
		return nil, &Error{Op: "--relay " + address, Kind: KindFailure, Err: err}
	}
	return reply, nil
}

// relayRefusal returns the error for an answer that is no explanation.
func relayRefusal(address string, status int, body []byte) error {
	refusal := &mangomessage.RelayExplainError{}
	if protojson.Unmarshal(body, refusal) != nil || refusal.GetMessage() == "" {
		return &Error{Op: "--relay " + address, Kind: KindFailure, Err: errors.Errorf(
			"answered %d without a reason; it may not be the metrics listener of a relay, or one of an earlier version", status)}
	}
	kind := KindFailure
	switch status {
	case http.StatusBadRequest, http.StatusNotFound:
		kind = KindUsage
	case http.StatusServiceUnavailable:
		kind = KindUnreachable
	}
	return &Error{Op: "--relay " + address, Kind: kind, Err: errors.New(strings.TrimPrefix(refusal.GetMessage(), "Explain: "))}
}
