package entry

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"marjoramstack/internal/follower"
	"marjoramstack/internal/platform"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/result"
)

const (
	followLook   = 100 * time.Millisecond
	leadEvery    = 500 * clock.Millisecond
	restEvery    = 5 * clock.Second
	fetchTimeout = 2 * time.Second
	acceptWithin = 5 * clock.Second
	acceptLook   = 100 * time.Millisecond
	heardWithin  = 3 * clock.Second
)

// followLoop reads the head of the configuration: often if this entry VM is the
// first of its availability zone, now and then if another is.
func (e *Entry) followLoop(ctx context.Context) {
	var last clock.Time
	every(ctx, followLook, func() {
		now := e.clock.Now()
		wait := restEvery
		if e.leads() || e.follower.Current() == nil {
			wait = leadEvery
		}
		if now.Sub(last) < wait {
			return
		}
		last = now
		e.readConfig(ctx)
	})
}

// leads reports whether this entry VM is the one of its zone that follows the
// platform for the others.
func (e *Entry) leads() bool {
	for _, p := range e.mesh.Peers() {
		if p.Member.Zone == e.set.Zone && p.Silent < heardWithin && p.Member.ID < e.id {
			return false
		}
	}
	return true
}

func (e *Entry) readConfig(ctx context.Context) {
	sent := e.clock.Now()
	row, err := e.platform.Get(ctx, follower.HeadKey)
	if err != nil {
		return
	}
	e.confirmed.Store(int64(sent))
	if row.Version == 0 {
		return
	}
	state, err := follower.FromRow(row)
	if err != nil {
		e.log.Error("configuration-unreadable", "error", err.Error())
		return
	}
	e.offer(state, "platform")
}

func (e *Entry) offer(state follower.State, from string) {
	changed, err := e.follower.Offer(state)
	if err != nil {
		e.log.Error("configuration-refused", "version", state.Version, "from", from, "error", err.Error())
		return
	}
	if changed {
		e.log.Info("configuration-in-force", "version", state.Version, "from", from, "change", state.Change)
		e.mesh.HeartbeatNow()
	}
}

// configured brings what depends on the configuration up to date.
func (e *Entry) configured(snap *follower.Snapshot) {
	if snap.VMLeaving(e.set.VM) {
		e.log.Warn("marked-as-leaving", "vm", e.id)
	}
	e.fleet.configured(snap)
	e.updateStations(snap)
}

// fetchFrom takes configuration and list of VMs from a peer that has newer
// ones, or any while this entry VM has none.
func (e *Entry) fetchFrom(id string) {
	if !e.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer e.fetching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		reply, err := e.mesh.Fetch(ctx, id)
		if err != nil {
			return
		}
		e.takeFetched(id, reply.GetConfig(), reply.GetFleet())
	}()
}

func (e *Entry) takeFetched(id string, config, fleet []byte) {
	var vms platform.Fleet
	if _, ok := e.fleet.current(); !ok && len(fleet) > 0 && json.Unmarshal(fleet, &vms) == nil {
		e.fleet.set(vms, "")
		e.log.Info("fleet-from-peer", "peer", id, "vms", len(vms.VMs))
	}
	var state follower.State
	if len(config) > 0 && json.Unmarshal(config, &state) == nil {
		e.offer(state, id)
	}
}

// lacking returns the availability zones that do not have the version in force
// as far as this entry VM knows, each with the reason.
func (e *Entry) lacking(version uint64) map[string]string {
	snap := e.follower.Current()
	if snap == nil {
		return nil
	}
	lacking := map[string]string{}
	for _, zone := range snap.Document().Zones {
		if reason := e.zoneLacks(zone, version); reason != "" {
			lacking[zone] = reason
		}
	}
	return lacking
}

func (e *Entry) zoneLacks(zone string, version uint64) string {
	heard := 0
	if zone == e.set.Zone {
		heard++
		if e.follower.Version() < version {
			return e.id + " has an older version"
		}
	}
	for _, p := range e.mesh.Peers() {
		if p.Member.Zone != zone || p.Status.Leaving {
			continue
		}
		if p.Silent > heardWithin {
			if zone == e.set.Zone {
				return p.Member.ID + " is not heard"
			}
			continue
		}
		heard++
		if p.Status.Version < version {
			return p.Member.ID + " has an older version"
		}
	}
	if heard == 0 {
		return "no entry VM of it is heard"
	}
	return ""
}

// awaitInForce waits until no availability zone lacks the version, for a
// bounded time, and returns those that still do.
func (e *Entry) awaitInForce(ctx context.Context, version uint64) map[string]string {
	began := e.clock.Now()
	for {
		lacking := e.lacking(version)
		if len(lacking) == 0 || e.clock.Now().Sub(began) >= acceptWithin {
			return lacking
		}
		e.mesh.HeartbeatNow()
		timer := time.NewTimer(acceptLook)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return lacking
		}
	}
}

// Ready reports why this entry VM cannot serve yet, or nil.
func (e *Entry) Ready() error {
	if e.leaving.Load() {
		return result.New(result.ShuttingDown, "this entry VM is leaving")
	}
	if e.follower.Current() == nil {
		return result.New(result.NotReady, "no configuration yet")
	}
	if _, ok := e.fleet.current(); !ok {
		return result.New(result.NotReady, "no list of VMs yet")
	}
	return nil
}

// markedLeaving reports whether this entry VM gives up its cells.
func (e *Entry) markedLeaving() bool {
	snap := e.follower.Current()
	return e.leaving.Load() || (snap != nil && snap.VMLeaving(e.set.VM))
}

func zonesOf(snap *follower.Snapshot) []string {
	zones := slices.Clone(snap.Document().Zones)
	slices.Sort(zones)
	return zones
}
