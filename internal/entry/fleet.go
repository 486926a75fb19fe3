package entry

import (
	"context"
	"sync"
	"time"

	"marjoramstack/internal/dispatcher"
	"marjoramstack/internal/follower"
	"marjoramstack/internal/platform"
)

const (
	fleetInterval = 1 * time.Second
	defaultSlots  = 8
	maxEndpoints  = 100_000
)

// fleetCache holds the last list of VMs. A VM that a list has shown as leaving stays
// leaving even if a later but stale list shows it as live. This ends when the VM is no
// longer listed or operators return it to service.
type fleetCache struct {
	platform *platform.Client
	mu       sync.Mutex
	fleet    platform.Fleet
	tag      string
	loaded   bool // whether a list has been stored
	// listedLeaving holds the VMs that a list has shown as leaving.
	listedLeaving map[string]bool
	// operatorMarked holds the VMs that operators have marked as leaving.
	operatorMarked map[string]bool
}

func newFleetCache(client *platform.Client) *fleetCache {
	return &fleetCache{
		platform:       client,
		listedLeaving:  map[string]bool{},
		operatorMarked: map[string]bool{},
	}
}

// read fetches the list from the platform and reports whether it has changed.
func (f *fleetCache) read(ctx context.Context) bool {
	f.mu.Lock()
	tag := f.tag
	f.mu.Unlock()
	fleet, tag, changed, err := f.platform.Fleet(ctx, tag)
	if err != nil || !changed {
		return false
	}
	f.set(fleet, tag)
	return true
}

func (f *fleetCache) set(fleet platform.Fleet, tag string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := make(map[string]bool, len(fleet.VMs))
	vms := make([]platform.VM, len(fleet.VMs))
	for i, vm := range fleet.VMs {
		listed[vm.ID] = true
		if vm.Leaving {
			f.listedLeaving[vm.ID] = true
		}
		vm.Leaving = f.listedLeaving[vm.ID]
		vms[i] = vm
	}
	for id := range f.listedLeaving {
		if !listed[id] {
			delete(f.listedLeaving, id)
		}
	}
	f.fleet = platform.Fleet{VMs: vms}
	f.tag = tag
	f.loaded = true
}

// configChanged clears the leaving state of VMs that operators have returned to
// service. It resets the tag so that the next read fetches the whole list.
func (f *fleetCache) configChanged(snap *follower.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.operatorMarked {
		if !snap.VMLeaving(id) {
			delete(f.listedLeaving, id)
			f.tag = ""
		}
	}
	f.operatorMarked = snap.VMsLeaving()
}

// current returns the list, and false if none has been stored yet.
func (f *fleetCache) current() (platform.Fleet, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fleet, f.loaded
}

func (f *fleetCache) vm(id string) (platform.VM, bool) {
	fleet, _ := f.current()
	for _, vm := range fleet.VMs {
		if vm.ID == id {
			return vm, true
		}
	}
	return platform.VM{}, false
}

func (e *Entry) fleetLoop(ctx context.Context) {
	every(ctx, fleetInterval, func() {
		if e.fleet.read(ctx) {
			if snap := e.follower.Current(); snap != nil {
				e.updateEndpoints(snap)
			}
		}
	})
}

// updateEndpoints passes the dispatcher the endpoints of this zone that may receive
// new requests.
func (e *Entry) updateEndpoints(snap *follower.Snapshot) {
	fleet, ok := e.fleet.current()
	if !ok {
		return
	}
	var endpoints []dispatcher.Endpoint
	for _, vm := range fleet.VMs {
		if vm.Kind != platform.KindEndpoint || vm.Zone != e.settings.Zone || len(endpoints) >= maxEndpoints {
			continue
		}
		if vm.Leaving || snap.VMLeaving(vm.ID) || snap.ZoneLeaving(vm.Zone) {
			continue
		}
		slots := vm.Slots
		if slots == 0 {
			slots = defaultSlots
		}
		endpoints = append(endpoints, dispatcher.Endpoint{
			ID:      vm.ID,
			Address: vm.Address,
			Slots:   slots,
			Worker:  vm.Host,
		})
	}
	e.dispatcher.Update(endpoints)
}
