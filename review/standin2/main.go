// Command standin2 plays the cases of the second review: stand-ins of the platform, of replicas and of clients, around daemons that it
// starts with the command of the deploy file. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could
// not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
)

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2
)

// testCase plays a case and reports whether the rule was broken.
type testCase func(d *deployment, trouble bool) (broken bool, err error)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(statusFailed)
	}
	cases := map[string]testCase{
		"wrong-piece-number": playWrongPieceNumber, "failed-after-run": playFailedAfterRun, "left-replica": playLeftReplica, "large-answer": playLargeAnswer,
		"crashing-request": playCrashingRequest,
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(statusFailed)
	}
	os.Exit(playCase(play, os.Args[2]))
}

// playCase plays a case with its own deployment and returns the exit status.
func playCase(play testCase, recordPath string) int {
	d, err := newDeployment(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	defer d.stop()
	broken, err := play(d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		d.record.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	case broken:
		d.record.note("the rule was broken")
		fmt.Println("the rule was broken")
		return statusBroken
	}
	d.record.note("the rule held")
	fmt.Println("the rule held")
	return statusHeld
}
