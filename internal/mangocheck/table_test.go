package mangocheck

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func replica(i int) *mangoreplica.Replica {
	return &mangoreplica.Replica{ID: fmt.Sprintf("r-%d", i), DataCentre: "a", Born: 5}
}

func requester(name string) mangostate.Member { return mangostate.Member{Name: name} }

// startIDs starts what is due and returns the ids.
func startIDs(t *Table, now time.Time) []string {
	var ids []string
	for _, r := range t.Start(now) {
		ids = append(ids, r.ID)
	}
	return ids
}

// Guards against a replica that is checked for each daemon that asks, and against requesters of a shared check that are not told of
// its result.
func TestRequestsShareCheck(t *testing.T) {
	tests := []struct {
		name string
		// second is when the second daemon asks, after the first at 0 whose check ends at 80.
		second int
		rank   int
		result Result
		checks int
		// told is the result that the second one is told at once, and requesters the number of those told at the end.
		told       Result
		requesters int
	}{
		{"while it is due", 0, 0, Unreachable, 1, 0, 2},
		{"while it runs", 40, 0, Unreachable, 1, 0, 2},
		{"while its result settles", 82, 0, Unreachable, 1, 0, 2},
		{"after it found the replica lost", 100, 0, Unreachable, 1, Unreachable, 1},
		{"after it found its end", 100, 0, Ended, 1, Ended, 1},
		{"after it reached the replica", 100, 0, Reachable, 1, 0, 1},
		{"later", 231, 0, Reachable, 2, 0, 1},
		{"by the second monitor", 20, 1, Unreachable, 1, 0, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table, r := NewTable(), replica(0)
			checks, requesters, told := 0, 0, Result(0)
			endsAt := -100
			for ms := range 300 {
				if ms == 0 {
					is.Equal(table.Request(r, requester("d"), tt.rank, at(0)), Result(0))
				}
				if ms == tt.second {
					told = table.Request(r, requester("e"), tt.rank, at(ms))
				}
				if n := len(table.Start(at(ms))); n > 0 {
					checks += n
					if endsAt < 0 {
						is.Equal(ms, tt.rank*int(confirmDelay/time.Millisecond))
					}
					endsAt = ms + 80
				}
				if ms == endsAt {
					table.Finish(r.Incarnation(), tt.result, at(ms))
				}
				if ms == endsAt+5 {
					_, list := table.Judge(r.Incarnation(), at(ms))
					requesters = max(requesters, len(list))
				}
			}
			is.Equal(checks, tt.checks)
			is.Equal(told, tt.told)
			is.Equal(requesters, tt.requesters)
		})
	}
}

// Guards against a requester that is not told of a loss since its request came between the end of the check and the verdict: it asks
// again only 150 ms later.
func TestRequestBeforeVerdictIsTold(t *testing.T) {
	for _, result := range []Result{Unreachable, Ended} {
		is := is.New(t)
		table, r := NewTable(), replica(0)
		table.Request(r, requester("d"), 0, at(0))
		table.Start(at(0))
		table.Finish(r.Incarnation(), result, at(50))
		is.Equal(table.Request(r, requester("e"), 0, at(52)), Result(0))
		_, requesters := table.Judge(r.Incarnation(), at(55))
		is.Equal(len(requesters), 2)
		is.Equal(len(table.Start(at(300))), 0)
	}
}

// Guards against a loss that is found up to 300 ms late, since the replica was reached a moment before it and requests about the
// silence that followed were dropped, and against more than one check in shareInterval.
func TestCheckBeforeSilenceDoesNotAnswerRequest(t *testing.T) {
	tests := []struct {
		name string
		rank int
		// reachedByOther says that the other monitor reached the replica at 1, else this hub did.
		reachedByOther bool
		asked          int
		starts         []int
	}{
		{"the silence may be older than the check", 0, false, 45, nil},
		{"the check is older than the silence", 0, false, 47, []int{151}},
		{"just before the check is too old to be shared", 0, false, 149, []int{151}},
		{"the other monitor's check is older than the silence", 0, true, 47, []int{151}},
		{"the first monitor is given its time", 1, true, 47, []int{181}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table, r := NewTable(), replica(0)
			if tt.reachedByOther {
				table.RecordOther(r, true, at(1))
			} else {
				table.Request(r, requester("d"), 0, at(0))
				is.Equal(len(table.Start(at(0))), 1)
				table.Finish(r.Incarnation(), Reachable, at(1))
				table.Judge(r.Incarnation(), at(1))
			}
			var starts []int
			for ms := 2; ms < 400; ms++ {
				if ms == tt.asked || ms == tt.asked+5 {
					is.Equal(table.Request(r, requester("e"), tt.rank, at(ms)), Result(0))
				}
				if len(table.Start(at(ms))) > 0 {
					starts = append(starts, ms)
				}
				if ms == tt.asked && tt.starts == nil {
					break
				}
			}
			is.Equal(starts, tt.starts)
		})
	}
}

// Guards against replicas that wait for a check behind others that were checked a moment ago, and against more checks at once
// than a hub can make.
func TestLongestUncheckedFirst(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	for i := range 3 {
		table.Request(replica(i), requester("d"), 0, at(1000*i))
		table.Start(at(1000 * i))
		table.Finish(replica(i).Incarnation(), Reachable, at(1000*i))
		table.Judge(replica(i).Incarnation(), at(1000*i))
	}
	for _, i := range []int{2, 0, 1} {
		table.Request(replica(i), requester("d"), 0, at(5000))
	}
	is.Equal(startIDs(table, at(5000)), []string{"r-0", "r-1", "r-2"})
	for i := range 2 * maxConcurrent {
		table.Request(replica(10+i), requester("d"), 0, at(5000))
	}
	is.Equal(len(table.Start(at(5000))), maxConcurrent-3)
	_, ok := table.Next()
	is.True(!ok) // a check has to end first
	table.Finish(replica(0).Incarnation(), Reachable, at(5001))
	is.Equal(len(table.Start(at(5001))), 1)
}

// Guards against sound replicas that are avoided because the hub that checked them is cut off or the other monitor reaches them,
// and against a loss that nobody announces because each monitor alone doubts itself.
func TestVerdict(t *testing.T) {
	type other struct {
		ms        int
		reachable bool
	}
	tests := []struct {
		name string
		// results are those of the checks from 0 to 80; the verdict is on the first one.
		results []Result
		other   []other
		want    Verdict
	}{
		{"reached", []Result{Reachable}, nil, Sound},
		{"one of one is silent", []Result{Unreachable}, nil, Lost},
		{"two of seven are silent", []Result{Unreachable, Unreachable, 1, 1, 1, 1, 1}, nil, Lost},
		{"two of five are silent", []Result{Unreachable, Unreachable, 1, 1, 1}, nil, Withheld},
		{"all are silent", []Result{Unreachable, Unreachable, Unreachable}, nil, Withheld},
		{"all are silent for the other monitor too", []Result{Unreachable, Unreachable, Unreachable}, []other{{60, false}}, Lost},
		{"all have ended", []Result{Ended, Ended, Ended}, nil, Lost},
		{"the other monitor reached it meanwhile", []Result{Unreachable}, []other{{40, true}}, Disputed},
		{"the other monitor reached it before", []Result{Unreachable}, []other{{-200, true}}, Lost},
		{"the other monitor missed it long ago", []Result{Unreachable, Unreachable}, []other{{-2000, false}}, Withheld},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable()
			for i := range tt.results {
				table.Request(replica(i), requester("d"), 0, at(0))
			}
			table.Start(at(0))
			for _, o := range tt.other {
				table.RecordOther(replica(0), o.reachable, at(o.ms))
			}
			for i, r := range tt.results {
				table.Finish(replica(i).Incarnation(), r, at(80))
			}
			verdict, requesters := table.Judge(replica(0).Incarnation(), at(85))
			is.Equal(verdict, tt.want)
			is.Equal(len(requesters), 1)
			if verdict == Withheld {
				is.Equal(table.RecordOther(replica(0), false, at(110)), Lost) // the other monitor confirms it
				verdict, requesters = table.Judge(replica(0).Incarnation(), at(110))
				is.Equal(verdict, Lost)
				is.Equal(len(requesters), 1)
			}
		})
	}
}

// Guards against two connections to each sound replica, one by each monitor.
func TestSecondMonitorReliesOnFirst(t *testing.T) {
	tests := []struct {
		name string
		// resultAt is when the result of the first monitor arrives; negative if it does not.
		resultAt  int
		reachable bool
		checks    int
	}{
		{"the first one reached it", 7, true, 0},
		{"the first one says nothing", -1, false, 1},
		{"the first one found it lost", 7, false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table, checks := NewTable(), 0
			table.Request(replica(0), requester("d"), 1, at(0))
			for ms := range 100 {
				if ms == tt.resultAt {
					table.RecordOther(replica(0), tt.reachable, at(ms))
				}
				checks += len(table.Start(at(ms)))
			}
			is.Equal(checks, tt.checks)
		})
	}
}

// Guards against streams that are moved away from sound replicas, since a hub whose host notices connections late announces losses that
// the other monitor would contradict a moment later, and against losses that such a hub never announces.
func TestContradictedHubWaitsForOtherMonitor(t *testing.T) {
	tests := []struct {
		name string
		// contradicted is when the other monitor reaches the replica that this hub could not reach at 0 to 40; 0 if it does not.
		contradicted int
		// checked is the end of the check of another replica, which fails too, and missed when the other monitor fails to reach that
		// one; 0 if it does not.
		checked, missed int
		want            Verdict
	}{
		{"no contradiction", 0, 1500, 0, Lost},
		{"contradicted", 30, 1500, 0, Withheld},
		{"contradicted after the verdict", 60, 1500, 0, Withheld},
		{"contradicted long ago", 60, 12000, 0, Lost},
		{"contradicted, the other monitor agrees later", 60, 1500, 1530, Lost},
		{"contradicted, the other monitor agreed before", 60, 1500, 1490, Lost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table, first, second, sound := NewTable(), replica(0), replica(1), replica(2)
			check := func(r *mangoreplica.Replica, result Result, end int) Verdict {
				table.Request(r, requester("d"), 0, at(end-40))
				table.Start(at(end - 40))
				table.Finish(r.Incarnation(), result, at(end))
				v, _ := table.Judge(r.Incarnation(), at(end+5))
				return v
			}
			table.Request(first, requester("d"), 0, at(0))
			table.Start(at(0))
			if tt.contradicted > 0 && tt.contradicted < 40 {
				table.RecordOther(first, true, at(tt.contradicted))
			}
			table.Finish(first.Incarnation(), Unreachable, at(40))
			table.Judge(first.Incarnation(), at(45))
			if tt.contradicted > 40 {
				is.Equal(table.RecordOther(first, true, at(tt.contradicted)), Disputed)
			}
			for range 3 {
				check(sound, Reachable, tt.checked-200)
			}
			if tt.missed > 0 && tt.missed < tt.checked {
				table.RecordOther(second, false, at(tt.missed))
			}
			got := check(second, Unreachable, tt.checked)
			if tt.missed > tt.checked {
				is.Equal(got, Withheld)
				got = table.RecordOther(second, false, at(tt.missed))
			}
			is.Equal(got, tt.want)
		})
	}
}

// Guards against a hub that stays mistrusted although nothing contradicts it any more: a replica that it could not reach long ago, and
// that only the other monitor has checked since, is no contradiction.
func TestLateReachIsNoContradiction(t *testing.T) {
	tests := []struct {
		name    string
		verdict Verdict
		// reached are the times, in ms, at which the other monitor reaches the replica that this hub could not reach at 0 to 40.
		reached []int
		// judged is the time at which this hub is looked at.
		judged int
	}{
		{"a lost replica that has come back", Lost, []int{20_000}, 20_500},
		{"a withheld loss, then steady checks by the other monitor", Withheld, []int{60, 5_000, 10_000, 15_000, 20_000, 25_000, 30_000, 35_000}, 35_500},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table, r := NewTable(), replica(0)
			table.Request(r, requester("d"), 1, at(-30))
			is.Equal(len(table.Start(at(0))), 1)
			table.Finish(r.Incarnation(), Unreachable, at(40))
			if tt.verdict == Withheld {
				table.MarkUnwitnessed(r.Incarnation())
			}
			verdict, _ := table.Judge(r.Incarnation(), at(45))
			is.Equal(verdict, tt.verdict)
			for _, ms := range tt.reached {
				// The first monitor answers the request before this one, the second monitor, begins.
				table.Request(r, requester("d"), 1, at(ms-1))
				table.RecordOther(r, true, at(ms))
				is.Equal(len(table.Start(at(ms+100))), 0)
			}
			is.True(!table.Mistrusted(at(tt.judged)))
		})
	}
}

// Guards against a loss that stays announced although the other monitor has reached the replica: this hub had no result of its own and
// announced the finding of the other monitor.
func TestLossOfUnknownResultIsWithdrawn(t *testing.T) {
	is := is.New(t)
	table, r := NewTable(), replica(0)
	table.Request(r, requester("d"), 0, at(0))
	table.Start(at(0))
	table.Finish(r.Incarnation(), Unknown, at(40))
	table.RecordOther(r, false, at(42))
	verdict, _ := table.Judge(r.Incarnation(), at(45))
	is.Equal(verdict, Lost)
	is.Equal(table.RecordOther(r, true, at(200)), Disputed)
}
