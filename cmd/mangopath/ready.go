package main

import (
	"context"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"mangopath.org/mangopath/pkg/mangomessage"
)

func atOnceFlag() cli.Flag {
	return &cli.BoolFlag{Name: "at-once", Usage: "switch even if the target cannot serve calls yet"}
}

// checkReady refuses a switch to a profile that the entry host could not route to. An accepted switch is in force at
// once, so the check comes before it.
func (s *session) checkReady(ctx context.Context, c *cli.Command, target *mangomessage.Profile) error {
	if c.Bool("at-once") || target.GetSwitchAtOnce() {
		return nil
	}
	reply, err := s.client.Explain(ctx, &mangomessage.ExplainRequest{Profile: target.GetName()})
	if err != nil {
		return err
	}
	if len(reply.GetChains()) > 0 {
		return nil
	}
	return errors.Errorf("profile %s cannot serve calls yet: %s; --at-once switches all the same", target.GetName(), reply.GetReason())
}
