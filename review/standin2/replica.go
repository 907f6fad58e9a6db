package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replica is a stand-in of a replica of a plain service. It serves one request at a time on a connection.
type replica struct {
	id, address, dataCentre string
	born                    int64
	store                   *store
	record                  *record
	listener                net.Listener
	// streamLength is the number of events of a stream, and eventPause the pause before each.
	streamLength int
	eventPause   time.Duration
	// work is the time that a request other than a stream runs.
	work time.Duration
	// largeAnswers makes answers largeAnswer bytes long, with a pause in their middle.
	largeAnswers bool
	// spoil may change an event before it is sent, and fails says whether the replica fails a request that it has run; nil if the replica
	// is sound.
	spoil func(request string, event int, text string) string
	fails func(request string) bool
	// crashes is called when a request begins to run, and says whether that crashes the replica; nil if none does.
	crashes func(request *http.Request) bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// startReplica starts a replica behind a gate and announces it.
func startReplica(g *gate, s *store, rec *record, id, dataCentre string) (*replica, error) {
	r, err := newReplica(g, s, rec, id, dataCentre)
	if err != nil {
		return nil, err
	}
	r.open()
	return r, nil
}

// newReplica returns a replica behind a gate that accepts no connections yet.
func newReplica(g *gate, s *store, rec *record, id, dataCentre string) (*replica, error) {
	listener, err := g.listen()
	if err != nil {
		return nil, err
	}
	return &replica{
		id: id, address: listener.Addr().String(), dataCentre: dataCentre, born: time.Now().UnixMilli(), store: s, record: rec, listener: listener,
		streamLength: 20, eventPause: 5 * time.Millisecond, work: 5 * time.Millisecond, conns: map[net.Conn]bool{},
	}, nil
}

// open accepts connections and announces the replica.
func (r *replica) open() {
	go r.accept()
	r.announce()
}

// crash ends the replica as the end of its process would: its port and all its connections are closed.
func (r *replica) crash() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// track keeps a connection for as long as it is served.
func (r *replica) track(conn net.Conn) (untrack func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[conn] = true
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, conn)
	}
}

// announce writes the entry of the replica. Heartbeats after it change nothing but a count, which is no change of the entry.
func (r *replica) announce() {
	entry, _ := json.Marshal(map[string]any{
		"service": "plain", "address": r.address, "zone": r.dataCentre, "version": 1, "slots": 64, "state": "ready", "warmupLeftMs": 0,
		"sequence": 1, "born": r.born,
	})
	r.store.put(names.ReplicaPrefix+r.id, entry)
}

// leave removes the entry of the replica, which never reports that it is draining, and returns the time of that.
func (r *replica) leave() time.Time {
	r.store.remove(names.ReplicaPrefix + r.id)
	return time.Now()
}

// end ends the replica.
func (r *replica) end() { _ = r.listener.Close() }

func (r *replica) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

// serve serves the requests of a connection.
func (r *replica) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	defer r.track(conn)()
	reader, writer := bufio.NewReader(conn), bufio.NewWriter(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if !r.answer(writer, request, body) || writer.Flush() != nil || request.Close {
			return
		}
	}
}

// answer answers a request, and reports whether the connection may go on.
func (r *replica) answer(w *bufio.Writer, request *http.Request, body []byte) bool {
	id := request.Header.Get(names.Headers.ID)
	if expected := request.Header.Get(names.Headers.ExpectedReplica); expected != "" && expected != r.id {
		writeHead(w, http.StatusMisdirectedRequest, id, "0", names.Headers.NotRun+": 1")
		return true
	}
	if request.URL.Path == "/health" {
		writeHead(w, http.StatusOK, "", "0", names.Headers.Replica+": "+r.id)
		return true
	}
	r.record.ran(run{Request: id, Replica: r.id, Method: request.Method, Target: request.RequestURI, Body: len(body), At: time.Now()})
	if r.crashes != nil && r.crashes(request) {
		return false
	}
	if strings.HasPrefix(request.URL.Path, "/stream/") {
		return r.stream(w, request, id)
	}
	if r.largeAnswers {
		writeHead(w, http.StatusOK, id, strconv.Itoa(largeAnswer), names.Headers.Seal+": seal-"+r.id)
		_, _ = w.WriteString(strings.Repeat("x", largePart))
		_ = w.Flush()
		time.Sleep(largePause)
		_, _ = w.WriteString(strings.Repeat("y", largeAnswer-largePart))
		return true
	}
	time.Sleep(r.work)
	if r.fails != nil && r.fails(id) {
		writeHead(w, http.StatusServiceUnavailable, id, "0", names.Headers.Seal+": seal-"+r.id)
		return true
	}
	text := answerOf(id)
	writeHead(w, http.StatusOK, id, strconv.Itoa(len(text)), names.Headers.Seal+": seal-"+r.id)
	_, _ = w.WriteString(text)
	return true
}

// stream sends the events of a stream that the caller does not have.
func (r *replica) stream(w *bufio.Writer, request *http.Request, id string) bool {
	// A request without the header begins with the first event.
	last, _ := strconv.Atoi(request.Header.Get(names.Headers.LastEventID))
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		names.Headers.ID, id, names.Headers.Seal, r.id)
	if w.Flush() != nil {
		return false
	}
	for n := last + 1; n <= r.streamLength; n++ {
		time.Sleep(r.eventPause)
		text := eventOf(id, n)
		if r.spoil != nil {
			text = r.spoil(id, n, text)
		}
		_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text)
		if w.Flush() != nil {
			return false
		}
	}
	_, _ = w.WriteString("0\r\n\r\n")
	return true
}

// writeHead writes the head of an answer with a length.
func writeHead(w *bufio.Writer, status int, id, length string, fields ...string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d %s\r\nContent-Length: %s\r\n", status, http.StatusText(status), length)
	if id != "" {
		_, _ = fmt.Fprintf(w, "%s: %s\r\n", names.Headers.ID, id)
	}
	for _, f := range fields {
		_, _ = w.WriteString(f + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
}

// eventOf returns an event of a sound stream.
func eventOf(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n) }

// answerOf returns the body of the sound answer to a request.
func answerOf(id string) string { return strings.Repeat("answer to "+id+"\n", 20) }
