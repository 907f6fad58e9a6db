package mangorelay

import (
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// Guards against an event whose end is not found, or found twice, where it is divided between two reads.
func TestEventsDividedBetweenReads(t *testing.T) {
	is := is.New(t)
	const stream = "id: 1\ndata: a\n\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nid: 3\ndata: \r\r\n\n\r\n\r\nid: 4\n\r\ndata: rest\n"
	numbers := []eventNumber{{numberValid, 1}, {}, {numberValid, 2}, {}, {numberValid, 3}, {}, {}}
	for size := 1; size <= len(stream); size++ {
		var b eventBuffer
		var passed strings.Builder
		var found []eventNumber
		for rest := stream; rest != ""; {
			n := min(size, len(rest))
			for _, e := range b.add([]byte(rest[:n])) {
				passed.Write(e.text)
				found = append(found, e.number)
			}
			rest = rest[n:]
		}
		is.Equal(passed.String(), stream[:strings.LastIndex(stream, "id: 4")])
		is.Equal(string(b.pending), stream[strings.LastIndex(stream, "id: 4"):])
		is.Equal(b.count, 3)
		is.Equal(found, numbers)
	}
}

// Guards against searching all of a long event again with each read, which took the processors from other requests.
func TestLongEventIsSearchedOnce(t *testing.T) {
	is := is.New(t)
	// The processor time of this thread leaves out the time for which the machine runs something else.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	processorTime := func() time.Duration {
		var spent unix.Timespec
		is.NoErr(unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &spent))
		return time.Duration(spent.Nano())
	}
	add := func(events, size int) time.Duration {
		piece := []byte(strings.Repeat("x", 1<<10))
		begun := processorTime()
		for range events {
			var b eventBuffer
			for len(b.pending) < size {
				b.add(piece)
			}
		}
		return processorTime() - begun
	}
	short, long := time.Hour, time.Hour
	for range 5 {
		short, long = min(short, add(32, maxEventBytes/32)), min(long, add(1, maxEventBytes))
	}
	t.Logf("32 events of %d bytes take %v, one of %d bytes takes %v", maxEventBytes/32, short, maxEventBytes, long)
	is.True(long < 4*short)
}
