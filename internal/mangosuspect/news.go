package mangosuspect

import (
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// item is a line of the log for peers.
type item struct {
	fingerprint string
	crash       string
	at          time.Time
	alone       bool
	cleared     bool
	// learned says that a peer told it.
	learned bool
}

func (s *CrashTracker) tell(i item) {
	s.log = append(s.log, i)
	s.next++
	if len(s.log) > maxNews {
		s.log = append([]item(nil), s.log[len(s.log)-maxNews/2:]...)
	}
}

// News returns what was learned after a position of the log and the position to go on from; the exchanger keeps one
// position for each peer, starting at 0, so that nothing is sent twice.
func (s *CrashTracker) News(after uint64, now time.Time) ([]*mangomessage.Suspicion, uint64) {
	return s.news(after, now, func(item) bool { return true })
}

// forwards is the number of peers that a daemon tells what another peer told it, where all daemons tell each other what they
// noticed themselves. That reaches a daemon that is cut off from the first one: with n daemons, the share of news that misses
// it is about exp(-forwards). To tell all would take the square of the number of daemons in messages.
const forwards = 4

// NewsFor is News for one of several peers that all daemons tell directly.
func (s *CrashTracker) NewsFor(peer string, peers int, after uint64, now time.Time) ([]*mangomessage.Suspicion, uint64) {
	return s.news(after, now, func(i item) bool {
		return !i.learned || rank(s.self+"\x00"+i.crash+i.fingerprint, peer)%uint64(max(peers, 1)) < forwards
	})
}

func (s *CrashTracker) news(after uint64, now time.Time, wanted func(i item) bool) ([]*mangomessage.Suspicion, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	skip := len(s.log)
	if behind := s.next - min(after, s.next); behind < uint64(len(s.log)) {
		skip -= int(behind)
	} else {
		skip = 0
	}
	var news []*mangomessage.Suspicion
	for _, i := range s.log[skip:] {
		age := now.Sub(i.at)
		if age > s.expiry || !wanted(i) {
			continue
		}
		news = append(news, &mangomessage.Suspicion{
			Fingerprint: i.fingerprint, CrashId: i.crash, Alone: i.alone, Cleared: i.cleared,
			AgeMs: uint32(max(age, 0) / time.Millisecond),
		})
	}
	return news, s.next
}

// Counts returns the numbers of suspect and condemned fingerprints.
func (s *CrashTracker) Counts(now time.Time) (suspects, condemned int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f := range s.aboard {
		switch verdict, _ := s.judge(f, now); verdict {
		case Suspect:
			suspects++
		case Blocked:
			condemned++
		case Clear:
		}
	}
	return suspects, condemned
}
