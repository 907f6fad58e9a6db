package mangoplatform

import (
	"net/http"
	"strconv"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// getKey returns the item of a key. With After it returns no content if the version is not above After.
func (s *Server) getKey(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := parseNumber(q.Get("After"))
	if q.Get("Key") == "" || err != nil {
		writeError(w, http.StatusBadRequest, "Invalid", "Key must be set and After must be a number")
		return
	}
	var item *mangomessage.Item
	s.withStore(func(k *keyStore, _ time.Time) { item = k.get(q.Get("Key")) })
	if q.Has("After") && item.Version <= after {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	writeReply(w, item)
}

func (s *Server) listKeys(w http.ResponseWriter, r *http.Request) {
	var items *mangomessage.Items
	s.withStore(func(k *keyStore, _ time.Time) { items = k.list(r.URL.Query().Get("Prefix")) })
	writeReply(w, items)
}

// watchKey waits up to WaitMs for an item with a version above After, and returns no content if there is none. It fails
// at once when the service goes down.
func (s *Server) watchKey(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, errAfter := parseNumber(q.Get("After"))
	wait, errWait := parseNumber(q.Get("WaitMs"))
	if q.Get("Key") == "" || errAfter != nil || errWait != nil {
		writeError(w, http.StatusBadRequest, "Invalid", "Key must be set; After and WaitMs must be numbers")
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		var item *mangomessage.Item
		var changed chan struct{}
		down := false
		s.withStore(func(k *keyStore, _ time.Time) {
			item, changed, down = k.get(q.Get("Key")), s.storeChanged, s.faults.Down
		})
		if down {
			writeError(w, http.StatusServiceUnavailable, "Down", "service is down")
			return
		}
		if item.Version > after {
			writeReply(w, item)
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
	s.withStore(func(_ *keyStore, now time.Time) { list = s.hostList.visibleAt(now, s.currentHostListDelay()) })
	writeReply(w, list)
}

func (s *Server) putKey(w http.ResponseWriter, r *http.Request) {
	p := &mangomessage.PutRequest{}
	if !decodeBody(w, r, p) {
		return
	}
	switch {
	case p.Key == "":
		writeError(w, http.StatusBadRequest, "Invalid", "Key must be set")
		return
	case len(p.Value) > maxValueBytes:
		writeError(w, http.StatusRequestEntityTooLarge, "TooLarge", "Value is larger than 1 MiB")
		return
	}
	var reply *mangomessage.PutReply
	var live bool
	s.withStore(func(k *keyStore, _ time.Time) {
		reply, live = k.put(p)
		s.wakeWatches()
	})
	if !live {
		writeError(w, http.StatusGone, "LeaseLost", "the lease of LeaseId has expired or was revoked")
		return
	}
	s.replyToWrite(w, p.Key, reply)
}

func (s *Server) deleteKey(w http.ResponseWriter, r *http.Request) {
	d := &mangomessage.DeleteRequest{}
	if !decodeBody(w, r, d) {
		return
	}
	var reply *mangomessage.PutReply
	s.withStore(func(k *keyStore, _ time.Time) { reply = k.remove(d) })
	s.replyToWrite(w, d.Key, reply)
}

func (s *Server) grantLease(w http.ResponseWriter, r *http.Request) {
	l := &mangomessage.LeaseRequest{}
	if !decodeBody(w, r, l) {
		return
	}
	if l.TtlMs <= 0 {
		writeError(w, http.StatusBadRequest, "Invalid", "TtlMs must be above 0")
		return
	}
	reply := &mangomessage.LeaseReply{Live: true}
	s.withStore(func(k *keyStore, now time.Time) {
		reply.LeaseId = k.grantLease(time.Duration(l.TtlMs)*time.Millisecond, now)
	})
	s.replyToWrite(w, "", reply)
}

func (s *Server) renewLease(w http.ResponseWriter, r *http.Request) {
	l := &mangomessage.LeaseRequest{}
	if !decodeBody(w, r, l) {
		return
	}
	reply := &mangomessage.LeaseReply{LeaseId: l.LeaseId}
	s.withStore(func(k *keyStore, now time.Time) { reply.Live = k.renewLease(l.LeaseId, now) })
	s.replyToWrite(w, "", reply)
}

func (s *Server) revokeLease(w http.ResponseWriter, r *http.Request) {
	l := &mangomessage.LeaseRequest{}
	if !decodeBody(w, r, l) {
		return
	}
	reply := &mangomessage.LeaseReply{LeaseId: l.LeaseId}
	s.withStore(func(k *keyStore, _ time.Time) { reply.Live = k.revokeLease(l.LeaseId) })
	s.replyToWrite(w, "", reply)
}

// parseNumber parses a number in a query; an empty text is 0.
func parseNumber(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 63)
}
