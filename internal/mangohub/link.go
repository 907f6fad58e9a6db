package mangohub

import (
	"time"
)

// Link is the state of the stream from a hub.
type Link struct {
	// Hub is the name of the hub; empty if there is no stream.
	Hub string
	// Since is when the stream began, or when the last one ended.
	Since time.Time
	// UpdatedAt is the time of the last update.
	UpdatedAt time.Time
	// ConfirmedAt is the latest time at which the hub had all changes of the store, and zero while it says that it has lost the
	// store. UnconfirmedAt is the time of the first update since then that was not confirmed; zero if the last one was.
	ConfirmedAt, UnconfirmedAt time.Time
	// StoreOnly says that only the changes of the store come on the stream.
	StoreOnly bool
}

// Healthy reports whether there is a stream that is not silent.
func (l Link) Healthy(now time.Time) bool {
	return l.Hub != "" && now.Sub(l.UpdatedAt) <= silenceLimit
}

// Confirmed reports whether there is a stream from a hub that is in contact with the store.
func (l Link) Confirmed(now time.Time) bool {
	return l.Healthy(now) && now.Sub(l.ConfirmedAt) <= confirmationLimit
}

// Link implements Upstream.
func (f *Follower) Link() Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.link
}
