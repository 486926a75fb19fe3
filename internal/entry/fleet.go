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
	fleetEvery     = 1 * time.Second
	defaultSlots   = 8
	stationsAtMost = 100_000
)

// fleetKeeper holds the last list of VMs. A VM that the list has called leaving
// stays so although a later, staler list calls it live, until it is off the
// list or operators take it in again.
type fleetKeeper struct {
	platform *platform.Client
	mu       sync.Mutex
	fleet    platform.Fleet
	tag      string
	known    bool
	sticky   map[string]bool
	marked   map[string]bool
}

func newFleetKeeper(client *platform.Client) *fleetKeeper {
	return &fleetKeeper{
		platform: client,
		sticky:   map[string]bool{},
		marked:   map[string]bool{},
	}
}

// read asks the platform for the list and reports whether it has changed.
func (f *fleetKeeper) read(ctx context.Context) bool {
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

func (f *fleetKeeper) set(fleet platform.Fleet, tag string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := make(map[string]bool, len(fleet.VMs))
	vms := make([]platform.VM, len(fleet.VMs))
	for i, vm := range fleet.VMs {
		listed[vm.ID] = true
		if vm.Leaving {
			f.sticky[vm.ID] = true
		}
		vm.Leaving = f.sticky[vm.ID]
		vms[i] = vm
	}
	for id := range f.sticky {
		if !listed[id] {
			delete(f.sticky, id)
		}
	}
	f.fleet = platform.Fleet{VMs: vms}
	f.tag = tag
	f.known = true
}

// configured lets operators take a VM in again that the list had called
// leaving.
func (f *fleetKeeper) configured(snap *follower.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.marked {
		if !snap.VMLeaving(id) {
			delete(f.sticky, id)
			f.tag = ""
		}
	}
	f.marked = snap.VMsLeaving()
}

// current returns the list; ok is false if none has been seen.
func (f *fleetKeeper) current() (platform.Fleet, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fleet, f.known
}

func (f *fleetKeeper) vm(id string) (platform.VM, bool) {
	fleet, _ := f.current()
	for _, vm := range fleet.VMs {
		if vm.ID == id {
			return vm, true
		}
	}
	return platform.VM{}, false
}

func (e *Entry) fleetLoop(ctx context.Context) {
	every(ctx, fleetEvery, func() {
		if e.fleet.read(ctx) {
			if snap := e.follower.Current(); snap != nil {
				e.updateStations(snap)
			}
		}
	})
}

// updateStations tells the dispatcher which endpoints of the own zone may get
// new requests.
func (e *Entry) updateStations(snap *follower.Snapshot) {
	fleet, ok := e.fleet.current()
	if !ok {
		return
	}
	var stations []dispatcher.Endpoint
	for _, vm := range fleet.VMs {
		if vm.Kind != platform.KindEndpoint || vm.Zone != e.set.Zone || len(stations) >= stationsAtMost {
			continue
		}
		if vm.Leaving || snap.VMLeaving(vm.ID) || snap.ZoneLeaving(vm.Zone) {
			continue
		}
		slots := vm.Slots
		if slots == 0 {
			slots = defaultSlots
		}
		stations = append(stations, dispatcher.Endpoint{
			ID:      vm.ID,
			Address: vm.Address,
			Slots:   slots,
			Worker:  vm.Host,
		})
	}
	e.dispatcher.Update(stations)
}
