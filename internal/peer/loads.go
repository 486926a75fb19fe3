package peer

import (
	"marjoramstack/internal/peer/peerpb"
	"marjoramstack/internal/scheduler"
	"marjoramstack/internal/worker"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// loadsInterval is the minimum time between two sets of loads sent over one link.
const loadsInterval = 2 * clock.Second

// loadsToSend returns the loads that are newer than those the other end of the link
// has, or nil if loadsInterval has not passed. The caller must hold the lock.
func (l *link) loadsToSend(now clock.Time, loads []scheduler.Load) []*peerpb.CellLoad {
	if now.Sub(l.loadsSentAt) < loadsInterval {
		return nil
	}
	l.loadsSentAt = now
	var list []*peerpb.CellLoad
	for _, load := range loads {
		if known, ok := l.peerLoads[load.Cell]; ok && !load.Newer(known) {
			continue
		}
		l.peerLoads[load.Cell] = load
		list = append(list, ToLoad(load))
	}
	return list
}

// recordLoads records loads received over the link, so that they are not sent back.
// The caller must hold the lock.
func (l *link) recordLoads(loads []scheduler.Load) {
	for _, load := range loads {
		if known, ok := l.peerLoads[load.Cell]; !ok || load.Newer(known) {
			l.peerLoads[load.Cell] = load
		}
	}
}

// ToLoad converts a load to its message in the protocol between entry VMs.
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
