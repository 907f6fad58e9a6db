package main

import (
	"context"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// atOnceFlag returns the flag that skips checkReady.
func atOnceFlag() cli.Flag {
	return &cli.BoolFlag{Name: "at-once", Usage: "switch even if the target profile cannot serve calls yet"}
}

// checkReady returns an error if the entry host could not route calls to the target profile, unless --at-once or the
// profile itself allows the switch. It precedes the proposal, because an accepted switch takes effect immediately.
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
	return errors.Errorf("profile %s cannot serve calls yet: %s; --at-once switches anyway", target.GetName(), reply.GetReason())
}
