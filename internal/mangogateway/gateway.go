package mangogateway

import (
	"net/http"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	defaultMaxBody = 1 << 20
	// defaultMaxPrompt bounds the text that is kept for the whole call so that it can be recovered.
	defaultMaxPrompt = 512 << 10
	defaultMaxTokens = 1 << 20
	// defaultWriteTimeout ends calls whose caller stopped reading.
	defaultWriteTimeout = 30 * time.Second
)

// Gateway serves the callers' API.
type Gateway struct {
	settings      *mangomessage.CallerSettings
	authenticator Authenticator
	completer     Completer
	caller        ServiceCaller
	logger        logrus.FieldLogger
	observer      Observer
	now           func() time.Time
	maxBody       int64
	maxPrompt     int
	maxTokens     int
	writeTimeout  time.Duration
	container     *restful.Container
}

// Option changes a gateway under construction.
type Option func(*Gateway)

// WithObserver sets who counts calls.
func WithObserver(observer Observer) Option { return func(g *Gateway) { g.observer = observer } }

// WithClock sets the clock, for tests.
func WithClock(now func() time.Time) Option { return func(g *Gateway) { g.now = now } }

// WithMaxPrompt sets the longest prompt in bytes.
func WithMaxPrompt(bytes int) Option { return func(g *Gateway) { g.maxPrompt = bytes } }

// WithMaxTokens sets the largest value of max_tokens that is well-formed; profiles set lower bounds.
func WithMaxTokens(tokens int) Option { return func(g *Gateway) { g.maxTokens = tokens } }

// WithWriteTimeout sets the time that one write to a caller may take.
func WithWriteTimeout(timeout time.Duration) Option {
	return func(g *Gateway) { g.writeTimeout = timeout }
}

// New returns a gateway for the callers' listener.
func New(
	settings *mangomessage.CallerSettings, authenticator Authenticator, completer Completer, caller ServiceCaller,
	logger logrus.FieldLogger, opts ...Option,
) *Gateway {
	g := &Gateway{
		settings: settings, authenticator: authenticator, completer: completer, caller: caller, logger: logger,
		observer: noObserver{}, now: time.Now, maxBody: settings.GetMaxBody(), maxPrompt: defaultMaxPrompt,
		maxTokens: defaultMaxTokens, writeTimeout: defaultWriteTimeout,
	}
	if g.maxBody <= 0 {
		g.maxBody = defaultMaxBody
	}
	for _, o := range opts {
		o(g)
	}
	g.container = g.routes()
	return g
}

func (g *Gateway) routes() *restful.Container {
	service := new(restful.WebService)
	service.Route(service.POST("/v1/completions").To(func(r *restful.Request, _ *restful.Response) {
		g.complete(exchangeOf(r))
	}))
	call := func(r *restful.Request, _ *restful.Response) {
		g.callService(exchangeOf(r), r.PathParameter("name"))
	}
	service.Route(service.POST("/v1/services/{name}").To(call))
	service.Route(service.POST("/v1/services/{name}/{rest:*}").To(call))
	container := restful.NewContainer()
	container.ServiceErrorHandler(func(e restful.ServiceError, r *restful.Request, _ *restful.Response) {
		exchangeOf(r).refuseRoute(e.Code)
	})
	return container.Add(service)
}

// Handler returns the handler of all requests. It dispatches without http.ServeMux, whose redirects of unclean
// paths would make callers send a request again.
func (g *Gateway) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := newExchange(g, w, r)
		defer x.finish()
		g.container.Dispatch(x.writer, x.request)
	})
}

func rejected(op string, kind mangocall.Kind, err error) *mangocall.Error {
	return &mangocall.Error{Op: op, Kind: kind, Outcome: mangocall.Rejected, Err: err}
}
