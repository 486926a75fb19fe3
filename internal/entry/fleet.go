package entry

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"marjoramstack/internal/address"
	"marjoramstack/internal/dispatcher"
	"marjoramstack/internal/follower"
	"marjoramstack/internal/logger"
	"marjoramstack/internal/platform"
)

const (
	fleetInterval = 1 * time.Second
	defaultSlots  = 8
	maxEndpoints  = 100_000
	// maxAmount bounds the processors, accelerators, slots and connections of a VM: the
	// placer and the limiter use memory and time in proportion to them.
	maxAmount = 1 << 16
	maxMemory = 1 << 30 // MB
)

// fleetCache holds the last list of VMs. A VM that a list has shown as leaving stays
// leaving even if a later but stale list shows it as live. This ends when the VM is no
// longer listed or operators return it to service.
type fleetCache struct {
	platform *platform.Client
	log      *slog.Logger
	mu       sync.Mutex
	fleet    platform.Fleet
	tag      string
	loaded   bool // whether a list has been stored
	// listedLeaving holds the VMs that a list has shown as leaving.
	listedLeaving map[string]bool
	// operatorMarked holds the VMs that operators have marked as leaving.
	operatorMarked map[string]bool
	// faults are the faults of the list's entries, by identifier.
	faults logger.Faults
}

func newFleetCache(client *platform.Client, log *slog.Logger) *fleetCache {
	return &fleetCache{
		platform:       client,
		log:            log,
		faults:         logger.Faults{},
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

// set stores a list without the entries that describe no VM to use.
func (f *fleetCache) set(fleet platform.Fleet, tag string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := make(map[string]bool, len(fleet.VMs))
	used := make(map[string]bool, len(fleet.VMs))
	vms := make([]platform.VM, 0, len(fleet.VMs))
	faults := map[string]error{}
	for _, vm := range fleet.VMs {
		listed[vm.ID] = true
		err := checkVM(vm)
		if err == nil && used[vm.ID] {
			err = Error.New("the list has another VM with this identifier")
		}
		if err != nil {
			faults[vm.ID] = err
			continue
		}
		if vm.Leaving {
			f.listedLeaving[vm.ID] = true
		}
		vm.Leaving = f.listedLeaving[vm.ID]
		used[vm.ID] = true
		vms = append(vms, vm)
	}
	if len(fleet.Faults) > 0 {
		faults[""] = errors.Join(fleet.Faults...)
	}
	f.logFaults(faults)
	for id := range f.listedLeaving {
		if !listed[id] {
			delete(f.listedLeaving, id)
		}
	}
	f.fleet = platform.Fleet{VMs: vms}
	f.tag = tag
	f.loaded = true
}

// logFaults logs the faults that are new or have changed since the last list.
func (f *fleetCache) logFaults(faults map[string]error) {
	for id, err := range faults {
		if fault, isNew := f.faults.Record(id, err); isNew {
			f.log.Warn("vm-ignored", "vm", id, "error", fault)
		}
	}
	for id := range f.faults {
		if faults[id] == nil {
			delete(f.faults, id)
		}
	}
}

// checkVM returns an error if an entry of the list describes no VM to use.
func checkVM(vm platform.VM) error {
	if vm.ID == "" {
		return Error.New("a VM has no identifier")
	}
	if err := address.CheckHost(vm.Address); err != nil {
		return Error.Wrap(err)
	}
	for _, amount := range []int{vm.Processors, vm.Accelerators, vm.Slots, vm.Connections} {
		if amount < 0 || amount > maxAmount {
			return Error.New("an amount is %d, expected 0 to %d", amount, maxAmount)
		}
	}
	if vm.Memory < 0 || vm.Memory > maxMemory {
		return Error.New("memory-mb is %d, expected 0 to %d", vm.Memory, maxMemory)
	}
	return nil
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
