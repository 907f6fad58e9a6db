package mangohub

import (
	"time"

	"mangopath.org/mangopath/internal/mangostate"
)

const (
	// sameOutage is the difference up to which two times at which the store was away are taken for the same.
	sameOutage = time.Second
	// outageResolution is the difference below which a hub's time of an outage is not taken: it is rounded to milliseconds on each way, and
	// hubs that follow each other would move it on without end.
	outageResolution = 20 * time.Millisecond
	// ownFailureLifetime is the time for which a failed own call tells of the store while this daemon does not read it.
	ownFailureLifetime = 2 * time.Second
	// ownPathTime is the time after the last successful call for which a daemon that does not read the store counts as reaching it itself.
	ownPathTime = 100 * time.Millisecond
)

// contact is what is known of the contact to the store on one way.
type contact int

const (
	contactUnknown contact = iota
	contactMade
	contactFailed
)

func contactOf(reached bool) contact {
	if reached {
		return contactMade
	}
	return contactFailed
}

// Path returns the daemons through which the contact to the store goes; empty if this daemon reaches it itself. A daemon that has stopped
// reading the store has its contact through its hub, although its last call succeeded: hubs that have all stopped, and follow each other in a
// ring, would otherwise take each other's word until it is too old.
func (m *Mirror) Path() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ownContact() == contactMade && (m.reading || m.hub != contactMade || m.now().Sub(m.ownAt) < ownPathTime) {
		return nil
	}
	return m.hubPath
}

// SetReading records whether this daemon reads the store itself. While it does, a failure of its last call stands until the next
// one; otherwise it is soon out of date.
func (m *Mirror) SetReading(reading bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// A failure that is out of date does not count again because the daemon begins to read.
	m.own = m.ownContact()
	m.reading = reading
}

// SetOwnContact records whether a call of this daemon, which began at a time, reached the store. If it did not, and the hub does not
// reach it either, the store was away then; it may have been back any time after that.
func (m *Mirror) SetOwnContact(reached bool, begun time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.own, m.ownAt = contactOf(reached), m.now()
	m.updateContact()
	if !reached && m.lost && begun.After(m.outage.At) {
		m.outage = mangostate.Outage{At: begun}
	}
}

// ownContact returns what the last own call says of the store, or contactUnknown after a failure that is out of date. A success
// stands until a call fails: a watch may wait for long, and hubs that read the store must not take each other for their only
// way to it meanwhile. The caller holds m.mu.
func (m *Mirror) ownContact() contact {
	if m.own == contactFailed && !m.reading && m.now().Sub(m.ownAt) > ownFailureLifetime {
		return contactUnknown
	}
	return m.own
}

// HubContact is what a hub says of its contact to the store.
type HubContact struct {
	// Reached says that the hub reaches the store without this daemon, through the daemons of Path.
	Reached bool
	Path    []string
	// Outage is when the store was last known to be away, if the hub was without it lately; its zero value otherwise.
	Outage mangostate.Outage
	// Since is from when on the hub has been in contact with the store without a break; zero if it is not known.
	Since time.Time
	// Local says that the hub is in the data centre of this daemon.
	Local bool
}

// SetHubContact records what the hub that this daemon follows says. If the hub was without the store, entries that lapsed
// meanwhile are kept here, too.
func (m *Mirror) SetHubContact(h HubContact) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hub, m.hubPath = contactOf(h.Reached), h.Path
	known := m.outage.At
	if h.Outage.At.Sub(m.outage.At) > outageResolution {
		m.outage = h.Outage
	}
	if h.Reached {
		m.takeHubWord(h)
	}
	if m.outage.At.Sub(known) > sameOutage && h.Reached && !m.lost {
		m.lossDue = true
		m.signal()
	}
	m.updateContact()
}

// takeHubWord takes from a hub that reaches the store what it means for the failures of this daemon's own calls. A hub that had contact
// before and after the last failure shows that the store was not away: only this daemon was cut off, or its data centre with the replicas there
// if the hub is in another one. The caller holds m.mu.
func (m *Mirror) takeHubWord(h HubContact) {
	if m.own == contactFailed {
		// The failure says nothing about the time after this contact.
		m.own = contactUnknown
	}
	hadStore := !h.Since.IsZero() && h.Since.Before(m.outage.At)
	isSame := h.Outage.At.Sub(m.outage.At).Abs() <= sameOutage
	switch {
	case hadStore && h.Local:
		m.outage = mangostate.Outage{}
	case hadStore, isSame && h.Outage.OnlyLocal:
		m.outage.OnlyLocal = true
	}
}

// EndHubContact records that this daemon follows no hub.
func (m *Mirror) EndHubContact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hub, m.hubPath = contactUnknown, nil
	m.updateContact()
}

// updateContact derives whether the store is reached from what is known of the own calls and of the hub. A success of either
// counts; while neither has succeeded or failed, as after a change of hubs, the contact stays as it was. The caller holds m.mu.
func (m *Mirror) updateContact() {
	own := m.ownContact()
	reached := own == contactMade || m.hub == contactMade
	if !reached && own == contactUnknown && m.hub == contactUnknown {
		return
	}
	switch {
	case !reached && !m.lost:
		m.lost, m.lossDue = true, true
		m.signal()
	case reached && m.lost:
		m.lost, m.contactAt = false, m.now()
		m.signal()
	case reached && m.contactAt.IsZero():
		m.contactAt = m.now()
	}
}

// Contact reports whether the store is reached.
func (m *Mirror) Contact() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.lost
}

// ContactSince returns from when on the store has been reached without a break, and whether it is reached.
func (m *Mirror) ContactSince() (since time.Time, reached bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.contactAt, !m.lost && !m.contactAt.IsZero()
}

// Outage returns the last time at which the store was away; its zero value if it never was.
func (m *Mirror) Outage() mangostate.Outage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.outage
}

// takeContactChange reports whether the user of the mirror has to be told now that the store was lost, or that it is back. If
// there are changes, it is told of one loss before them and then of the changes, however often the contact comes and goes.
func (m *Mirror) takeContactChange(changes bool) (lost, returned bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.lossDue && (!changes || !m.returnDue):
		m.lossDue, m.returnDue = false, true
		return true, false
	case m.returnDue && (changes || !m.lost):
		m.returnDue = false
		return false, true
	}
	return false, false
}
