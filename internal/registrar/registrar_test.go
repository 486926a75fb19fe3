package registrar

import (
	"context"
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/internal/logger"
	"marjoramstack/internal/peer"
	"marjoramstack/internal/platform"
	"marjoramstack/internal/standin"
	"marjoramstack/pkg/clock"
)

// TestUnregisteredIsWaitedFor guards against a silent member without a row being
// considered dead as soon as the platform responds, before it could register.
func TestUnregisteredIsWaitedFor(t *testing.T) {
	server := httptest.NewServer(standin.NewPlatform())
	defer server.Close()
	manual := clock.NewManual(1000)
	var gone []string
	r := New(Options{
		Platform:  platform.NewClient(strings.TrimPrefix(server.URL, "http://"), platform.Options{}),
		Self:      peer.Member{ID: "a", Zone: "z"},
		Clock:     manual,
		Log:       logger.New(io.Discard, slog.LevelError),
		Evicted:   func() {},
		Renewed:   func(clock.Time) {},
		Seen:      func([]peer.Member) {},
		Silent:    func(clock.Span) []string { return []string{"b"} },
		Gone:      func(id string) { gone = append(gone, id) },
		DeadAfter: func() clock.Span { return 2 * renewInterval },
	})
	r.round(context.Background())
	assert.Equal(t, len(gone), 0)
	manual.Advance(renewInterval)
	r.round(context.Background())
	assert.Equal(t, len(gone), 0)
	manual.Advance(renewInterval)
	r.round(context.Background())
	assert.DeepEqual(t, gone, []string{"b"})
}
