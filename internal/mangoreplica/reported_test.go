package mangoreplica

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests of a former start of the daemons that do not count, against known requests that count twice, against reports
// that count for too long, and against later stages that are taken for requests with a slot.
func TestReportedLoad(t *testing.T) {
	tests := []struct {
		name     string
		reported ReportedLoad
		after    time.Duration
		want     Load
	}{
		{"nothing known", ReportedLoad{Running: 150, Waiting: 10, Slots: 192}, 0, Load{Requests: 160, Tokens: 160 * 300, Unknown: 160, UnknownTokens: 160 * 300}},
		{"after 2 s", ReportedLoad{Running: 150, Slots: 192}, 2 * time.Second, Load{Requests: 150, Tokens: 150 * 300, Unknown: 150, UnknownTokens: 150 * 300}},
		{"after more than 2 s", ReportedLoad{Running: 150, Slots: 192}, 2001 * time.Millisecond, Load{}},
		{"without slots", ReportedLoad{Running: 150}, 0, Load{}},
		{"idle", ReportedLoad{Slots: 192}, 0, Load{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h, now := NewHealthTracker(), time.Unix(1000, 0)
			h.BeginRequest(300, "other")()
			h.SetFleetLoad(nil, nil, 2, now.Add(tt.after))
			h.RecordLoad("a", tt.reported, now)
			is.Equal(h.FleetLoad("a", now.Add(tt.after)), tt.want)
			is.Equal(h.UnknownRequests(now.Add(tt.after)), tt.want.Requests)
			is.Equal(h.OwnLoads(), map[string]Load{})
		})
	}
	known := []struct {
		name    string
		running int
		want    Load
	}{
		{"less than known", 2, Load{Requests: 5, Later: 2, Tokens: 500}},
		{"as many as known", 3, Load{Requests: 5, Later: 2, Tokens: 500}},
		{"more than known", 10, Load{Requests: 12, Later: 2, Tokens: 1200, Unknown: 7, UnknownTokens: 700}},
	}
	for _, tt := range known {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h, now := NewHealthTracker(), time.Unix(1000, 0)
			h.SetFleetLoad(map[string]Load{"a": {Requests: 4, Later: 2, Tokens: 400}}, nil, 2, now)
			h.BeginRequest(100, "a")
			h.RecordLoad("a", ReportedLoad{Running: tt.running, Slots: 192}, now)
			is.Equal(h.FleetLoad("a", now), tt.want)
		})
	}
}

// Guards against unknown requests that seem small because the known ones use a part of the layers of a later stage.
func TestUnknownRequestsBesideLaterStages(t *testing.T) {
	is := is.New(t)
	h, now := NewHealthTracker(), time.Unix(1000, 0)
	h.BeginRequest(300, "other")()
	h.SetFleetLoad(map[string]Load{"a": {Requests: 10, Later: 10, Tokens: 1000}}, nil, 2, now)
	h.RecordLoad("a", ReportedLoad{Running: 10, Slots: 192}, now)
	is.Equal(h.FleetLoad("a", now), Load{Requests: 20, Later: 10, Tokens: 1000 + 10*300, Unknown: 10, UnknownTokens: 10 * 300})
}

// Guards against a report that keeps requests in the load that were known and have ended since, and against requests that count as
// unknown although the daemons that sent them have told of them since.
func TestReportedLoadFollowsKnownLoad(t *testing.T) {
	tests := []struct {
		name                    string
		before, reported, after int
		want                    int
	}{
		{"known requests end", 100, 100, 60, 60},
		{"known requests end beside unknown ones", 100, 130, 60, 90},
		{"unknown requests become known", 100, 130, 130, 130},
		{"more become known than were reported", 100, 130, 150, 150},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h, now := NewHealthTracker(), time.Unix(1000, 0)
			h.SetFleetLoad(map[string]Load{"a": {Requests: tt.before}}, nil, 2, now)
			h.RecordLoad("a", ReportedLoad{Running: tt.reported, Slots: 192}, now)
			h.SetFleetLoad(map[string]Load{"a": {Requests: tt.after}}, nil, 2, now.Add(time.Second))
			is.Equal(h.FleetLoad("a", now.Add(time.Second)).Requests, tt.want)
		})
	}
}

// Guards against a log line for each answer of a busy replica, and against none when its requests are not known.
func TestUnknownRequestsAreNewsOnce(t *testing.T) {
	is := is.New(t)
	h, now := NewHealthTracker(), time.Unix(1000, 0)
	steps := []struct {
		after   time.Duration
		running int
		many    bool
	}{
		{0, 10, false}, {0, 20, true}, {time.Second, 30, false}, {2500 * time.Millisecond, 30, false}, {5 * time.Second, 30, true},
	}
	for _, s := range steps {
		unknown, many := h.RecordLoad("a", ReportedLoad{Running: s.running, Slots: 100}, now.Add(s.after))
		is.Equal(unknown, s.running)
		is.Equal(many, s.many)
	}
}

// Guards against a replica of a plain service that gets requests by a report that is too old for them.
func TestUtilisationOfReports(t *testing.T) {
	is := is.New(t)
	h, now := NewHealthTracker(), time.Unix(1000, 0)
	h.RecordLoad("a", ReportedLoad{Running: 2, Waiting: 1, Slots: 6}, now)
	is.Equal(h.Utilisation("a", 6, now.Add(500*time.Millisecond)), 0.5)
	is.Equal(h.Utilisation("a", 6, now.Add(501*time.Millisecond)), 0.0)
}
