package mangoplatform

import (
	"net/http"
	"strconv"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

func (s *Server) getKey(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := number(q.Get("After"))
	if q.Get("Key") == "" || err != nil {
		fail(w, http.StatusBadRequest, "Invalid", "Key must be set and After must be a number")
		return
	}
	var item *mangomessage.Item
	s.locked(func(t *table, _ time.Time) { item = t.get(q.Get("Key")) })
	if q.Has("After") && item.Version <= after {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	reply(w, item)
}

func (s *Server) getList(w http.ResponseWriter, r *http.Request) {
	var items *mangomessage.Items
	s.locked(func(t *table, _ time.Time) { items = t.list(r.URL.Query().Get("Prefix")) })
	reply(w, items)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, errAfter := number(q.Get("After"))
	wait, errWait := number(q.Get("WaitMs"))
	if q.Get("Key") == "" || errAfter != nil || errWait != nil {
		fail(w, http.StatusBadRequest, "Invalid", "Key must be set, After and WaitMs must be numbers")
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		var item *mangomessage.Item
		var changed chan struct{}
		down := false
		s.locked(func(t *table, _ time.Time) {
			item, changed, down = t.get(q.Get("Key")), s.changed, s.faults.Down
		})
		if down {
			fail(w, http.StatusServiceUnavailable, "Down", "service is down")
			return
		}
		if item.Version > after {
			reply(w, item)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) getHosts(w http.ResponseWriter, _ *http.Request) {
	var list *mangomessage.HostList
	s.locked(func(_ *table, now time.Time) { list = s.hosts.at(now, s.hostListDelay()) })
	reply(w, list)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	p := &mangomessage.PutRequest{}
	if !decode(w, r, p) {
		return
	}
	switch {
	case p.Key == "":
		fail(w, http.StatusBadRequest, "Invalid", "Key must be set")
		return
	case len(p.Value) > maxValue:
		fail(w, http.StatusRequestEntityTooLarge, "TooLarge", "Value is above 1 MiB")
		return
	}
	var answer *mangomessage.PutReply
	var live bool
	s.locked(func(t *table, _ time.Time) {
		answer, live = t.put(p)
		s.wake()
	})
	if !live {
		fail(w, http.StatusGone, "LeaseLost", "lease has ended")
		return
	}
	s.answerWrite(w, p.Key, answer)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	d := &mangomessage.DeleteRequest{}
	if !decode(w, r, d) {
		return
	}
	var answer *mangomessage.PutReply
	s.locked(func(t *table, _ time.Time) { answer = t.remove(d) })
	s.answerWrite(w, d.Key, answer)
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	l := &mangomessage.LeaseRequest{}
	if !decode(w, r, l) {
		return
	}
	if l.TtlMs <= 0 {
		fail(w, http.StatusBadRequest, "Invalid", "TtlMs must be above 0")
		return
	}
	answer := &mangomessage.LeaseReply{Live: true}
	s.locked(func(t *table, now time.Time) {
		answer.LeaseId = t.grant(time.Duration(l.TtlMs)*time.Millisecond, now)
	})
	s.answerWrite(w, "", answer)
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request) {
	l := &mangomessage.LeaseRequest{}
	if !decode(w, r, l) {
		return
	}
	answer := &mangomessage.LeaseReply{LeaseId: l.LeaseId}
	s.locked(func(t *table, now time.Time) { answer.Live = t.renew(l.LeaseId, now) })
	s.answerWrite(w, "", answer)
}

func (s *Server) revoke(w http.ResponseWriter, r *http.Request) {
	l := &mangomessage.LeaseRequest{}
	if !decode(w, r, l) {
		return
	}
	answer := &mangomessage.LeaseReply{LeaseId: l.LeaseId}
	s.locked(func(t *table, _ time.Time) { answer.Live = t.revoke(l.LeaseId) })
	s.answerWrite(w, "", answer)
}

// number reads a query value; an absent one is 0.
func number(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 63)
}
