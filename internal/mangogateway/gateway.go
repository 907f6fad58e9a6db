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
	// defaultMaxPrompt bounds the prompt, which is kept in memory during the call so that another attempt can run it.
	defaultMaxPrompt = 512 << 10
	defaultMaxTokens = 1 << 20
	// defaultWriteTimeout bounds each write to a caller and so ends calls whose caller has stopped reading.
	defaultWriteTimeout = 30 * time.Second
)

// Gateway serves the callers' HTTP API.
type Gateway struct {
	settings      *mangomessage.CallerSettings
	authenticator Authenticator
	completer     Completer
	serviceCaller ServiceCaller
	logger        logrus.FieldLogger
	observer      Observer
	now           func() time.Time
	maxBody       int64
	maxPrompt     int
	maxTokens     int
	writeTimeout  time.Duration
	container     *restful.Container
}

// Option sets a property of a Gateway.
type Option func(*Gateway)

// WithObserver sets the observer that counts calls.
func WithObserver(observer Observer) Option { return func(g *Gateway) { g.observer = observer } }

// WithClock sets the clock, for tests.
func WithClock(now func() time.Time) Option { return func(g *Gateway) { g.now = now } }

// WithMaxPrompt sets the maximum length of a prompt in bytes.
func WithMaxPrompt(bytes int) Option { return func(g *Gateway) { g.maxPrompt = bytes } }

// WithMaxTokens sets the greatest value of max_tokens that is accepted; profiles set lower limits.
func WithMaxTokens(tokens int) Option { return func(g *Gateway) { g.maxTokens = tokens } }

// WithWriteTimeout sets the time that one write to a caller may take.
func WithWriteTimeout(timeout time.Duration) Option {
	return func(g *Gateway) { g.writeTimeout = timeout }
}

// New returns a gateway with the bounds of the settings.
func New(
	settings *mangomessage.CallerSettings, authenticator Authenticator, completer Completer, serviceCaller ServiceCaller,
	logger logrus.FieldLogger, opts ...Option,
) *Gateway {
	g := &Gateway{
		settings: settings, authenticator: authenticator, completer: completer, serviceCaller: serviceCaller, logger: logger,
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

// routes maps the paths of the API to their handlers.
func (g *Gateway) routes() *restful.Container {
	service := new(restful.WebService)
	service.Route(service.POST("/v1/completions").To(func(r *restful.Request, _ *restful.Response) {
		g.serveCompletion(exchangeOf(r))
	}))
	call := func(r *restful.Request, _ *restful.Response) {
		g.serveServiceCall(exchangeOf(r), r.PathParameter("name"))
	}
	service.Route(service.POST("/v1/services/{name}").To(call))
	service.Route(service.POST("/v1/services/{name}/{rest:*}").To(call))
	container := restful.NewContainer()
	container.ServiceErrorHandler(func(e restful.ServiceError, r *restful.Request, _ *restful.Response) {
		exchangeOf(r).answerUnrouted(e.Code)
	})
	return container.Add(service)
}

// Handler returns the handler of all requests. It does not use http.ServeMux, which redirects unclean paths and so would
// make callers send a request again.
func (g *Gateway) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := newExchange(g, w, r)
		defer x.finish()
		g.container.Dispatch(x.writer, x.request)
	})
}

// rejectedError returns the error of a request that is invalid and must not be tried again unchanged.
func rejectedError(op string, kind mangocall.Kind, err error) *mangocall.Error {
	return &mangocall.Error{Op: op, Kind: kind, Outcome: mangocall.Rejected, Err: err}
}
