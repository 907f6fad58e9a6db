package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"mangopath.org/mangopath/internal/mangopeer"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// exchangesPerSecond is the rate of exchanges that an entry host receives from all of its peers together.
	exchangesPerSecond = 1
	// loadsPerExchange and membersPerExchange are the numbers of replica loads and members in one exchange.
	loadsPerExchange   = 40
	membersPerExchange = 20
)

// simulatedPeers are entry hosts that the test process simulates as peers of a real one.
type simulatedPeers struct {
	members []*mangomessage.Member
	// replicas are the hosts whose loads the exchanges carry.
	replicas []*mangomessage.ListedHost
	clients  []*mangopeer.Client
}

// simulatedPeer answers the requests that reach one of the simulated entry hosts.
type simulatedPeer struct {
	*simulatedPeers
	mangopeer.NoHub
	member *mangomessage.Member
}

var _ mangopeer.Handler = (*simulatedPeer)(nil)

// startSimulatedPeers starts n simulated entry hosts and adds them to the host list.
func startSimulatedPeers(t *testing.T, f *fleet, n int) *simulatedPeers {
	t.Helper()
	p := &simulatedPeers{replicas: f.hostList}
	for i := range n {
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		m := &mangomessage.Member{Name: fmt.Sprintf("member-%03d", i), DataCentre: dataCentreOf(i, 4), Address: l.Addr().String(), Incarnation: 1}
		p.members = append(p.members, m)
		f.setListedHost(&mangomessage.ListedHost{Name: m.Name, Role: "Entry", DataCentre: m.DataCentre, Address: m.Address})
		security := mangopeer.SharedKey([]byte("peer-key"))
		server, err := mangopeer.NewServer(&simulatedPeer{simulatedPeers: p, member: m}, security)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = server.Serve(ctx, l) }()
		client := mangopeer.NewClient(security)
		p.clients = append(p.clients, client)
		t.Cleanup(func() {
			cancel()
			client.Close()
		})
	}
	return p
}

// startExchanges makes each simulated peer exchange once with an entry host, and then random ones at exchangesPerSecond until
// the test ends.
func (p *simulatedPeers) startExchanges(t *testing.T, address string) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	t.Cleanup(func() { cancel(); <-ended })
	exchange := func(i int) {
		// The request states revision 0, so the reply carries no changes: an entry host keeps none that old.
		_, _ = p.clients[i].Exchange(ctx, address, p.exchangeRequest(p.members[i]))
	}
	for i := range p.clients {
		exchange(i)
	}
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			time.Sleep(time.Second / exchangesPerSecond)
			exchange(rand.IntN(len(p.clients)))
		}
	}()
}

// exchangeRequest returns an exchange from a member with random loads and members.
func (p *simulatedPeers) exchangeRequest(from *mangomessage.Member) *mangomessage.ExchangeRequest {
	r := &mangomessage.ExchangeRequest{From: from, Revision: 0, ListAsOfMs: time.Now().UnixMilli(), ConfirmedAgeMs: 500}
	for range loadsPerExchange {
		h := p.replicas[rand.IntN(len(p.replicas))]
		r.Loads = append(r.Loads, &mangomessage.Load{Host: h.Name, Running: 3, Waiting: 1, AgeMs: rand.Uint32N(2000)})
	}
	for range membersPerExchange {
		m := p.members[rand.IntN(len(p.members))]
		r.Members = append(r.Members, &mangomessage.Member{
			Name: m.Name, DataCentre: m.DataCentre, Address: m.Address, Incarnation: 1, AgeMs: rand.Uint32N(3000),
		})
	}
	return r
}

// Exchange replies as a peer at the caller's revision, so without changes.
func (p *simulatedPeer) Exchange(_ context.Context, request *mangomessage.ExchangeRequest) (*mangomessage.ExchangeReply, error) {
	r := p.exchangeRequest(p.member)
	return &mangomessage.ExchangeReply{
		From: r.From, Revision: request.Revision, ConfirmedAgeMs: r.ConfirmedAgeMs, Loads: r.Loads, Members: r.Members,
		ListAsOfMs: request.ListAsOfMs,
	}, nil
}

// Fetch returns no pages; entry hosts have none to fetch, since simulated peers never announce a newer book.
func (p *simulatedPeer) Fetch(context.Context, *mangomessage.FetchRequest) (*mangomessage.FetchReply, error) {
	return &mangomessage.FetchReply{}, nil
}

// Status replies that it doesn't know the call.
func (p *simulatedPeer) Status(context.Context, *mangomessage.StatusRequest) (*mangomessage.StatusReply, error) {
	return &mangomessage.StatusReply{State: "Unknown"}, nil
}
