// Package logger writes structured logs, one line of key=value pairs for each
// event, without making the code that logs wait for the output.
//
// Lines are formatted by log/slog and handed to a bounded ring; one goroutine
// writes them out. When the ring is full the line is dropped and counted, and
// the count is reported in a line of its own once there is room again.
//
// # Usage
//
//	log := logger.New(os.Stderr, slog.LevelInfo)
//	defer log.Close()
//	log.Info("route", "order", id, "endpoint", e, "second", s, "reason", r)
package logger

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"sync"

	"marjoramstack/internal/ring"
)

const ringLines = 8192

// Logger is a slog.Logger whose output is written by a separate goroutine.
type Logger struct {
	*slog.Logger
	lines *ring.Ring[[]byte]
	stop  chan struct{}
	done  sync.WaitGroup
	once  sync.Once
}

// New returns a Logger that writes lines of at least the given level to out.
// The caller closes it to flush what is pending.
func New(out io.Writer, level slog.Leveler) *Logger {
	l := &Logger{
		lines: ring.New[[]byte](ringLines),
		stop:  make(chan struct{}),
	}
	l.Logger = slog.New(slog.NewTextHandler(lineWriter{lines: l.lines}, &slog.HandlerOptions{
		Level: level,
	}))
	l.done.Add(1)
	go l.write(out)
	return l
}

// Discard returns a Logger that drops every line.
func Discard() *Logger { return New(io.Discard, slog.LevelError+1) }

// Lost returns the number of lines dropped so far.
func (l *Logger) Lost() uint64 { return l.lines.Lost() }

// Close writes the pending lines and stops the writer.
func (l *Logger) Close() {
	l.once.Do(func() {
		close(l.stop)
		l.done.Wait()
	})
}

func (l *Logger) write(out io.Writer) {
	defer l.done.Done()
	var reported uint64
	for {
		select {
		case line := <-l.lines.Out():
			out.Write(line)
			reported = l.reportLost(out, reported)
		case <-l.stop:
			l.flush(out)
			return
		}
	}
}

func (l *Logger) reportLost(out io.Writer, reported uint64) uint64 {
	lost := l.lines.Lost()
	if lost != reported {
		fmt.Fprintf(out, "level=WARN msg=log-lines-lost count=%d\n", lost-reported)
	}
	return lost
}

func (l *Logger) flush(out io.Writer) {
	for {
		select {
		case line := <-l.lines.Out():
			out.Write(line)
		default:
			return
		}
	}
}

type lineWriter struct {
	lines *ring.Ring[[]byte]
}

func (w lineWriter) Write(line []byte) (int, error) {
	w.lines.Offer(bytes.Clone(line))
	return len(line), nil
}
