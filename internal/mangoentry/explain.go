package mangoentry

import (
	"errors"
	"io"
	"net/http"

	"github.com/emicklei/go-restful/v3"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/internal/mangorelay"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// maxExplainBytes bounds the body of a query.
const maxExplainBytes = 16 << 10

// explainer answers queries about where a request would go; mangorelay.Relay implements it.
type explainer interface {
	Explain(q *mangomessage.RelayExplainRequest) (*mangomessage.RelayExplainReply, error)
}

// newExplainService returns the service that answers queries about where a request would go: POST /explain with a RelayExplainRequest as
// JSON. Queries may have a customer's key, also by mistake in another field, so the log has only names of the configuration, and no error
// has any part of a body that cannot be read.
func newExplainService(e explainer, count func(result string), logger logrus.FieldLogger) *restful.WebService {
	service := new(restful.WebService)
	service.Path("/explain")
	service.Route(service.POST("").To(func(request *restful.Request, response *restful.Response) {
		q, err := readQuery(response, request.Request)
		var explained *mangomessage.RelayExplainReply
		if err == nil {
			explained, err = e.Explain(q)
		}
		var reply proto.Message = explained
		result, status := "Explained", http.StatusOK
		if err != nil {
			result, status = explainFailure(err)
			reply = &mangomessage.RelayExplainError{Kind: result, Message: err.Error()}
		}
		count(result)
		logger.WithFields(logrus.Fields{
			"event": "request_explained", "route": explained.GetRoute(), "customer": explained.GetCustomer(), "result": result, "from": request.Request.RemoteAddr,
		}).Info("a query about a request was answered")
		writeMessage(response, status, reply)
	}))
	return service
}

// readQuery reads the body of a query. The error does not quote it.
func readQuery(w http.ResponseWriter, r *http.Request) (*mangomessage.RelayExplainRequest, error) {
	q := &mangomessage.RelayExplainRequest{}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxExplainBytes))
	if err != nil || protojson.Unmarshal(body, q) != nil {
		return nil, &mangorelay.Error{
			Op: "Explain", Kind: mangorelay.KindInvalid, Err: errors.New("the body is no RelayExplainRequest as JSON, or too large"),
		}
	}
	return q, nil
}

// explainFailure returns the kind of an error and the status of its answer.
func explainFailure(err error) (kind string, status int) {
	var failure *mangorelay.Error
	if !errors.As(err, &failure) {
		return "Internal", http.StatusInternalServerError
	}
	switch failure.Kind {
	case mangorelay.KindNotFound:
		return failure.Kind.String(), http.StatusNotFound
	case mangorelay.KindUnavailable:
		return failure.Kind.String(), http.StatusServiceUnavailable
	case mangorelay.KindInvalid:
	}
	return failure.Kind.String(), http.StatusBadRequest
}

// writeMessage writes a message as JSON, fields without a value included.
func writeMessage(w http.ResponseWriter, status int, m proto.Message) {
	body, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The write fails if the client has left.
	_, _ = w.Write(body)
}
