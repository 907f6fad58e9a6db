package mangooperator

import (
	"io"
	"net/http"
	"strconv"

	"github.com/emicklei/go-restful/v3"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// maxBodyBytes leaves room for about 20,000 customers in one request.
	maxBodyBytes = 8 << 20
	// maxChanges bounds the time for which one request delays other changes.
	maxChanges = 20_000
)

func (a *API) health(_ *restful.Request, w *restful.Response) {
	_, _ = io.WriteString(w, "ok\n")
}

func (a *API) ready(_ *restful.Request, w *restful.Response) {
	status := a.dependencies.StatusReporter.Status()
	if !status.GetReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, status.GetReason()+"\n")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (a *API) entries(r *restful.Request, w *restful.Response) {
	kind := r.QueryParameter("Kind")
	switch kind {
	case "", "Profile", "Alias", "Customer", "HostMark":
		writeMessage(w.ResponseWriter, http.StatusOK, a.dependencies.EntryReader.Entries(kind))
	default:
		a.writeFailure(w, r, invalidError("Entries", "Kind is %q, allowed are Profile, Alias, Customer, HostMark", kind))
	}
}

func (a *API) change(r *restful.Request, w *restful.Response) {
	dryRun := false
	if text := r.QueryParameter("DryRun"); text != "" {
		var err error
		if dryRun, err = strconv.ParseBool(text); err != nil {
			a.writeFailure(w, r, invalidError("Change", "DryRun is %q, allowed are true or false", text))
			return
		}
	}
	var list mangomessage.ChangeList
	err := readMessage(r.Request, w, &list)
	if err == nil {
		err = checkChanges(list.GetChanges())
	}
	if err != nil {
		a.writeFailure(w, r, err)
		return
	}
	revision, err := a.dependencies.Proposer.Propose(r.Request.Context(), list.GetChanges(), dryRun)
	if err != nil {
		a.writeFailure(w, r, err)
		return
	}
	first := list.GetChanges()[0].GetEntry()
	a.logger.WithFields(logrus.Fields{
		"author": first.GetAuthor(), "change": first.GetChangeId(), "changes": len(list.GetChanges()),
		"revision": revision, "dry_run": dryRun,
	}).Info("changes accepted")
	writeMessage(w.ResponseWriter, http.StatusOK, &mangomessage.ChangeReply{Revision: revision, DryRun: dryRun})
}

// checkChanges checks the fields that every change needs; the Proposer validates the content.
func checkChanges(changes []*mangomessage.Change) error {
	if len(changes) == 0 || len(changes) > maxChanges {
		return invalidError("Change", "Changes has %d items, allowed are 1 to %d", len(changes), maxChanges)
	}
	ids := make(map[string]bool, len(changes))
	for i, c := range changes {
		e := c.GetEntry()
		if e.GetContent() == nil || e.GetChangeId() == "" || e.GetAuthor() == "" {
			return invalidError("Change", "Changes[%d].Entry lacks Content, ChangeId or Author", i)
		}
		if ids[e.GetChangeId()] {
			return invalidError("Change", "Changes[%d].Entry.ChangeId %q is used twice", i, e.GetChangeId())
		}
		ids[e.GetChangeId()] = true
	}
	return nil
}

func (a *API) status(_ *restful.Request, w *restful.Response) {
	writeMessage(w.ResponseWriter, http.StatusOK, a.dependencies.StatusReporter.Status())
}

func (a *API) history(r *restful.Request, w *restful.Response) {
	entries, err := a.dependencies.HistoryReader.History(r.Request.Context(), r.QueryParameter("Name"))
	if err != nil {
		a.writeFailure(w, r, err)
		return
	}
	writeMessage(w.ResponseWriter, http.StatusOK, &mangomessage.EntryList{Entries: entries})
}

func (a *API) explain(r *restful.Request, w *restful.Response) {
	var request mangomessage.ExplainRequest
	err := readMessage(r.Request, w, &request)
	if err == nil && request.GetProfile() == "" {
		err = invalidError("Explain", "Profile is empty, it must be the name of a profile or alias")
	}
	if err != nil {
		a.writeFailure(w, r, err)
		return
	}
	reply, err := a.dependencies.RouteExplainer.Explain(r.Request.Context(), &request)
	if err != nil {
		a.writeFailure(w, r, err)
		return
	}
	writeMessage(w.ResponseWriter, http.StatusOK, reply)
}

func (a *API) hosts(_ *restful.Request, w *restful.Response) {
	writeMessage(w.ResponseWriter, http.StatusOK, &mangomessage.HostReports{Hosts: a.dependencies.HostLister.Hosts()})
}

func invalidError(op, format string, args ...any) error {
	return &Error{Op: op, Kind: KindInvalid, Err: errors.Errorf(format, args...)}
}

func readMessage(r *http.Request, w *restful.Response, message proto.Message) error {
	data, err := io.ReadAll(http.MaxBytesReader(w.ResponseWriter, r.Body, maxBodyBytes))
	if err != nil {
		return &Error{Op: "Read", Kind: KindInvalid, Err: errors.Wrapf(err, "read request body, at most %d bytes", maxBodyBytes)}
	}
	if err := protojson.Unmarshal(data, message); err != nil {
		return &Error{Op: "Read", Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	return nil
}

func writeMessage(w http.ResponseWriter, status int, message proto.Message) {
	data, err := protojson.Marshal(message)
	if err != nil {
		http.Error(w, `{"Kind":"Internal"}`, http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}
