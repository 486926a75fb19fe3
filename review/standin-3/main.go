// Command standin-3 plays the cases of the review against the system's own processes.
//
// # Usage
//
//	standin-3 CASE RECORD
//
// The exit code is 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
// TROUBLE=0 in the environment the disruption is left out. KEEP_LOGS names a folder for the logs
// of the system.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// maxTime is when a case is given up.
const maxTime = 110 * time.Second

// play is a case: the deployment, and what happens there. run returns what was broken, "" if the
// rule held.
type play struct {
	town func(record *Record) (*Town, error)
	run  func(t *Town, trouble bool) (string, error)
}

var plays = map[string]play{
	"memory":  {smallTown, playMemory}, // withdrawn as a case, see REPORT-3.md
	"filling": {smallTown, playFilling},
	"kind":    {kindsTown, playKind},
	"waiting": {labelledTown, playWaiting},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, path string) int {
	p, ok := plays[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return failed
	}
	record, err := NewRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer record.Close()
	began := time.Now()
	town, err := p.town(record)
	if town != nil {
		defer town.Close()
		time.AfterFunc(maxTime-time.Since(began), func() {
			record.Line("the case can't run: it takes over %s", maxTime)
			town.Close()
			os.Exit(failed)
		})
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
		go func() {
			<-signals
			town.Close()
			os.Exit(failed)
		}()
	}
	if err != nil {
		record.Line("the case can't run: %v", err)
		fmt.Println("can't run:", err)
		return failed
	}
	fault, err := p.run(town, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.Line("the case can't run: %v", err)
		fmt.Println("can't run:", err)
		return failed
	case fault != "":
		record.Line("broken: %s", fault)
		fmt.Println("broken:", fault)
		return broken
	}
	record.Line("held")
	fmt.Println("held")
	return held
}
