package mangopeer_test

import (
	"context"
	"fmt"
	"net"
	"testing"

	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/internal/mangopeer"
	"mangopath.org/mangopath/pkg/mangomessage"
)

func exchangeRequest(members, shares int) *mangomessage.ExchangeRequest {
	r := &mangomessage.ExchangeRequest{From: &mangomessage.Member{Name: "entry-000", Incarnation: 1764835200, AgeMs: 0, Leaving: false}, Revision: 20000, ChangesFrom: 20000}
	for i := range members {
		r.Members = append(r.Members, &mangomessage.Member{
			Name: fmt.Sprintf("entry-%03d", i), DataCentre: "nieuwegein", Address: fmt.Sprintf("10.0.%d.%d:7102", i/250, i%250),
			AgeMs: uint32(i * 10), Incarnation: 1764835200,
		})
	}
	for i := range shares {
		r.Shares = append(r.Shares, &mangomessage.Share{Host: fmt.Sprintf("replica-%04d", i), InFlight: uint32(i % 9)})
	}
	return r
}

// Guards against exchanges that exceed a daemon's limit of control traffic. Measured with 8 members and the in-flight
// calls of 40 hosts, and with 410 members and 300 hosts.
func BenchmarkExchange(b *testing.B) {
	for _, size := range [][2]int{{8, 40}, {410, 300}} {
		b.Run(fmt.Sprintf("members=%d,shares=%d", size[0], size[1]), func(b *testing.B) {
			listener, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			credentials := mangopeer.SharedKey([]byte("key"))
			server, err := mangopeer.NewServer(&handler{}, credentials)
			if err != nil {
				b.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() { done <- server.Serve(ctx, listener) }()
			client := mangopeer.NewClient(credentials)
			request := exchangeRequest(size[0], size[1])
			b.ReportAllocs()
			for b.Loop() {
				if _, err := client.Exchange(ctx, listener.Addr().String(), request); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(proto.Size(request)), "request-bytes")
			client.Close()
			cancel()
			if err := <-done; err != nil {
				b.Fatal(err)
			}
		})
	}
}
