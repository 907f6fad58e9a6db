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
	// maxBody holds about 20,000 customers.
	maxBody = 8 << 20
	// maxChanges bounds the time for which one request holds up other changes.
	maxChanges = 20_000
)

func (o *API) health(_ *restful.Request, w *restful.Response) {
	_, _ = io.WriteString(w, "ok\n")
}

func (o *API) ready(_ *restful.Request, w *restful.Response) {
	status := o.sources.StatusReporter.Status()
	if !status.GetReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, status.GetReason()+"\n")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (o *API) entries(r *restful.Request, w *restful.Response) {
	kind := r.QueryParameter("Kind")
	switch kind {
	case "", "Profile", "Alias", "Customer", "HostMark":
		writeMessage(w.ResponseWriter, http.StatusOK, o.sources.EntryReader.Entries(kind))
	default:
		o.fail(w, r, invalid("Entries", "Kind is %q and not one of Profile, Alias, Customer, HostMark", kind))
	}
}

func (o *API) change(r *restful.Request, w *restful.Response) {
	dryRun := false
	if text := r.QueryParameter("DryRun"); text != "" {
		var err error
		if dryRun, err = strconv.ParseBool(text); err != nil {
			o.fail(w, r, invalid("Change", "DryRun is %q and not true or false", text))
			return
		}
	}
	var list mangomessage.ChangeList
	err := readMessage(r.Request, w, &list)
	if err == nil {
		err = checkChanges(list.GetChanges())
	}
	if err != nil {
		o.fail(w, r, err)
		return
	}
	revision, err := o.sources.Proposer.Propose(r.Request.Context(), list.GetChanges(), dryRun)
	if err != nil {
		o.fail(w, r, err)
		return
	}
	first := list.GetChanges()[0].GetEntry()
	o.logger.WithFields(logrus.Fields{
		"author": first.GetAuthor(), "change": first.GetChangeId(), "changes": len(list.GetChanges()),
		"revision": revision, "dry_run": dryRun,
	}).Info("changes accepted")
	writeMessage(w.ResponseWriter, http.StatusOK, &mangomessage.ChangeReply{Revision: revision, DryRun: dryRun})
}

// checkChanges checks what every change needs; the content is for the proposer to judge.
func checkChanges(changes []*mangomessage.Change) error {
	if len(changes) == 0 || len(changes) > maxChanges {
		return invalid("Change", "Changes has %d items and not 1 to %d", len(changes), maxChanges)
	}
	ids := make(map[string]bool, len(changes))
	for i, c := range changes {
		e := c.GetEntry()
		if e.GetContent() == nil || e.GetChangeId() == "" || e.GetAuthor() == "" {
			return invalid("Change", "Changes[%d].Entry needs content, ChangeId and Author", i)
		}
		if ids[e.GetChangeId()] {
			return invalid("Change", "Changes[%d].Entry.ChangeId %q is used twice", i, e.GetChangeId())
		}
		ids[e.GetChangeId()] = true
	}
	return nil
}

func (o *API) status(_ *restful.Request, w *restful.Response) {
	writeMessage(w.ResponseWriter, http.StatusOK, o.sources.StatusReporter.Status())
}

func (o *API) history(r *restful.Request, w *restful.Response) {
	entries, err := o.sources.HistoryReader.History(r.Request.Context(), r.QueryParameter("Name"))
	if err != nil {
		o.fail(w, r, err)
		return
	}
	writeMessage(w.ResponseWriter, http.StatusOK, &mangomessage.EntryList{Entries: entries})
}

func (o *API) explain(r *restful.Request, w *restful.Response) {
	var request mangomessage.ExplainRequest
	err := readMessage(r.Request, w, &request)
	if err == nil && request.GetProfile() == "" {
		err = invalid("Explain", "Profile is empty and not the name of a profile or alias")
	}
	if err != nil {
		o.fail(w, r, err)
		return
	}
	reply, err := o.sources.RouteExplainer.Explain(r.Request.Context(), &request)
	if err != nil {
		o.fail(w, r, err)
		return
	}
	writeMessage(w.ResponseWriter, http.StatusOK, reply)
}

func (o *API) hosts(_ *restful.Request, w *restful.Response) {
	writeMessage(w.ResponseWriter, http.StatusOK, &mangomessage.HostReports{Hosts: o.sources.HostLister.Hosts()})
}

func invalid(op, format string, args ...any) error {
	return &Error{Op: op, Kind: KindInvalid, Err: errors.Errorf(format, args...)}
}

func readMessage(r *http.Request, w *restful.Response, message proto.Message) error {
	data, err := io.ReadAll(http.MaxBytesReader(w.ResponseWriter, r.Body, maxBody))
	if err != nil {
		return &Error{Op: "Read", Kind: KindInvalid, Err: errors.Wrapf(err, "the body is incomplete or larger than %d bytes", maxBody)}
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
