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

// API serves the operators' HTTP API.
type API struct {
	token        [sha256.Size]byte
	dependencies Dependencies
	logger       logrus.FieldLogger
	metrics      http.Handler
	container    *restful.Container
}

// New returns the API for the operators' listener.
func New(
	settings *mangomessage.OperatorSettings, dependencies Dependencies, gatherer prometheus.Gatherer, logger logrus.FieldLogger,
) *API {
	a := &API{
		token: sha256.Sum256([]byte(settings.GetToken())), dependencies: dependencies, logger: logger,
		metrics: promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{}),
	}
	a.container = a.routes()
	return a
}

// Handler returns the handler of all requests.
func (a *API) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer a.recoverPanic(w, r)
		a.container.Dispatch(w, r)
	})
}

func (a *API) routes() *restful.Container {
	public := new(restful.WebService)
	public.Route(public.GET("/healthz").To(a.health))
	public.Route(public.GET("/readyz").To(a.ready))
	public.Route(public.GET("/metrics").To(func(r *restful.Request, w *restful.Response) {
		a.metrics.ServeHTTP(w.ResponseWriter, r.Request)
	}))
	authenticated := new(restful.WebService).Path("/v1").Filter(a.authorise)
	authenticated.Route(authenticated.GET("/entries").To(a.entries))
	authenticated.Route(authenticated.POST("/changes").To(a.change))
	authenticated.Route(authenticated.GET("/status").To(a.status))
	authenticated.Route(authenticated.GET("/history").To(a.history))
	authenticated.Route(authenticated.POST("/explain").To(a.explain))
	authenticated.Route(authenticated.GET("/hosts").To(a.hosts))
	container := restful.NewContainer()
	container.ServiceErrorHandler(func(e restful.ServiceError, r *restful.Request, w *restful.Response) {
		err := errors.Errorf("%s %s is not served", r.Request.Method, r.Request.URL.Path)
		writeError(w.ResponseWriter, e.Code, &Error{Op: "Route", Kind: KindNotFound, Err: err})
	})
	return container.Add(public).Add(authenticated)
}

// authorise passes on requests with the operators' token. It compares digests, so that the time that it takes reveals
// neither content nor length of the token.
func (a *API) authorise(r *restful.Request, w *restful.Response, chain *restful.FilterChain) {
	scheme, token, _ := strings.Cut(r.HeaderParameter("Authorization"), " ")
	digest := sha256.Sum256([]byte(strings.TrimSpace(token)))
	equal := subtle.ConstantTimeCompare(digest[:], a.token[:]) == 1
	if !strings.EqualFold(scheme, "Bearer") || strings.TrimSpace(token) == "" || !equal {
		w.AddHeader("WWW-Authenticate", "Bearer")
		a.writeFailure(w, r, &Error{
			Op: "Authorise", Kind: KindUnauthorised, Err: errors.New("header Authorization: Bearer TOKEN is missing or wrong"),
		})
		return
	}
	chain.ProcessFilter(r, w)
}

func (a *API) recoverPanic(w http.ResponseWriter, r *http.Request) {
	p := recover()
	if p == nil {
		return
	}
	a.logger.WithFields(logrus.Fields{"path": r.URL.Path, "panic": p, "stack": string(debug.Stack())}).
		Error("request handler panicked")
	writeError(w, http.StatusInternalServerError, &Error{Op: "Serve", Kind: KindInternal, Err: errors.New("internal error")})
}

// writeFailure logs an error and sends it as the answer.
func (a *API) writeFailure(w *restful.Response, r *restful.Request, err error) {
	var failure *Error
	if !errors.As(err, &failure) {
		failure = &Error{Op: "Serve", Kind: KindInternal, Err: err}
	}
	a.logger.WithFields(logrus.Fields{"method": r.Request.Method, "path": r.Request.URL.Path, "kind": failure.Kind}).
		WithError(err).Warn("operators' request failed")
	writeError(w.ResponseWriter, httpStatus(failure.Kind), failure)
}

func httpStatus(kind Kind) int {
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
