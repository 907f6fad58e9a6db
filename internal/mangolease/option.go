package mangolease

import (
	"time"
)

// Option configures a LeasedKey.
type Option func(*LeasedKey)

// WithLifetime sets the time to live of the lease; the default is 2 s.
func WithLifetime(d time.Duration) Option { return func(k *LeasedKey) { k.lifetime = d } }

// WithTimeout bounds each call to the store; the default is 500 ms.
func WithTimeout(d time.Duration) Option { return func(k *LeasedKey) { k.timeout = d } }

// WithObserver sets the function that is called when the key is won or lost.
func WithObserver(o Observer) Option { return func(k *LeasedKey) { k.observer = o } }

// WithStoreUnreachable lets the holder keep the key for a while after its lease expired, as long as f reports that neither
// this daemon nor any daemon that it hears from reaches the store: then none of them can have taken the key. If a daemon
// on the other side of a network partition takes it, replicas refuse the lower fencing number.
func WithStoreUnreachable(f func() bool) Option { return func(k *LeasedKey) { k.storeUnreachable = f } }

// WithEligible sets the function that reports whether this daemon may take the key. A daemon that holds it keeps it.
func WithEligible(f func() bool) Option { return func(k *LeasedKey) { k.eligible = f } }

// WithAcquireDelay sets the function that returns the time for which a free key is left to others.
func WithAcquireDelay(f func() time.Duration) Option {
	return func(k *LeasedKey) { k.acquireDelay = f }
}

// WithRenewShare sets the share of the lifetime, from 0 to 1, that is left when the lease is renewed; the default is 3/4.
func WithRenewShare(share float64) Option { return func(k *LeasedKey) { k.renewShare = share } }

// WithAcquireTurn sets a channel with room for one element, which is in it from the last check whether this daemon is eligible until the
// key is acquired. Keys of which a daemon may hold only one share it.
func WithAcquireTurn(turn chan struct{}) Option { return func(k *LeasedKey) { k.acquiring = turn } }
