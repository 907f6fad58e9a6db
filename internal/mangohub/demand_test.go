package mangohub

import (
	"maps"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/internal/mangocapacity"
	"mangopath.org/mangopath/internal/mangoroute"
)

func demandOf(requests float64) mangocapacity.Report {
	return mangocapacity.Report{
		Demand: map[mangocapacity.DemandKey]mangocapacity.Demand{
			{Service: "s", DataCentre: "d", Class: mangocapacity.Class{Rank: mangoroute.Rank{Priority: 2}, Returning: true}}: {Requests: requests, Tokens: 8, PromptTokens: 4, TokenSteps: 2},
		},
		Progress: map[mangocapacity.SiteKey]mangocapacity.Progress{
			{Service: "s", DataCentre: "d"}: {Pending: 1, PendingTokens: 2, PendingSeconds: 4, ReadTokens: 8, EndedSteps: 16, EndedSeconds: 0.5},
		},
	}
}

// Guards against a demand of the fleet that counts daemons twice or keeps those that have ended.
func TestDemandTable(t *testing.T) {
	now := time.Unix(1000, 0)
	one := demandOf(1)
	tests := []struct {
		name         string
		record       func(t *DemandTable)
		group, total float64
	}{
		{"nothing", func(*DemandTable) {}, 0, 0},
		{"members", func(t *DemandTable) { t.RecordMember("a", one, now); t.RecordMember("b", one, now) }, 2, 2},
		{"a member again", func(t *DemandTable) { t.RecordMember("a", one, now); t.RecordMember("a", one, now) }, 1, 1},
		{"another group", func(t *DemandTable) { t.RecordMember("a", one, now); t.RecordGroup("h", demandOf(30), now) }, 1, 31},
		{"a hub that has become a follower", func(t *DemandTable) { t.RecordGroup("h", demandOf(30), now); t.RecordMember("h", one, now) }, 1, 1},
		{"a daemon that has ended", func(t *DemandTable) { t.RecordMember("a", one, now.Add(-2*time.Second)) }, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := NewDemandTable()
			tt.record(table)
			key := mangocapacity.DemandKey{Service: "s", DataCentre: "d", Class: mangocapacity.Class{Rank: mangoroute.Rank{Priority: 2}, Returning: true}}
			is.Equal(table.Group(now).Demand[key].Requests, tt.group)
			is.Equal(table.Total(now).Demand[key].Requests, tt.total)
		})
	}
}

// Guards against numbers that are lost or mixed up on the wire, and against rows that cost more than they tell.
func TestDemandMessage(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	message := EncodeDemand(demandOf(3), now)
	is.Equal(DecodeDemand(message, now), demandOf(3))
	is.Equal(len(DecodeDemand(nil, now).Demand), 0)
	is.True(proto.Size(message) <= 80) // 18 rows of demand and 3 of progress stay below 1 KiB.
	refusals := mangocapacity.Report{Refusals: map[mangocapacity.RefusalKey]time.Time{1 << 31: now.Add(time.Second), 7: now.Add(-20 * time.Millisecond)}}
	message = EncodeDemand(refusals, now)
	is.Equal(DecodeDemand(message, now).Refusals, refusals.Refusals)
	is.True(proto.Size(message) <= 2*12) // A hundred refusals in a second stay below 1.2 KiB.
}

// Guards against updates that grow with the refusals of all daemons, and against refusals that are missing from all updates.
func TestRefusalsInSumAreBounded(t *testing.T) {
	is := is.New(t)
	table, now := NewDemandTable(), time.Unix(1000, 0)
	for i := range 256 {
		key := mangocapacity.RefusalKey(i * 1_000_003)
		table.RecordMember(strconv.Itoa(i), mangocapacity.Report{Refusals: map[mangocapacity.RefusalKey]time.Time{key: now.Add(3 * time.Second)}}, now)
	}
	told := map[mangocapacity.RefusalKey]time.Time{}
	for range 8 {
		total := table.Total(now)
		is.True(proto.Size(EncodeDemand(total, now)) <= 1600) // Four updates a second stay below 6.4 kB.
		maps.Copy(told, total.Refusals)
	}
	is.True(len(told) > 240) // Half of them are in each update, so one is left out of all with a probability of 1 in 256.
}
