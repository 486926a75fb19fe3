package demonstrator

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"marjoramstack/internal/entry"
	"marjoramstack/internal/logger"
	"marjoramstack/internal/operator"
	"marjoramstack/internal/standin"
	"marjoramstack/pkg/client"
	"marjoramstack/pkg/result"
)

// Town is a site of stand-ins with entry VMs in this process, all talking over
// loopback TCP.
type Town struct {
	Site    *standin.Site
	Entries []*Running
	layout  standin.Layout
	log     io.Writer
	seeds   []string
}

// Running is an entry VM that runs in this process.
type Running struct {
	VM       string
	Zone     string
	Caller   string
	Operator string
	Peer     string
	entry    *entry.Entry
	stop     context.CancelFunc
	done     chan struct{}
	once     sync.Once
}

const (
	readyWithin = 15 * time.Second
	readyLook   = 50 * time.Millisecond
	duck        = 300 * time.Millisecond
)

// NewTown starts the stand-ins of a layout. Logs of entry VMs go to log.
func NewTown(layout standin.Layout, log io.Writer) (*Town, error) {
	site, err := standin.NewSite(layout)
	if err != nil {
		return nil, err
	}
	return &Town{
		Site:   site,
		layout: layout,
		log:    log,
	}, nil
}

// Start starts an entry VM in the zone.
func (t *Town) Start(zone string) (*Running, error) {
	listeners := make([]net.Listener, 3)
	for i := range listeners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners[i] = listener
	}
	vm := fmt.Sprintf("entry-%d", len(t.Entries)+1)
	log := logger.New(t.log, slog.LevelInfo)
	r := &Running{
		VM:       vm,
		Zone:     zone,
		Caller:   listeners[0].Addr().String(),
		Operator: listeners[1].Addr().String(),
		Peer:     listeners[2].Addr().String(),
		done:     make(chan struct{}),
	}
	r.entry = entry.New(entry.Settings{
		VM:       vm,
		Zone:     zone,
		Platform: t.Site.PlatformLinks[zone].Address(),
		Peers:    append([]string(nil), t.seeds...),
		Caller:   listeners[0],
		Operator: listeners[1],
		Peer:     listeners[2],
		LameDuck: duck,
	}, log)
	t.seeds = append(t.seeds, r.Peer)
	t.Entries = append(t.Entries, r)
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	go func() {
		defer close(r.done)
		if err := r.entry.Run(ctx); err != nil {
			log.Error("entry-failed", "vm", vm, "error", err.Error())
		}
		log.Close()
	}()
	return r, nil
}

// Stop shuts an entry VM down gracefully.
func (r *Running) Stop() {
	r.once.Do(r.stop)
	<-r.done
}

// Kill ends an entry VM as a crash does: connections are cut, nothing is given
// back.
func (r *Running) Kill() {
	r.entry.Abort()
	r.once.Do(r.stop)
	<-r.done
}

// Close ends everything.
func (t *Town) Close() {
	var group sync.WaitGroup
	for _, r := range t.Entries {
		group.Go(r.Stop)
	}
	group.Wait()
	t.Site.Close()
}

// Callers returns the callers' doors.
func (t *Town) Callers() []string {
	var addresses []string
	for _, r := range t.Entries {
		addresses = append(addresses, r.Caller)
	}
	return addresses
}

// Client returns a client of an entry VM's operators' door.
func (r *Running) Client() *client.Client { return client.New([]string{r.Operator}) }

// Apply brings a class document into force through the first entry VM.
func (t *Town) Apply(ctx context.Context, text string) (operator.Change, error) {
	var change operator.Change
	_, err := t.Entries[0].Client().Post(ctx, "/v1/classes", operator.ApplyRequest{
		Text:   text,
		Author: "town",
	}, &change)
	return change, err
}

// AwaitReady waits until every entry VM is ready, every zone's cell has an
// owner, and every slot belongs to an entry VM. One entry VM may have none.
func (t *Town) AwaitReady(ctx context.Context) error {
	return Await(ctx, readyWithin, "entry VMs ready", func() bool {
		slots := map[string]int{}
		for _, r := range t.Entries {
			var status operator.Status
			if r.Client().Get(ctx, "/v1/status", &status) != nil || !status.Ready {
				return false
			}
			if len(status.Cells) < len(t.layout.Zones) || len(status.View) < t.inZone(r.Zone) {
				return false
			}
			slots[r.Zone] += status.Slots
		}
		for _, n := range slots {
			if n != t.layout.EndpointsPerZone*t.layout.Slots {
				return false
			}
		}
		return true
	})
}

func (t *Town) inZone(zone string) int {
	n := 0
	for _, r := range t.Entries {
		if r.Zone == zone {
			n++
		}
	}
	return n
}

// Await looks again and again until held reports true or the span has passed.
func Await(ctx context.Context, span time.Duration, what string, held func() bool) error {
	deadline := time.Now().Add(span)
	for !held() {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return result.New(result.NotReady, "%s: not within %s", what, span)
		}
		time.Sleep(readyLook)
	}
	return nil
}
