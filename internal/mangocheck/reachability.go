package mangocheck

import (
	"time"
)

const (
	// answerWait is the time for which nothing may arrive from a data centre after a request to its hubs until this daemon connects
	// to replicas there. With messages that are 40 ms late the answer takes 86 ms, less than answerWait and checkTimeout together.
	answerWait = 65 * time.Millisecond
	// probeInterval is the least time between two rounds of connections to one data centre. It bounds the connections of false alarms:
	// at most two attempts to each of probedReplicas replicas in a second.
	probeInterval = time.Second
	// probedReplicas is the number of replicas that a daemon connects to, each with the two attempts of a check: two, since one may
	// be lost together with the hubs.
	probedReplicas = 2
	// connectMargin is the time that a probe has beyond the usual time of a connection to the data centre, and maxConnectTime bounds
	// that time. connectDivisor is the inverse gain with which longer connections count; a shorter one counts at once, since processor
	// time that is short or a lost packet only ever makes them longer.
	connectMargin  = checkTimeout / 2
	maxConnectTime = 200 * time.Millisecond
	connectDivisor = 8
	// minSources is the least number of hubs and replicas without an answer that make a data centre count as cut off. With fewer, the
	// loss of a single process would be enough.
	minSources = 2
	// cutHold is the time for which a data centre counts as cut off without further evidence. Each renewInterval its hubs are asked
	// for an answer, which extends the cut by cutHold from then, up to cutHoldMax from its start. So only a cut from a data centre
	// without hubs ends after cutHold. Messages to hubs cost no connections to replicas.
	cutHold       = 1500 * time.Millisecond
	cutHoldMax    = 30 * time.Second
	renewInterval = 250 * time.Millisecond
	// repeatInterval is the time from the last probe in which a cut that ended without a sign of life begins again at the next silent
	// chain without a new probe, as the result of that probe still holds.
	repeatInterval = 10 * time.Second
	// lifeInterval is the least time between two recorded signs of life of a data centre that is neither checked nor cut off. Nothing
	// then depends on the exact time of the last one.
	lifeInterval = 5 * time.Millisecond
)

// CutOff is a data centre that counts as cut off from here, with the evidence.
type CutOff struct {
	DataCentre string
	// Since is the verdict, AliveAt the last sign of life before it, zero if there was none.
	Since, AliveAt time.Time
	// Hubs and Replicas are the numbers of those that did not answer.
	Hubs, Replicas int
}

// remoteSite is what a daemon knows of its way to another data centre.
type remoteSite struct {
	// askedAt is when its hubs were asked in the present round, and hubs their number.
	askedAt time.Time
	hubs    int
	// aliveAt is the last sign of life: an event, an answer or a message from there.
	aliveAt time.Time
	// connectTime is the usual time of a connection to a replica there; 0 if none has been made.
	connectTime time.Duration
	// probeAt is when replicas are to be probed unless there is a sign of life; zero if no round waits for one. probing says that the
	// probe of a round runs, and probedAt is when the last one began.
	probeAt  time.Time
	probing  bool
	probedAt time.Time
	// cut is the present state of being cut off; nil if there is none. until is its end without further evidence, and renewAt is when
	// the hubs are to be asked again.
	cut            *CutOff
	until, renewAt time.Time
	// expired is the last cut if it ended without a sign of life, and there was none since.
	expired *CutOff
}

// Reachability decides which other data centres are cut off from this daemon. It does so in rounds. A round begins with a request to
// the hubs of a data centre, waits answerWait for a sign of life from there, and then probes replicas there by connections. The data
// centre is cut off if neither hubs nor replicas answer and nothing else arrives from there meanwhile. The local data centre never is
// cut off. A Reachability is not safe for concurrent use.
type Reachability struct {
	local string
	sites map[string]*remoteSite
}

// NewReachability returns the state of a daemon of the data centre local.
func NewReachability(local string) *Reachability {
	return &Reachability{local: local, sites: map[string]*remoteSite{}}
}

func (t *Reachability) site(dataCentre string) *remoteSite {
	s := t.sites[dataCentre]
	if s == nil {
		s = &remoteSite{}
		t.sites[dataCentre] = s
	}
	return s
}

// Asked records that replicas of a data centre are silent, and that its hubs, whose number may be 0, have been asked to check them. It
// opens a round unless there is one, or one has ended within probeInterval. If nothing was heard from there since a cut that has expired,
// that cut begins again, and Asked returns it.
func (t *Reachability) Asked(dataCentre string, hubs int, now time.Time) *CutOff {
	if dataCentre == t.local || dataCentre == "" {
		return nil
	}
	s := t.site(dataCentre)
	if s.cut != nil || s.probing || !s.probeAt.IsZero() || now.Sub(s.probedAt) < probeInterval {
		return nil
	}
	if s.expired != nil && now.Sub(s.probedAt) < repeatInterval {
		s.begin(&CutOff{DataCentre: dataCentre, Since: now, AliveAt: s.aliveAt, Hubs: hubs}, now)
		return s.cut
	}
	s.askedAt, s.hubs, s.probeAt = now, hubs, now.Add(answerWait)
	return nil
}

// Alive records a sign of life from a data centre. It returns the cut that this ends, if any.
func (t *Reachability) Alive(dataCentre string, now time.Time) *CutOff {
	if dataCentre == t.local || dataCentre == "" {
		return nil
	}
	s := t.site(dataCentre)
	s.aliveAt = now
	ended := s.cut
	s.cut, s.expired, s.probeAt = nil, nil, time.Time{}
	return ended
}

// begin puts a cut in force.
func (s *remoteSite) begin(cut *CutOff, now time.Time) {
	s.cut, s.expired = cut, nil
	s.until, s.renewAt = now.Add(cutHold), now.Add(renewInterval)
}

// EventPassed records an event from a data centre. It may have been sent before a cut, so it does not end an open round, but only delays it
// if it comes within answerWait of the request. It returns the cut that this ends, if any.
func (t *Reachability) EventPassed(dataCentre string, now time.Time) *CutOff {
	s := t.sites[dataCentre]
	if s == nil || s.probeAt.IsZero() || now.Sub(s.askedAt) >= answerWait {
		return t.Alive(dataCentre, now)
	}
	s.aliveAt, s.probeAt = now, now.Add(answerWait)
	return nil
}

// Connected records the time that a connection to a replica in a data centre took.
func (t *Reachability) Connected(dataCentre string, took time.Duration) {
	if dataCentre == t.local || dataCentre == "" {
		return
	}
	s := t.site(dataCentre)
	if took = min(took, maxConnectTime); s.connectTime == 0 || took < s.connectTime {
		s.connectTime = took
		return
	}
	s.connectTime += (took - s.connectTime) / connectDivisor
}

// ProbeTimeout returns the time that a probe of a data centre takes at most: the longest one while no connection has been made there,
// as after a start of this daemon. No stream has had an event from that data centre by then.
func (t *Reachability) ProbeTimeout(dataCentre string) time.Duration {
	connectTime := maxConnectTime
	if s := t.sites[dataCentre]; s != nil && s.connectTime > 0 {
		connectTime = s.connectTime
	}
	return max(checkTimeout, connectTime+connectMargin)
}

// NeedsSignOfLife reports whether a sign of life of a data centre is to be recorded.
func (t *Reachability) NeedsSignOfLife(dataCentre string, now time.Time) bool {
	s := t.sites[dataCentre]
	return dataCentre != t.local && dataCentre != "" &&
		(s == nil || s.cut != nil || s.expired != nil || s.probing || !s.probeAt.IsZero() || now.Sub(s.aliveAt) >= lifeInterval)
}

// Probes returns the data centres whose replicas are to be probed now.
func (t *Reachability) Probes(now time.Time) []string {
	var due []string
	for name, s := range t.sites {
		if !s.probeAt.IsZero() && !s.probeAt.After(now) {
			s.probeAt, s.probing, s.probedAt = time.Time{}, true, now
			due = append(due, name)
		}
	}
	return due
}

// Probed records the results of a probe. It returns the cut that begins, if any. A single Unknown result, which says that this daemon was
// short of processor time, is no evidence for one.
func (t *Reachability) Probed(dataCentre string, results []Result, now time.Time) *CutOff {
	s := t.site(dataCentre)
	s.probing = false
	for _, r := range results {
		if r != Unreachable {
			if r != Unknown {
				s.aliveAt = now
			}
			return nil
		}
	}
	if !s.aliveAt.Before(s.probedAt) || len(results) == 0 || len(results)+s.hubs < minSources {
		return nil
	}
	s.begin(&CutOff{DataCentre: dataCentre, Since: now, AliveAt: s.aliveAt, Hubs: s.hubs, Replicas: len(results)}, now)
	return s.cut
}

// Renewals returns the cut data centres whose hubs are to be asked for a sign of life now.
func (t *Reachability) Renewals(now time.Time) []string {
	var due []string
	for name, s := range t.sites {
		if s.cut != nil && !s.renewAt.After(now) {
			s.renewAt = now.Add(renewInterval)
			due = append(due, name)
		}
	}
	return due
}

// Renewed records that the hubs of a cut data centre have been asked again. Until one answers it stays cut off, up to cutHoldMax.
func (t *Reachability) Renewed(dataCentre string, hubs int, now time.Time) {
	if s := t.sites[dataCentre]; s != nil && s.cut != nil && hubs > 0 {
		s.until = now.Add(cutHold)
		if last := s.cut.Since.Add(cutHoldMax); last.Before(s.until) {
			s.until = last
		}
	}
}

// Expired returns the cuts that end now without a sign of life.
func (t *Reachability) Expired(now time.Time) []*CutOff {
	var ended []*CutOff
	for _, s := range t.sites {
		if s.cut != nil && !s.until.After(now) {
			ended, s.expired, s.cut = append(ended, s.cut), s.cut, nil
		}
	}
	return ended
}

// IsCutOff reports whether a data centre counts as cut off.
func (t *Reachability) IsCutOff(dataCentre string, now time.Time) bool {
	s := t.sites[dataCentre]
	return s != nil && s.cut != nil && s.until.After(now)
}

// Next returns when Probes, Renewals or Expired may next return something; ok is false if nothing is open.
func (t *Reachability) Next() (at time.Time, ok bool) {
	consider := func(o time.Time) {
		if !o.IsZero() && (!ok || o.Before(at)) {
			at, ok = o, true
		}
	}
	for _, s := range t.sites {
		consider(s.probeAt)
		if s.cut != nil {
			consider(s.renewAt)
			consider(s.until)
		}
	}
	return at, ok
}
