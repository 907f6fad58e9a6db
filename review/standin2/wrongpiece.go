package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	// spoiledShare is the share of the answers that a spoiling replica spoils.
	spoiledShare = 0.02
	// streamClients is the number of clients, and streamsPerClient that of the streams that each asks for, one after the other.
	streamClients    = 10
	streamsPerClient = 120
	// streamWait is how long a client waits for a whole stream.
	streamWait = 8 * time.Second
)

// playWrongPieceNumber has half of the replicas spoil one in fifty of their streams: the number of one event is wrong. A stream that the
// client takes for complete must have all its events.
func playWrongPieceNumber(d *deployment, trouble bool) (bool, error) {
	if err := d.addReplicas(4); err != nil {
		return false, err
	}
	if trouble {
		for _, r := range d.replicas[:2] {
			r.spoil = newSpoiler(d.record, r.id, r.streamLength)
		}
	}
	if err := d.addDaemons(2); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var group sync.WaitGroup
	counts := map[string]int{}
	for client := range streamClients {
		group.Go(func() {
			for n := range streamsPerClient {
				result := askStream(d, fmt.Sprintf("s%02d-%03d", client, n), d.daemons[client%len(d.daemons)].front)
				mu.Lock()
				counts[result]++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	d.record.note("streams: %v", counts)
	fmt.Println("streams:", counts)
	return counts["complete without all events"] > 0, nil
}

// askStream asks for a stream and says what came.
func askStream(d *deployment, id, front string) string {
	c, err := dial(front)
	if err != nil {
		return "no connection"
	}
	defer c.close()
	d.record.note("sent     %s", id)
	a := c.send("POST", "/stream/x", id, "prompt of "+id, streamWait)
	result := "whole"
	switch {
	case !a.complete:
		result = "broken off"
	case a.status != 200:
		result = "refused or failed"
	case !wholeStream(id, a.body, d.replicas[0].streamLength):
		result = "complete without all events"
		d.record.note("wrong    %s: the client got %q", id, a.body)
	}
	d.record.note("answered %s: %s: %v, %d events", id, result, a, strings.Count(a.body, "id: "))
	return result
}

// newSpoiler returns a function that gives one event of spoiledShare of the streams a wrong number with as many digits.
func newSpoiler(rec *record, replica string, length int) func(request string, event int, text string) string {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(1, uint64(len(replica))))
	spoiled := map[string]int{}
	return func(request string, event int, text string) string {
		mu.Lock()
		defer mu.Unlock()
		if _, known := spoiled[request]; !known {
			spoiled[request] = 0
			if random.Float64() < spoiledShare {
				spoiled[request] = event + random.IntN(length-event+1)
			}
		}
		if spoiled[request] != event {
			return text
		}
		digits := len(fmt.Sprint(event))
		wrong := event
		for wrong == event {
			wrong = []int{1 + random.IntN(9), 10 + random.IntN(90)}[digits-1]
		}
		rec.note("spoiled  %s by %s: event %d is sent with number %d", request, replica, event, wrong)
		return strings.Replace(text, fmt.Sprintf("id: %d\n", event), fmt.Sprintf("id: %d\n", wrong), 1)
	}
}
