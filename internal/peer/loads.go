package peer

import (
	"marjoramstack/internal/peer/peerpb"
	"marjoramstack/internal/scheduler"
	"marjoramstack/internal/worker"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// loadsEvery is how often loads are passed on over one link.
const loadsEvery = 2 * clock.Second

// newLoads returns the loads that the other end of a link does not have; its
// caller holds the lock.
func (l *link) newLoads(now clock.Time, loads []scheduler.Load) []*peerpb.CellLoad {
	if now.Sub(l.toldAt) < loadsEvery {
		return nil
	}
	l.toldAt = now
	var list []*peerpb.CellLoad
	for _, load := range loads {
		if known, ok := l.told[load.Cell]; ok && !load.Newer(known) {
			continue
		}
		l.told[load.Cell] = load
		list = append(list, ToLoad(load))
	}
	return list
}

// takeLoads notes what the other end has; its caller holds the lock.
func (l *link) takeLoads(loads []scheduler.Load) {
	for _, load := range loads {
		if known, ok := l.told[load.Cell]; !ok || load.Newer(known) {
			l.told[load.Cell] = load
		}
	}
}

// ToLoad converts a load for the protocol between entry VMs.
func ToLoad(load scheduler.Load) *peerpb.CellLoad {
	return &peerpb.CellLoad{
		Cell:    load.Cell,
		Zone:    load.Zone,
		Owner:   load.Owner,
		Epoch:   uint64(load.Epoch),
		Serial:  load.Serial,
		Total:   toSize(load.Total),
		Free:    toSize(load.Free),
		Wanted:  toSize(load.Wanted),
		Running: int64(load.Running),
		Waiting: int64(load.Waiting),
		Workers: int64(load.Workers),
		Leaving: load.Leaving,
	}
}

func fromLoads(list []*peerpb.CellLoad) []scheduler.Load {
	loads := make([]scheduler.Load, 0, len(list))
	for _, l := range list {
		loads = append(loads, scheduler.Load{
			Cell:    l.GetCell(),
			Zone:    l.GetZone(),
			Owner:   l.GetOwner(),
			Epoch:   worker.Epoch(l.GetEpoch()),
			Serial:  l.GetSerial(),
			Total:   fromSize(l.GetTotal()),
			Free:    fromSize(l.GetFree()),
			Wanted:  fromSize(l.GetWanted()),
			Running: int(l.GetRunning()),
			Waiting: int(l.GetWaiting()),
			Workers: int(l.GetWorkers()),
			Leaving: l.GetLeaving(),
		})
	}
	return loads
}

func toSize(s document.Size) *peerpb.Size {
	return &peerpb.Size{
		Processors:   int64(s.Processors),
		MemoryMb:     int64(s.Memory),
		Accelerators: int64(s.Accelerators),
	}
}

func fromSize(s *peerpb.Size) document.Size {
	return document.Size{
		Processors:   int(s.GetProcessors()),
		Memory:       int(s.GetMemoryMb()),
		Accelerators: int(s.GetAccelerators()),
	}
}
