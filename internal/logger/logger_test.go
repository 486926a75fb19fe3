package logger

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// heldOutput blocks its first write until released, and keeps all of them.
type heldOutput struct {
	begun   chan struct{}
	release chan struct{}
	writes  [][]byte
}

func (o *heldOutput) Write(b []byte) (int, error) {
	if len(o.writes) == 0 {
		close(o.begun)
		<-o.release
	}
	o.writes = append(o.writes, bytes.Clone(b))
	return len(b), nil
}

func newHeldOutput() *heldOutput {
	return &heldOutput{begun: make(chan struct{}), release: make(chan struct{})}
}

// TestQueuedLinesAreWrittenTogether guards against starts that are late because the
// owner writes each line of its log with a system call of its own: lines that are queued
// are written together, in order, each write at most maxWriteBytes long.
func TestQueuedLinesAreWrittenTogether(t *testing.T) {
	const lines = 1000
	out := newHeldOutput()
	log := New(out, slog.LevelInfo)
	log.Info("first")
	<-out.begun
	for i := range lines {
		log.Info("queued", "number", i)
	}
	close(out.release)
	log.Close()

	text := string(bytes.Join(out.writes, nil))
	for i, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n")[1:] {
		assert.Assert(t, strings.HasSuffix(line, fmt.Sprintf(" msg=queued number=%d", i)), line)
	}
	assert.Equal(t, strings.Count(text, "\n"), lines+1)
	for _, w := range out.writes {
		assert.Assert(t, len(w) <= maxWriteBytes)
	}
	// Any two writes in a row are together longer than maxWriteBytes.
	if most := 2 + 2*len(text)/maxWriteBytes; len(out.writes) > most {
		t.Errorf("%d writes of %d bytes, expected at most %d", len(out.writes), len(text), most)
	}
}

// TestLineIsNotHeldBack checks that a line is written although no other follows.
func TestLineIsNotHeldBack(t *testing.T) {
	out := newHeldOutput()
	log := New(out, slog.LevelInfo)
	log.Info("only")
	<-out.begun
	close(out.release)
	log.Close()
	assert.Equal(t, len(out.writes), 1)
}

// TestLongAndLostLines checks that a line longer than a write of several lines is
// written whole, and that lines dropped from a full queue are reported once.
func TestLongAndLostLines(t *testing.T) {
	const dropped = 3
	long := strings.Repeat("x", 2*maxWriteBytes)
	out := newHeldOutput()
	log := New(out, slog.LevelInfo)
	log.Info("first")
	<-out.begun
	log.Info(long)
	for range queueSize - 1 + dropped {
		log.Info("queued")
	}
	close(out.release)
	log.Close()
	text := string(bytes.Join(out.writes, nil))
	assert.Equal(t, strings.Count(text, "msg="+long+"\n"), 1)
	assert.Equal(t, strings.Count(text, "msg=queued\n"), queueSize-1)
	assert.Equal(t, strings.Count(text, "level=WARN msg=log-lines-lost count=3\n"), 1)
	assert.Equal(t, log.Lost(), uint64(dropped))
}
