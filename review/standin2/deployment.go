package main

import (
	"fmt"
	"os"
	"strconv"
)

// deployment is a small deployment: the store, replicas of one plain service, and daemons.
type deployment struct {
	dir    string
	record *record
	store  *store
	// gate cuts the store and all replicas off from the daemons.
	gate     *gate
	replicas []*replica
	daemons  []*daemon
	// sameDataCentre puts all daemons in a data centre without replicas, and started counts the replicas that were started.
	sameDataCentre bool
	started        int
}

// newDeployment starts the store with the first configuration.
func newDeployment(recordPath string) (*deployment, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	g := newGate()
	s, err := startStore(g)
	if err != nil {
		return nil, err
	}
	s.put(names.ConfigurationKey, configuration(1))
	return &deployment{dir: dir, record: rec, store: s, gate: g}, nil
}

// dataCentre returns the name of one of the two data centres, in turns.
func dataCentre(n int) string { return "dc-" + strconv.Itoa(n%2+1) }

// addReplicas starts replicas.
func (d *deployment) addReplicas(n int) error {
	for range n {
		number := d.started
		d.started++
		r, err := startReplica(d.gate, d.store, d.record, fmt.Sprintf("r-%d", number+1), dataCentre(number))
		if err != nil {
			return err
		}
		d.replicas = append(d.replicas, r)
	}
	return nil
}

// addDaemons starts daemons and waits until they are ready.
func (d *deployment) addDaemons(n int) error {
	for range n {
		number := len(d.daemons)
		place := dataCentre(number)
		if d.sameDataCentre {
			place = "dc-3"
		}
		p, err := startDaemon(d.dir, fmt.Sprintf("edge-%d", number+1), place, d.store.address, true)
		if err != nil {
			return err
		}
		d.daemons = append(d.daemons, p)
	}
	for _, p := range d.daemons {
		if err := p.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes and removes the temporary files, unless KEEP names a reason to look at them.
func (d *deployment) stop() {
	for _, p := range d.daemons {
		p.stop()
	}
	_ = d.store.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
		return
	}
	fmt.Println("kept:", d.dir)
}
