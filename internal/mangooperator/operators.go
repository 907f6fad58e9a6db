package mangooperator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"runtime/debug"
	"strings"

	"github.com/emicklei/go-restful/v3"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// API serves the operators' API.
type API struct {
	token     [sha256.Size]byte
	sources   Dependencies
	logger    logrus.FieldLogger
	metrics   http.Handler
	container *restful.Container
}

// New returns the API for the operators' listener.
func New(
	settings *mangomessage.OperatorSettings, sources Dependencies, gatherer prometheus.Gatherer, logger logrus.FieldLogger,
) *API {
	o := &API{
		token: sha256.Sum256([]byte(settings.GetToken())), sources: sources, logger: logger,
		metrics: promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{}),
	}
	o.container = o.routes()
	return o
}

// Handler returns the handler of all requests.
func (o *API) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer o.recoverPanic(w, r)
		o.container.Dispatch(w, r)
	})
}

func (o *API) routes() *restful.Container {
	open := new(restful.WebService)
	open.Route(open.GET("/healthz").To(o.health))
	open.Route(open.GET("/readyz").To(o.ready))
	open.Route(open.GET("/metrics").To(func(r *restful.Request, w *restful.Response) {
		o.metrics.ServeHTTP(w.ResponseWriter, r.Request)
	}))
	guarded := new(restful.WebService).Path("/v1").Filter(o.authorise)
	guarded.Route(guarded.GET("/entries").To(o.entries))
	guarded.Route(guarded.POST("/changes").To(o.change))
	guarded.Route(guarded.GET("/status").To(o.status))
	guarded.Route(guarded.GET("/history").To(o.history))
	guarded.Route(guarded.POST("/explain").To(o.explain))
	guarded.Route(guarded.GET("/hosts").To(o.hosts))
	container := restful.NewContainer()
	container.ServiceErrorHandler(func(e restful.ServiceError, r *restful.Request, w *restful.Response) {
		err := errors.Errorf("%s %s is not served", r.Request.Method, r.Request.URL.Path)
		writeError(w.ResponseWriter, e.Code, &Error{Op: "Route", Kind: KindNotFound, Err: err})
	})
	return container.Add(open).Add(guarded)
}

// authorise compares digests, so that neither content nor length of the token shows in the time that it takes.
func (o *API) authorise(r *restful.Request, w *restful.Response, chain *restful.FilterChain) {
	scheme, token, _ := strings.Cut(r.HeaderParameter("Authorization"), " ")
	digest := sha256.Sum256([]byte(strings.TrimSpace(token)))
	equal := subtle.ConstantTimeCompare(digest[:], o.token[:]) == 1
	if !strings.EqualFold(scheme, "Bearer") || strings.TrimSpace(token) == "" || !equal {
		w.AddHeader("WWW-Authenticate", "Bearer")
		o.fail(w, r, &Error{
			Op: "Authorise", Kind: KindUnauthorised, Err: errors.New("header Authorization: Bearer TOKEN is missing or wrong"),
		})
		return
	}
	chain.ProcessFilter(r, w)
}

func (o *API) recoverPanic(w http.ResponseWriter, r *http.Request) {
	p := recover()
	if p == nil {
		return
	}
	o.logger.WithFields(logrus.Fields{"path": r.URL.Path, "panic": p, "stack": string(debug.Stack())}).
		Error("panic in a handler")
	writeError(w, http.StatusInternalServerError, &Error{Op: "Serve", Kind: KindInternal, Err: errors.New("internal error")})
}

// fail logs an error and answers with it.
func (o *API) fail(w *restful.Response, r *restful.Request, err error) {
	var failure *Error
	if !errors.As(err, &failure) {
		failure = &Error{Op: "Serve", Kind: KindInternal, Err: err}
	}
	o.logger.WithFields(logrus.Fields{"method": r.Request.Method, "path": r.Request.URL.Path, "kind": failure.Kind}).
		WithError(err).Warn("operators' request failed")
	writeError(w.ResponseWriter, statusOf(failure.Kind), failure)
}

func statusOf(kind Kind) int {
	statuses := map[Kind]int{
		KindInvalid:      http.StatusBadRequest,
		KindUnauthorised: http.StatusUnauthorized,
		KindNotFound:     http.StatusNotFound,
		KindConflict:     http.StatusConflict,
		KindUnavailable:  http.StatusServiceUnavailable,
		KindUnknown:      http.StatusGatewayTimeout,
	}
	if status, found := statuses[kind]; found {
		return status
	}
	return http.StatusInternalServerError
}

func writeError(w http.ResponseWriter, status int, e *Error) {
	message := e.Kind.String()
	if e.Err != nil {
		message = e.Err.Error()
	}
	writeMessage(w, status, &mangomessage.OperatorError{Kind: e.Kind.String(), Message: message, Present: e.Present})
}
