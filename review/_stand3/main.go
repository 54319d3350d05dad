// Program _stand3 plays the scripted cases of the third review. It starts the program of the deploy file as
// separate processes and stands in for the platform, the workers and the callers.
//
// # Usage
//
//	target/review-3/stand CASE FOLDER
//
// It writes record.txt into FOLDER. It exits with 0 if the rule held, with 1 if it was broken and with 2 if the
// case could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// maxDuration is the time after which a case that does not end by itself is given up.
const maxDuration = 118 * time.Second

// record is the record of a case: what was sent, answered and run.
type record struct {
	mu     sync.Mutex
	file   *os.File
	begin  time.Time
	broken bool
}

func newRecord(folder string) *record {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &record{file: file, begin: time.Now()}
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// breaks notes that a rule was broken.
func (r *record) breaks(rule, format string, args ...any) {
	r.printf("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = true
}

// cleanups are run before the program exits.
var (
	cleanupLock sync.Mutex
	cleanups    []func()
)

func atExit(f func()) {
	cleanupLock.Lock()
	defer cleanupLock.Unlock()
	cleanups = append(cleanups, f)
}

func exit(code int) {
	cleanupLock.Lock()
	for k := len(cleanups) - 1; k >= 0; k-- {
		cleanups[k]()
	}
	os.Exit(code)
}

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case can't run: "+format+"\n", args...)
	exit(exitCannotRun)
}

// scene is what a case works with.
type scene struct {
	record  *record
	dir     string
	trouble bool
}

var cases = map[string]func(*scene){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(exitCannotRun)
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		cannotRun("folder: %v", err)
	}
	atExit(func() {
		if keep := os.Getenv("KEEP"); keep != "" {
			_ = os.Rename(dir, keep)
			return
		}
		_ = os.RemoveAll(dir)
	})
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(maxDuration):
			fmt.Fprintln(os.Stderr, "the case did not end in time")
		}
		exit(exitCannotRun)
	}()
	s := &scene{record: newRecord(os.Args[2]), dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	s.record.printf("case %s, trouble %t", os.Args[1], s.trouble)
	cases[os.Args[1]](s)
	code := exitHeld
	if s.record.broken {
		code = exitBroken
	}
	s.record.printf("exit %d", code)
	exit(code)
}
