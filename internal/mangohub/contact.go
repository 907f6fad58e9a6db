package mangohub

import "time"

const (
	// sameReturn is the difference up to which two times at which the store was back are taken for the same.
	sameReturn = 500 * time.Millisecond
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

// SetOwnContact records whether a call of this daemon reached the store.
func (m *Mirror) SetOwnContact(reached bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.own, m.ownAt = contactOf(reached), m.now()
	m.updateContact(time.Time{})
	if !reached && m.lost {
		m.lossConfirmed = true
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
	// BackAt is when the store was back, if the hub was without it lately; zero otherwise.
	BackAt time.Time
	// Local says that the hub is in the data centre of this daemon.
	Local bool
}

// SetHubContact records what the hub that this daemon follows says. If the hub was without the store, entries that lapsed
// meanwhile are kept here, too.
func (m *Mirror) SetHubContact(h HubContact) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hub, m.hubPath, m.localHub = contactOf(h.Reached), h.Path, h.Local
	m.updateContact(h.BackAt)
}

// EndHubContact records that this daemon follows no hub.
func (m *Mirror) EndHubContact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hub, m.hubPath = contactUnknown, nil
	m.updateContact(time.Time{})
}

// updateContact derives whether the store is reached from what is known of the own calls and of the hub. A success of either
// counts; while neither has succeeded or failed, as after a change of hubs, the contact stays as it was. The caller holds m.mu.
func (m *Mirror) updateContact(backAt time.Time) {
	own := m.ownContact()
	reached := own == contactMade || m.hub == contactMade
	switch {
	case own == contactMade:
		backAt = time.Time{}
	case !reached && own == contactUnknown && m.hub == contactUnknown:
		return
	}
	switch {
	case !reached && !m.lost:
		m.lost, m.lossDue, m.lossConfirmed = true, true, own == contactFailed
		m.signal()
	case reached && m.lost:
		m.lost, m.backAt = false, m.returnTime(backAt)
		m.signal()
	case reached && backAt.Sub(m.backAt) > sameReturn:
		m.backAt, m.lossDue = backAt, true
		m.signal()
	}
}

// returnTime returns the time at which the store was back, at the end of a loss. hubBackAt is that of the hub by which it is
// reached, if the hub was without the store as well. The time stays that of the last return if the store was not away: only
// another hub told of the loss, or a hub of this data centre, which its replicas reach as it does, had the store all the while. The
// caller holds m.mu.
func (m *Mirror) returnTime(hubBackAt time.Time) time.Time {
	byHub := m.ownContact() != contactMade
	switch {
	case !hubBackAt.IsZero():
		return hubBackAt
	case !m.lossConfirmed, byHub && m.localHub:
		return m.backAt
	default:
		return m.now()
	}
}

// Contact reports whether the store is reached, and when it was back after it was last away; zero if it never was.
func (m *Mirror) Contact() (reached bool, backAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.lost, m.backAt
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
