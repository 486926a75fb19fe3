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

// Town is a complete test system in this process: a site of stand-ins and entry
// VMs that communicate over loopback TCP.
type Town struct {
	Site          *standin.Site
	Entries       []*Running
	layout        standin.Layout
	log           io.Writer
	peerAddresses []string
}

// Running is an entry VM that was started in this process, with the addresses of
// its listeners.
type Running struct {
	VM       string
	Zone     string
	Caller   string
	Operator string
	Peer     string
	entry    *entry.Entry
	stop     context.CancelFunc
	done     chan struct{}
	stopOnce sync.Once
}

const (
	readyTimeout = 15 * time.Second
	pollInterval = 50 * time.Millisecond
	lameDuck     = 300 * time.Millisecond
)

// NewTown starts the stand-ins of a layout, without entry VMs. Entry VMs started
// later write their logs to log.
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

// Start starts an entry VM in the zone. It joins the entry VMs started before.
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
		Peers:    append([]string(nil), t.peerAddresses...),
		Caller:   listeners[0],
		Operator: listeners[1],
		Peer:     listeners[2],
		LameDuck: lameDuck,
	}, log)
	t.peerAddresses = append(t.peerAddresses, r.Peer)
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

// Stop shuts the entry VM down gracefully and waits until it has stopped.
func (r *Running) Stop() {
	r.stopOnce.Do(r.stop)
	<-r.done
}

// Kill stops the entry VM as a crash would: connections are cut and nothing is
// released or handed over.
func (r *Running) Kill() {
	r.entry.Abort()
	r.stopOnce.Do(r.stop)
	<-r.done
}

// Close stops all entry VMs and stand-ins.
func (t *Town) Close() {
	var group sync.WaitGroup
	for _, r := range t.Entries {
		group.Go(r.Stop)
	}
	group.Wait()
	t.Site.Close()
}

// Callers returns the addresses at which the entry VMs accept requests of
// callers.
func (t *Town) Callers() []string {
	var addresses []string
	for _, r := range t.Entries {
		addresses = append(addresses, r.Caller)
	}
	return addresses
}

// Client returns a client for the operator address of the entry VM.
func (r *Running) Client() *client.Client { return client.New([]string{r.Operator}) }

// Apply applies a class document through the first entry VM.
func (t *Town) Apply(ctx context.Context, text string) (operator.Change, error) {
	var change operator.Change
	_, err := t.Entries[0].Client().Post(ctx, "/v1/classes", operator.ApplyRequest{
		Text:   text,
		Author: "town",
	}, &change)
	return change, err
}

// AwaitReady waits until every entry VM is ready, the cell of every zone has an
// owner, and every endpoint slot is assigned to an entry VM. An entry VM may have
// no slots.
func (t *Town) AwaitReady(ctx context.Context) error {
	return Await(ctx, readyTimeout, "entry VMs ready", func() bool {
		slots := map[string]int{}
		for _, r := range t.Entries {
			var status operator.Status
			if r.Client().Get(ctx, "/v1/status", &status) != nil || !status.Ready {
				return false
			}
			if len(status.Cells) < len(t.layout.Zones) || len(status.View) < t.entriesIn(r.Zone) {
				return false
			}
			slots[r.Zone] += status.Slots
		}
		for _, owned := range slots {
			if owned != t.layout.EndpointsPerZone*t.layout.Slots {
				return false
			}
		}
		return true
	})
}

func (t *Town) entriesIn(zone string) int {
	n := 0
	for _, r := range t.Entries {
		if r.Zone == zone {
			n++
		}
	}
	return n
}

// Await polls condition until it returns true. It returns an error with code
// NotReady if that takes longer than timeout or ctx ends.
func Await(ctx context.Context, timeout time.Duration, description string, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return result.New(result.NotReady, "%s: condition not met within %s", description, timeout)
		}
		time.Sleep(pollInterval)
	}
	return nil
}
