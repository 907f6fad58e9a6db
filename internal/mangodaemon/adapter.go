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

// asker asks the owners of records over drpc.
type asker struct{ peers *mangopeer.Client }

var _ mangodispatch.StatusClient = asker{}

// QueryStatus implements mangodispatch.Asker.
func (a asker) QueryStatus(ctx context.Context, address string, request *mangomessage.StatusRequest) (*mangomessage.StatusReply, error) {
	return a.peers.Status(ctx, address, request)
}

// answerer serves other entry hosts.
type answerer struct {
	*mangocontrol.Controller
	ledger *mangoledger.Ledger
}

var _ mangopeer.Handler = answerer{}

// Status tells what this daemon knows about a call that it owns.
func (a answerer) Status(_ context.Context, request *mangomessage.StatusRequest) (*mangomessage.StatusReply, error) {
	return a.ledger.Lookup(request.Customer, request.Key, request.Attempt), nil
}

// observer passes what calls see to the control state and to the metrics.
type observer struct {
	*mangocontrol.Controller
	metrics *mangometric.Metrics
}

var _ mangocall.Observer = observer{}

// Token implements mangocall.Observer.
func (o observer) Token(profile string, took time.Duration, first bool) {
	o.metrics.ObserveToken(profile, took, first)
}

// Failed implements mangocall.Observer.
func (o observer) Failed(host string, err error) {
	o.metrics.CountRetry("step")
	o.Controller.Failed(host, err)
}

// Crashed implements mangocall.Observer.
func (o observer) Crashed(host, fingerprint string) {
	o.metrics.CountRecovery("crash")
	o.Controller.Crashed(host, fingerprint)
}

// sent passes failed sends to services to the control state.
type sent struct{ controller *mangocontrol.Controller }

var (
	_ mangodispatch.Observer      = sent{}
	_ mangodispatch.CrashObserver = sent{}
)

// Crashed implements mangodispatch.CrashObserver.
func (s sent) Crashed(host, fingerprint string) { s.controller.Crashed(host, fingerprint) }

// Sent implements mangodispatch.Observer.
func (s sent) Sent(host string, _ time.Duration, err error) {
	if err != nil {
		s.controller.Failed(host, err)
		return
	}
	s.controller.Succeeded(host)
}
