// Command _stand2 plays one case of review 2. It starts instances of the program of deploy/system.toml as
// separate processes against stand-ins of the platform's store, its workers and its callers, all on loopback
// addresses, writes what was sent, answered and run to record.txt, and ends all processes that it started.
//
// # Usage
//
//	TROUBLE=1 target/review-2/stand2 CASE FOLDER
//
// The exit status is 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// errNotRun means that the case could not be played.
type errNotRun struct{ reason string }

func (e errNotRun) Error() string { return e.reason }

// cases holds what plays each case, by name. Each returns the breaches of the rule that it saw. The last three have no
// folder; REPORT-2.md tells of them.
var cases = map[string]func(s *site, trouble bool) []string{
	"move":     playMove,
	"memory":   playMemory,
	"oversize": playOversize,
	"records":  playRecords,
	"kind":     playKind,
	"rename":   playRename,
	"stall":    playStall,
	"lasting":  playLasting,
}

func main() { os.Exit(run()) }

func run() (status int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		return 2
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	s := newSite(record)
	defer s.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ended
		s.close()
		os.Exit(2)
	}()
	defer func() {
		if e, ok := recover().(errNotRun); ok {
			s.note("case not run: %s", e.reason)
			fmt.Fprintln(os.Stderr, e.reason)
			status = 2
		}
	}()
	s.note("case %s, trouble %v", os.Args[1], trouble)
	breaches := cases[os.Args[1]](s, trouble)
	for _, b := range breaches {
		s.note("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	if len(breaches) > 0 {
		return 1
	}
	s.note("the rule held")
	fmt.Println("held")
	return 0
}
