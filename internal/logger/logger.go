// Package logger writes structured logs, one line of key=value pairs per event. The
// code that logs never blocks on the output.
//
// log/slog formats the lines. They pass through a bounded queue to a goroutine that
// writes them; lines that are in the queue together are written together. If the queue
// is full, a line is dropped and counted. The goroutine then logs the number of dropped
// lines as event log-lines-lost.
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

const (
	queueSize = 8192
	// maxWriteBytes is the maximum size of a write of several lines. A pipe takes a
	// write of this size as a whole.
	maxWriteBytes = 4096
)

// Logger is a slog.Logger whose output is written by a separate goroutine.
type Logger struct {
	*slog.Logger
	queue *ring.Ring[[]byte]
	stop  chan struct{}
	done  sync.WaitGroup
	once  sync.Once
	batch []byte // memory for the lines of a write
}

// New returns a Logger that writes lines of at least the given level to out. The
// caller must call Close to flush pending lines.
func New(out io.Writer, level slog.Leveler) *Logger {
	l := &Logger{
		queue: ring.New[[]byte](queueSize),
		stop:  make(chan struct{}),
		batch: make([]byte, 0, maxWriteBytes),
	}
	l.Logger = slog.New(slog.NewTextHandler(lineWriter{queue: l.queue}, &slog.HandlerOptions{
		Level: level,
	}))
	l.done.Add(1)
	go l.write(out)
	return l
}

// Discard returns a Logger that discards all lines.
func Discard() *Logger { return New(io.Discard, slog.LevelError+1) }

// Lost returns the number of lines dropped because the queue was full.
func (l *Logger) Lost() uint64 { return l.queue.Lost() }

// Close writes the pending lines and stops the goroutine that writes.
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
		case line := <-l.queue.Out():
			for line != nil {
				line = l.writeQueued(out, line)
				reported = l.reportLost(out, reported)
			}
		case <-l.stop:
			l.flush(out)
			return
		}
	}
}

// writeQueued writes line and the lines that are queued behind it, as far as their size
// allows, with one write. It returns the first line that it has taken from the queue but
// not written, if any.
func (l *Logger) writeQueued(out io.Writer, line []byte) (rest []byte) {
	batch := line
	for {
		select {
		case next := <-l.queue.Out():
			if len(batch)+len(next) > maxWriteBytes {
				out.Write(batch)
				return next
			}
			if len(batch) == len(line) {
				batch = append(l.batch[:0], line...)
			}
			batch = append(batch, next...)
		default:
			out.Write(batch)
			return nil
		}
	}
}

// reportLost logs the number of lines dropped since the last report, if any, and
// returns the total.
func (l *Logger) reportLost(out io.Writer, reported uint64) uint64 {
	lost := l.queue.Lost()
	if lost != reported {
		fmt.Fprintf(out, "level=WARN msg=log-lines-lost count=%d\n", lost-reported)
	}
	return lost
}

func (l *Logger) flush(out io.Writer) {
	for {
		select {
		case line := <-l.queue.Out():
			for line != nil {
				line = l.writeQueued(out, line)
			}
		default:
			return
		}
	}
}

// lineWriter adds each line that slog writes to a queue.
type lineWriter struct {
	queue *ring.Ring[[]byte]
}

func (w lineWriter) Write(line []byte) (int, error) {
	w.queue.Offer(bytes.Clone(line))
	return len(line), nil
}
