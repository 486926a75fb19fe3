package planner

import "marjoramstack/internal/address"

// Limits of a worker's description. The owner of a cell sums the capacities of workers, and
// stores the texts again in its record of the worker: there, a byte can take six.
const (
	maxCapacity  = 1 << 30 // of each resource
	maxTextBytes = 4096    // of all texts, with textOverhead bytes for each label
	textOverhead = 3
)

// Check returns an error if the worker has no identifier, no pool, no address of one host, or a
// value beyond the limits. Such a worker must not be used.
func (w Worker) Check() error {
	if w.ID == "" || w.Pool == "" {
		return Error.New("the worker has no identifier or no pool")
	}
	if err := address.CheckHost(w.Address); err != nil {
		return Error.Wrap(err)
	}
	for _, amount := range []int{w.Capacity.Processors, w.Capacity.Memory, w.Capacity.Accelerators} {
		if amount < 0 || amount > maxCapacity {
			return Error.New("capacity is %d, expected 0 to %d", amount, maxCapacity)
		}
	}
	texts := len(w.Pool) + len(w.Zone) + len(w.Machine)
	for _, label := range w.Labels {
		texts += len(label) + textOverhead
	}
	if texts > maxTextBytes {
		return Error.New("pool, zone, VM and labels have %d bytes, expected at most %d", texts, maxTextBytes)
	}
	return nil
}
