package mangostorefake

import (
	"maps"

	"mangopath.org/mangopath/internal/mangostore"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// SetDown makes all calls fail without effect while down is true.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = down
}

// LoseReplies drops the replies of the next n successful writes after their effect.
func (s *Store) LoseReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseReplies = n
}

// LoseRequests drops the next n writes before their effect, with the same error as a lost reply.
func (s *Store) LoseRequests(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseRequests = n
}

// SetBeforeCall sets a function that runs before each call with its operation and key, nil for none. It may call the store;
// calls made while it runs do not run it again.
func (s *Store) SetBeforeCall(f func(op, key string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.before = f
}

// Snapshot returns the present state.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{items: maps.Clone(s.items)}
}

// Restore goes back to a snapshot; leases and the version counter stay.
func (s *Store) Restore(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items = maps.Clone(snapshot.items)
	s.notify()
}

// SetHosts replaces the host list.
func (s *Store) SetHosts(list *mangomessage.HostList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = list
}

// CallCount returns the number of calls of an operation, refused ones included.
func (s *Store) CallCount(op string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[op]
}

// begin runs the function of Before, then locks the store unless it is down.
func (s *Store) begin(op, key string) (func(), error) {
	s.mu.Lock()
	if before := s.faults.before; before != nil && !s.faults.running {
		s.faults.running = true
		s.mu.Unlock()
		before(op, key)
		s.mu.Lock()
		s.faults.running = false
	}
	s.calls[op]++
	if s.faults.down {
		s.mu.Unlock()
		return nil, fail(op, mangostore.KindUnavailable, "service is down")
	}
	return s.mu.Unlock, nil
}

func (s *Store) beginWrite(op, key string) (func(), error) {
	unlock, err := s.begin(op, key)
	if err != nil {
		return nil, err
	}
	if s.faults.loseRequests > 0 {
		s.faults.loseRequests--
		unlock()
		return nil, fail(op, mangostore.KindUnknown, "request was lost")
	}
	return unlock, nil
}

// reply is called after the effect of a write, with the lock held.
func (s *Store) reply(op string) error {
	if s.faults.loseReplies == 0 {
		return nil
	}
	s.faults.loseReplies--
	return fail(op, mangostore.KindUnknown, "reply was lost")
}
