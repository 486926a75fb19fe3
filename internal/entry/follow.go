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
	followLoopInterval    = 100 * time.Millisecond
	leaderReadInterval    = 500 * clock.Millisecond
	nonLeaderReadInterval = 5 * clock.Second
	fetchTimeout          = 2 * time.Second
	inForceTimeout        = 5 * clock.Second
	inForcePollInterval   = 100 * time.Millisecond
	maxHeartbeatAge       = 3 * clock.Second
)

// followLoop reads the head of the configuration: every leaderReadInterval if this
// entry VM is the leader of its availability zone or has no configuration yet, and
// every nonLeaderReadInterval otherwise.
func (e *Entry) followLoop(ctx context.Context) {
	var last clock.Time
	every(ctx, followLoopInterval, func() {
		now := e.clock.Now()
		wait := nonLeaderReadInterval
		if e.isZoneLeader() || e.follower.Current() == nil {
			wait = leaderReadInterval
		}
		if now.Sub(last) < wait {
			return
		}
		last = now
		e.readConfig(ctx)
	})
}

// isZoneLeader reports whether this entry VM has the smallest identifier of those in
// its zone with recent heartbeats. The leader polls the platform often on behalf of
// the others.
func (e *Entry) isZoneLeader() bool {
	for _, p := range e.mesh.Peers() {
		if p.Member.Zone == e.settings.Zone && p.Silent < maxHeartbeatAge && p.Member.ID < e.id {
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
	e.applyConfig(state, "platform")
}

func (e *Entry) applyConfig(state follower.State, from string) {
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

// configChanged updates the state that depends on the configuration.
func (e *Entry) configChanged(snap *follower.Snapshot) {
	if snap.VMLeaving(e.settings.VM) {
		e.log.Warn("marked-as-leaving", "vm", e.id)
	}
	e.fleet.configChanged(snap)
	e.updateEndpoints(snap)
}

// fetchFrom fetches the configuration and the list of VMs from a peer in the
// background: from one with a newer configuration, or from any while this entry VM
// has no list of VMs. It does nothing while another fetch is in progress.
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
		e.applyFetched(id, reply.GetConfig(), reply.GetFleet())
	}()
}

// applyFetched applies a peer's configuration, and its list of VMs if this entry VM
// has none.
func (e *Entry) applyFetched(id string, config, fleet []byte) {
	var vms platform.Fleet
	if _, ok := e.fleet.current(); !ok && len(fleet) > 0 && json.Unmarshal(fleet, &vms) == nil {
		e.fleet.set(vms, "")
		e.log.Info("fleet-from-peer", "peer", id, "vms", len(vms.VMs))
	}
	var state follower.State
	if len(config) > 0 && json.Unmarshal(config, &state) == nil {
		e.applyConfig(state, id)
	}
}

// outdatedZones returns the availability zones in which, as far as this entry VM
// knows, the version is not in force, each with the reason.
func (e *Entry) outdatedZones(version uint64) map[string]string {
	snap := e.follower.Current()
	if snap == nil {
		return nil
	}
	outdated := map[string]string{}
	for _, zone := range snap.Document().Zones {
		if reason := e.whyOutdated(zone, version); reason != "" {
			outdated[zone] = reason
		}
	}
	return outdated
}

// whyOutdated returns why the version is not in force in a zone, or "" if it is.
func (e *Entry) whyOutdated(zone string, version uint64) string {
	live := 0
	if zone == e.settings.Zone {
		live++
		if e.follower.Version() < version {
			return e.id + " has an older version"
		}
	}
	for _, p := range e.mesh.Peers() {
		if p.Member.Zone != zone || p.Status.Leaving {
			continue
		}
		if p.Silent > maxHeartbeatAge {
			if zone == e.settings.Zone {
				return p.Member.ID + " has sent no recent heartbeat"
			}
			continue
		}
		live++
		if p.Status.Version < version {
			return p.Member.ID + " has an older version"
		}
	}
	if live == 0 {
		return "no recent heartbeat from any entry VM of the zone"
	}
	return ""
}

// awaitInForce waits for at most inForceTimeout until the version is in force in every
// availability zone. It returns the zones in which it is not, each with the reason.
func (e *Entry) awaitInForce(ctx context.Context, version uint64) map[string]string {
	began := e.clock.Now()
	for {
		outdated := e.outdatedZones(version)
		if len(outdated) == 0 || e.clock.Now().Sub(began) >= inForceTimeout {
			return outdated
		}
		e.mesh.HeartbeatNow()
		timer := time.NewTimer(inForcePollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return outdated
		}
	}
}

// Ready returns why this entry VM cannot serve callers, or nil if it can.
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

// markedLeaving reports whether this entry VM is shutting down or is marked as leaving
// in the configuration. It then releases its cells.
func (e *Entry) markedLeaving() bool {
	snap := e.follower.Current()
	return e.leaving.Load() || (snap != nil && snap.VMLeaving(e.settings.VM))
}

func sortedZones(snap *follower.Snapshot) []string {
	zones := slices.Clone(snap.Document().Zones)
	slices.Sort(zones)
	return zones
}
