package mangoentry

import (
	"net/http"

	"github.com/emicklei/go-restful/v3"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// readinessHandler answers the readiness check of the load balancer: 200 if ready returns true, else 503.
func readinessHandler(ready func() bool) http.Handler {
	service := new(restful.WebService)
	service.Route(service.GET("/readiness").To(func(_ *restful.Request, response *restful.Response) {
		if ready() {
			response.WriteHeader(http.StatusOK)
			return
		}
		response.WriteHeader(http.StatusServiceUnavailable)
	}))
	return restful.NewContainer().Add(service)
}

// metricsHandler serves the metrics of a registry in the Prometheus text format, and the explanations of requests.
func metricsHandler(registry *prometheus.Registry, explanations *restful.WebService) http.Handler {
	handler := promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	service := new(restful.WebService)
	service.Route(service.GET("/metrics").To(func(request *restful.Request, response *restful.Response) {
		handler.ServeHTTP(response.ResponseWriter, request.Request)
	}))
	return restful.NewContainer().Add(service).Add(explanations)
}
