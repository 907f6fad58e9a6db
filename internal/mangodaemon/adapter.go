package mangodaemon

import (
	"context"
	"time"

	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/internal/mangocontrol"
	"mangopath.org/mangopath/internal/mangodispatch"
	"mangopath.org/mangopath/internal/mangoledger"
	"mangopath.org/mangopath/internal/mangometric"
	"mangopath.org/mangopath/internal/mangopeer"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// statusAsker asks the entry host that owns the record of a call for the status of an attempt, over drpc.
type statusAsker struct{ peers *mangopeer.Client }

var _ mangodispatch.StatusClient = statusAsker{}

// QueryStatus implements mangodispatch.StatusClient; address is the peer address of the owner.
func (a statusAsker) QueryStatus(ctx context.Context, address string, request *mangomessage.StatusRequest) (*mangomessage.StatusReply, error) {
	return a.peers.Status(ctx, address, request)
}

// peerHandler answers the requests of other entry hosts. Exchanges and fetches go to the controller.
type peerHandler struct {
	*mangocontrol.Controller
	mangopeer.NoHub
	ledger *mangoledger.Ledger
}

var _ mangopeer.Handler = peerHandler{}

// Status returns what the ledger has about an attempt of a call whose record this daemon owns.
func (a peerHandler) Status(_ context.Context, request *mangomessage.StatusRequest) (*mangomessage.StatusReply, error) {
	return a.ledger.Lookup(request.Customer, request.Key, request.Attempt), nil
}

// callObserver reports what calls see of upstreams to the controller and to the metrics.
type callObserver struct {
	*mangocontrol.Controller
	metrics *mangometric.Metrics
}

var _ mangocall.Observer = callObserver{}

// Token implements mangocall.Observer.
func (o callObserver) Token(profile string, took time.Duration, first bool) {
	o.metrics.ObserveToken(profile, took, first)
}

// Failed implements mangocall.Observer.
func (o callObserver) Failed(host string, err error) {
	o.metrics.CountRetry("step")
	o.Controller.Failed(host, err)
}

// Crashed implements mangocall.Observer.
func (o callObserver) Crashed(host, fingerprint string) {
	o.metrics.CountRecovery("crash")
	o.Controller.Crashed(host, fingerprint)
}

// sendObserver reports the results of sends to plain services, and their crashes, to the controller.
type sendObserver struct{ controller *mangocontrol.Controller }

var (
	_ mangodispatch.Observer      = sendObserver{}
	_ mangodispatch.CrashObserver = sendObserver{}
)

// Crashed implements mangodispatch.CrashObserver.
func (s sendObserver) Crashed(host, fingerprint string) { s.controller.Crashed(host, fingerprint) }

// Sent implements mangodispatch.Observer.
func (s sendObserver) Sent(host string, _ time.Duration, err error) {
	if err != nil {
		s.controller.Failed(host, err)
		return
	}
	s.controller.Succeeded(host)
}
