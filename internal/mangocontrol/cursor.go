package mangocontrol

import "sync"

// suspicionCursors hold the position in the log of suspicions up to which each peer has been informed.
type suspicionCursors struct {
	mu        sync.Mutex
	positions map[string]uint64
}

func (c *suspicionCursors) get(peer string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.positions[peer]
}

func (c *suspicionCursors) set(peer string, position uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.positions == nil {
		c.positions = map[string]uint64{}
	}
	c.positions[peer] = position
}
