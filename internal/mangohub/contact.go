package mangohub

import "time"

// sameReturn is the difference up to which two times at which the store was back are taken for the same.
const sameReturn = 500 * time.Millisecond

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

// Path returns the daemons through which the contact to the store goes; empty if this daemon reaches it itself.
func (m *Mirror) Path() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.own == contactMade {
		return nil
	}
	return m.hubPath
}

// SetOwnContact records whether the last call of this daemon reached the store.
func (m *Mirror) SetOwnContact(reached bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.own = contactOf(reached)
	m.updateContact(time.Time{})
}

// SetHubContact records whether the hub that this daemon follows reaches the store, and through which daemons. A hub that was
// without the store until a time passes that time on as backAt, so that entries that lapsed meanwhile are kept here, too; it is
// zero otherwise.
func (m *Mirror) SetHubContact(reached bool, backAt time.Time, path []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hub, m.hubPath = contactOf(reached), path
	m.updateContact(backAt)
}

// EndHubContact records that this daemon follows no hub.
func (m *Mirror) EndHubContact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hub, m.hubPath = contactUnknown, nil
	m.updateContact(time.Time{})
}

// updateContact derives whether the store is reached from what is known of the own calls and of the hub. A success of either
// counts; while neither has succeeded or failed, the contact stays as it was. The caller holds m.mu.
func (m *Mirror) updateContact(backAt time.Time) {
	reached := m.own == contactMade || m.hub == contactMade
	switch {
	case m.own == contactMade:
		backAt = time.Time{}
	case !reached && m.own == contactUnknown && m.hub == contactUnknown:
		return
	}
	switch {
	case !reached && !m.lost:
		m.lost, m.lossDue = true, true
		m.signal()
	case reached && m.lost:
		m.lost, m.backAt = false, backAt
		if backAt.IsZero() {
			m.backAt = time.Now()
		}
		m.signal()
	case reached && backAt.Sub(m.backAt) > sameReturn:
		m.backAt, m.lossDue = backAt, true
		m.signal()
	}
}

// Contact reports whether the store is reached, and when it was reached again after it was lost; zero if it never was.
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
