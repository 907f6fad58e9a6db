package mangostorefake

import (
	"maps"

	"mangopath.org/mangopath/internal/mangostore"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// SetDown makes all calls fail without effect, with KindUnavailable, while down is true.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = down
}

// LoseReplies loses the replies to the next n successful writes: they take effect but return KindUnknown.
func (s *Store) LoseReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseReplies = n
}

// LoseRequests loses the requests of the next n writes: they have no effect and return KindUnknown, as a lost reply does.
func (s *Store) LoseRequests(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseRequests = n
}

// SetBeforeCall sets a function that runs before each call, with the operation and the key of the call; nil removes it. The
// function may call the store; it does not run again for calls made while it runs.
func (s *Store) SetBeforeCall(f func(op, key string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.beforeCall = f
}

// Snapshot returns a copy of all items.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{items: maps.Clone(s.items)}
}

// Restore replaces all items by those of a snapshot, as when the service is restored from a backup. Leases and the version
// counter are not restored.
func (s *Store) Restore(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items = maps.Clone(snapshot.items)
	s.wakeWatches()
}

// SetHosts replaces the host list that Hosts returns.
func (s *Store) SetHosts(list *mangomessage.HostList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = list
}

// CallCount returns the number of calls of an operation, including failed ones. Each wake-up of a Watch counts as a call.
func (s *Store) CallCount(op string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[op]
}

// startCall runs the function set by SetBeforeCall, counts the call, and returns with the store locked unless it is down.
// The caller must call the returned function to unlock the store.
func (s *Store) startCall(op, key string) (func(), error) {
	s.mu.Lock()
	if before := s.faults.beforeCall; before != nil && !s.faults.inBeforeCall {
		s.faults.inBeforeCall = true
		s.mu.Unlock()
		before(op, key)
		s.mu.Lock()
		s.faults.inBeforeCall = false
	}
	s.calls[op]++
	if s.faults.down {
		s.mu.Unlock()
		return nil, newError(op, mangostore.KindUnavailable, "the store is set to be down")
	}
	return s.mu.Unlock, nil
}

// startWrite is startCall for a write; it also fails if the request is to be lost.
func (s *Store) startWrite(op, key string) (func(), error) {
	unlock, err := s.startCall(op, key)
	if err != nil {
		return nil, err
	}
	if s.faults.loseRequests > 0 {
		s.faults.loseRequests--
		unlock()
		return nil, newError(op, mangostore.KindUnknown, "the request was lost before it took effect")
	}
	return unlock, nil
}

// takeLostReply returns the error of a write whose reply is to be lost, or nil. It is called with the lock held, after the
// write has taken effect.
func (s *Store) takeLostReply(op string) error {
	if s.faults.loseReplies == 0 {
		return nil
	}
	s.faults.loseReplies--
	return newError(op, mangostore.KindUnknown, "the reply was lost after the write took effect")
}
