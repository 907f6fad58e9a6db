package mangosuspect

import (
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// logEntry is a line of the log for peers.
type logEntry struct {
	fingerprint string
	crashID     string
	at          time.Time
	onlySuspect bool
	cleared     bool
	// fromPeer says that a peer told it.
	fromPeer bool
}

func (s *CrashTracker) appendLog(i logEntry) {
	s.log = append(s.log, i)
	s.nextPosition++
	if len(s.log) > maxLogEntries {
		s.log = append([]logEntry(nil), s.log[len(s.log)-maxLogEntries/2:]...)
	}
}

// News returns what was learned after a position of the log and the position to go on from; the exchanger keeps one
// position for each peer, starting at 0, so that nothing is sent twice.
func (s *CrashTracker) News(after uint64, now time.Time) ([]*mangomessage.Suspicion, uint64) {
	return s.updatesMatching(after, now, func(logEntry) bool { return true })
}

// forwardFanout is the number of peers that a daemon tells what another peer told it, where all daemons tell each other what they
// noticed themselves. That reaches a daemon that is cut off from the first one: with n daemons, the share of news that misses
// it is about exp(-forwardFanout). To tell all would take the square of the number of daemons in messages.
const forwardFanout = 4

// NewsFor is News for one of several peers that all daemons tell directly.
func (s *CrashTracker) NewsFor(peer string, peers int, after uint64, now time.Time) ([]*mangomessage.Suspicion, uint64) {
	return s.updatesMatching(after, now, func(i logEntry) bool {
		return !i.fromPeer || rendezvousWeight(s.self+"\x00"+i.crashID+i.fingerprint, peer)%uint64(max(peers, 1)) < forwardFanout
	})
}

func (s *CrashTracker) updatesMatching(after uint64, now time.Time, wanted func(i logEntry) bool) ([]*mangomessage.Suspicion, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	skip := len(s.log)
	if behind := s.nextPosition - min(after, s.nextPosition); behind < uint64(len(s.log)) {
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
			Fingerprint: i.fingerprint, CrashId: i.crashID, Alone: i.onlySuspect, Cleared: i.cleared,
			AgeMs: uint32(max(age, 0) / time.Millisecond),
		})
	}
	return news, s.nextPosition
}

// Counts returns the numbers of suspect and condemned fingerprints.
func (s *CrashTracker) Counts(now time.Time) (suspects, condemned int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f := range s.crashesByFingerprint {
		switch verdict, _ := s.evaluate(f, now); verdict {
		case Suspect:
			suspects++
		case Blocked:
			condemned++
		case Clear:
		}
	}
	return suspects, condemned
}
