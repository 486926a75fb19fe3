package registrar

import (
	"context"
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

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

// TestOddMemberRow guards against a member that another writer's row makes up, or declares
// gone, under a key that is not the member's: such a member can't be marked as gone, and
// until it is, this one waits for its view and uses no slots.
func TestOddMemberRow(t *testing.T) {
	const good = `{"txn":"t","member":{"id":"b","zone":"z","address":"10.0.0.2:80"},"beats":1}`
	for _, odd := range []string{
		`null`, `{}`, `7`, `{"member":{"id":7}}`, `{"member":{"id":"c","zone":"z","address":"10.0.0.3:80"}}`,
		`{"member":{"id":"odd","zone":"y","address":"10.0.0.3:80"}}`, `{"member":{"id":"odd","zone":"z","address":"h:80"}}`,
		`{"member":{"id":"odd","zone":"z","address":"10.0.0.3:0"}}`, `{"member":{"id":"b","zone":"z"},"gone":true}`,
		`{"member":{"id":"odd","zone":"z","address":"10.0.0.3:80"},"beats":18446744073709551616}`,
	} {
		server := httptest.NewServer(standin.NewPlatform())
		client := platform.NewClient(strings.TrimPrefix(server.URL, "http://"), platform.Options{})
		for key, value := range map[string]string{"entry/z/b": good, "entry/z/odd": odd} {
			_, err := client.Commit(t.Context(), platform.Txn{ID: key, Checks: []platform.Check{{Key: key}}, Puts: []platform.Row{{Key: key, Value: []byte(value)}}})
			assert.NilError(t, err)
		}
		var seen, gone []string
		r := New(Options{
			Platform: client, Self: peer.Member{ID: "a", Zone: "z", Address: "10.0.0.1:80"}, Clock: clock.NewManual(1000),
			Log: logger.New(io.Discard, slog.LevelError), Evicted: func() {}, Renewed: func(clock.Time) {},
			Seen: func(members []peer.Member) {
				seen = nil
				for _, m := range members {
					seen = append(seen, m.ID)
				}
			},
			Silent:    func(clock.Span) []string { return []string{"b"} },
			Gone:      func(id string) { gone = append(gone, id) },
			DeadAfter: func() clock.Span { return 2 * renewInterval },
		})
		r.round(t.Context())
		server.Close()
		assert.Check(t, is.DeepEqual(seen, []string{"a", "b"}), odd)
		assert.Check(t, is.Equal(len(gone), 0), odd)
	}
}
