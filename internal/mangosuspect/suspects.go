package mangosuspect

import (
	"crypto/rand"
	"strings"
	"sync"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// sameCrash is the time within which daemons notice the same crash of a host. A host that crashes twice within it
	// counts once; engines take longer to load their weights.
	sameCrash = 3 * time.Second
	// maxNews bounds the log for peers; a peer that is further behind gets the crashes that are still kept in it.
	maxNews = 4096
)

// CrashTracker is what one daemon knows about crashes and the calls aboard. It is safe for concurrent use.
type CrashTracker struct {
	mu     sync.Mutex
	expiry time.Duration
	// together is the time within which crashes of several hosts count as one.
	together time.Duration
	settle   time.Duration
	// crashes are in order of arrival; ids maps all ids of a crash to it.
	crashes []*crash
	ids     map[string]*crash
	// aboard has the crashes that count against a fingerprint.
	aboard  map[string][]*crash
	busy    map[string]string
	self    string
	daemons []string
	log     []item
	next    uint64
}

type crash struct {
	host   string
	at     time.Time
	ids    []string
	aboard map[string]bool
}

// New returns the state of a daemon of a name.
func New(self string, opts ...Option) *CrashTracker {
	s := &CrashTracker{
		expiry: 10 * time.Minute, settle: 2 * time.Second, self: self,
		ids: map[string]*crash{}, aboard: map[string][]*crash{}, busy: map[string]string{},
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// NewCrashID returns an id for a crash of a host that this daemon noticed.
func NewCrashID(host string) string { return host + "#" + rand.Text()[:10] }

// Report notes a crash of a host with this daemon's calls aboard.
func (s *CrashTracker) Report(crashID string, fingerprints []string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	alone := s.suspectsAmong(fingerprints) <= 1
	for _, f := range fingerprints {
		s.note(crashID, f, now, alone, false)
	}
}

// Complete clears a fingerprint whose call ran to its end.
func (s *CrashTracker) Complete(fingerprint string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.aboard[fingerprint]) == 0 {
		return
	}
	s.clear(fingerprint, now, false)
}

// Merge adds what a peer sent. A pair of crash and fingerprint counts once, however often and from whom it comes.
func (s *CrashTracker) Merge(suspicions []*mangomessage.Suspicion, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	for _, m := range suspicions {
		at := now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
		switch {
		case m.GetFingerprint() == "" || now.Sub(at) > s.expiry:
		case m.GetCleared():
			// The delays of both messages differ; a call that crashes upstreams does not complete shortly before.
			s.clear(m.GetFingerprint(), at.Add(sameCrash), true)
		case m.GetCrashId() != "":
			s.note(m.GetCrashId(), m.GetFingerprint(), at, m.GetAlone(), true)
		}
	}
}

// note puts a fingerprint aboard a crash; learned says that a peer told it.
func (s *CrashTracker) note(id, fingerprint string, at time.Time, alone, learned bool) {
	c := s.crash(id, at)
	if c.aboard[fingerprint] {
		return
	}
	if _, cleared := c.aboard[fingerprint]; cleared {
		return
	}
	c.aboard[fingerprint] = true
	s.aboard[fingerprint] = append(s.aboard[fingerprint], c)
	s.tell(item{fingerprint: fingerprint, crash: id, at: at, alone: alone, learned: learned})
}

// crash returns the crash of an id, which may be one of the same host that another daemon noticed.
func (s *CrashTracker) crash(id string, at time.Time) *crash {
	if c := s.ids[id]; c != nil {
		return c
	}
	host, _, _ := strings.Cut(id, "#")
	for _, c := range s.crashes {
		if c.host == host && at.Sub(c.at).Abs() <= sameCrash {
			s.ids[id] = c
			c.ids = append(c.ids, id)
			return c
		}
	}
	c := &crash{host: host, at: at, ids: []string{id}, aboard: map[string]bool{}}
	s.ids[id] = c
	s.crashes = append(s.crashes, c)
	return c
}

// clear takes a fingerprint off the crashes up to a time; false in aboard keeps late reports from undoing it.
func (s *CrashTracker) clear(fingerprint string, at time.Time, learned bool) {
	var left []*crash
	for _, c := range s.aboard[fingerprint] {
		if c.at.After(at) {
			left = append(left, c)
			continue
		}
		c.aboard[fingerprint] = false
	}
	if len(left) == len(s.aboard[fingerprint]) {
		return
	}
	s.keep(fingerprint, left)
	s.tell(item{fingerprint: fingerprint, at: at, cleared: true, learned: learned})
}

func (s *CrashTracker) keep(fingerprint string, left []*crash) {
	if len(left) == 0 {
		delete(s.aboard, fingerprint)
		return
	}
	s.aboard[fingerprint] = left
}

// expire forgets crashes that no longer count.
func (s *CrashTracker) expire(now time.Time) {
	kept := s.crashes[:0]
	for _, c := range s.crashes {
		if now.Sub(c.at) <= s.expiry {
			kept = append(kept, c)
			continue
		}
		s.forget(c)
	}
	clear(s.crashes[len(kept):])
	s.crashes = kept
}

func (s *CrashTracker) forget(old *crash) {
	for _, id := range old.ids {
		delete(s.ids, id)
	}
	for f := range old.aboard {
		var left []*crash
		for _, c := range s.aboard[f] {
			if c != old {
				left = append(left, c)
			}
		}
		s.keep(f, left)
	}
}

func (s *CrashTracker) suspectsAmong(fingerprints []string) int {
	n := 0
	for _, f := range fingerprints {
		if len(s.aboard[f]) > 0 {
			n++
		}
	}
	return n
}
