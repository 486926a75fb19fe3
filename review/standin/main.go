// Command standin plays one case of this review: it starts the project's program as separate
// processes, with stand-ins of the platform's table, its executors and its clients in this
// process, causes the disruption, and checks what the clients and executors see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

// longest is how long a case may take. Its processes are ended then.
const longest = 110 * time.Second

// cases holds, by name, what plays a case, with the disruption or without it.
var cases = map[string]func(rec *record, trouble bool) (code int, err error){
	"gang-twice":    gangTwice,
	"large-record":  largeRecord,
	"paused-task":   pausedTask,
	"removed-route": removedRoute,
	"many-times":    manyTimes,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(failed)
	}
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
		select {
		case <-signals:
		case <-time.After(longest):
			fmt.Fprintln(os.Stderr, "the case takes too long")
		}
		endAll()
		os.Exit(failed)
	}()
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	code, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.say("the case could not run: %v", err)
		code = failed
	}
	rec.say("exit code %d", code)
	rec.close()
	os.Exit(code)
}
