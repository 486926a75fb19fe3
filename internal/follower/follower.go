// Package follower holds the current configuration of one process.
//
// The configuration is a sequence of versions, the newest of which is stored in the
// head row of the platform's table. A Follower accepts versions from the platform and
// from peers, and never reverts to an older one. Components that depend on the
// configuration subscribe to its changes.
//
// # Usage
//
//	f := follower.New()
//	f.Subscribe(func(s *follower.Snapshot) { ... })
//	changed, err := f.Offer(state)
//	if snap := f.Current(); snap != nil { class, ok := snap.Document().Class("quote") }
package follower

import (
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/zeebo/errs"

	"marjoramstack/internal/platform"
	"marjoramstack/pkg/document"
)

// Error is the class of this package's errors.
var Error = errs.Class("follower")

// HeadKey is the table key of the newest configuration.
const HeadKey = "config/head"

// HistoryPrefix is the table prefix under which every version is stored.
const HistoryPrefix = "config/version/"

// State is one version of the configuration as stored in the table and sent between
// peers.
// RowVersion is the table version of the head row that held it.
type State struct {
	Txn          string           `json:"txn"`
	Version      uint64           `json:"version"`
	RowVersion   platform.Version `json:"row,omitempty"`
	Text         string           `json:"text"`
	ZonesLeaving []string         `json:"zones-leaving,omitempty"`
	VMsLeaving   []string         `json:"vms-leaving,omitempty"`
	Author       string           `json:"author,omitempty"`
	Change       string           `json:"change,omitempty"`
	At           int64            `json:"at,omitempty"`
}

// FromRow decodes the state stored in the head row.
func FromRow(row platform.Row) (State, error) {
	var s State
	if err := json.Unmarshal(row.Value, &s); err != nil {
		return State{}, Error.Wrap(err)
	}
	s.RowVersion = row.Version
	return s, nil
}

// Snapshot is a parsed version of the configuration. It is immutable.
type Snapshot struct {
	state        State
	document     *document.Document
	leavingZones map[string]bool
	leavingVMs   map[string]bool
}

// State returns the state from which the snapshot was made.
func (s *Snapshot) State() State { return s.state }

// Version returns the number of the version.
func (s *Snapshot) Version() uint64 { return s.state.Version }

// Document returns the class document.
func (s *Snapshot) Document() *document.Document { return s.document }

// ZoneLeaving reports whether operators have taken the availability zone out of
// service.
func (s *Snapshot) ZoneLeaving(zone string) bool { return s.leavingZones[zone] }

// VMLeaving reports whether operators have marked the VM as leaving.
func (s *Snapshot) VMLeaving(id string) bool { return s.leavingVMs[id] }

// ZonesLeaving returns the set of availability zones taken out of service. The caller
// must not modify it.
func (s *Snapshot) ZonesLeaving() map[string]bool { return s.leavingZones }

// VMsLeaving returns the set of VMs marked as leaving. The caller must not modify it.
func (s *Snapshot) VMsLeaving() map[string]bool { return s.leavingVMs }

// NewSnapshot parses and validates the class document of a state.
func NewSnapshot(state State) (*Snapshot, error) {
	doc, err := document.Parse([]byte(state.Text))
	if err != nil {
		return nil, err
	}
	return &Snapshot{
		state:        state,
		document:     doc,
		leavingZones: toSet(state.ZonesLeaving),
		leavingVMs:   toSet(state.VMsLeaving),
	}, nil
}

func toSet(names []string) map[string]bool {
	m := make(map[string]bool, len(names))
	for _, n := range names {
		m[n] = true
	}
	return m
}

// Follower holds the newest version that this process has received. It is safe for
// concurrent use.
type Follower struct {
	mu          sync.Mutex
	current     atomic.Pointer[Snapshot]
	subscribers []func(*Snapshot)
}

// New returns a Follower without a configuration.
func New() *Follower { return &Follower{} }

// Current returns the current configuration, or nil if none has been received.
func (f *Follower) Current() *Snapshot { return f.current.Load() }

// Version returns the number of the current version, 0 if there is none.
func (f *Follower) Version() uint64 {
	if s := f.Current(); s != nil {
		return s.Version()
	}
	return 0
}

// Subscribe calls fn with the current version, if there is one, and then with every
// later version in order. Calls are made while a lock is held, so fn must not call
// Subscribe or Offer.
func (f *Follower) Subscribe(fn func(*Snapshot)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers = append(f.subscribers, fn)
	if s := f.Current(); s != nil {
		fn(s)
	}
}

// Offer makes a state the current one if it is newer, and reports whether it did. A
// state that is older or equal is ignored, whatever its source.
func (f *Follower) Offer(state State) (bool, error) {
	if state.Version <= f.Version() {
		return false, nil
	}
	snap, err := f.buildSnapshot(state)
	if err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if state.Version <= f.Version() {
		return false, nil
	}
	f.current.Store(snap)
	for _, fn := range f.subscribers {
		fn(snap)
	}
	return true, nil
}

// buildSnapshot returns the snapshot of a state. It reuses the parsed document if the
// text is unchanged, as it is in most new versions.
func (f *Follower) buildSnapshot(state State) (*Snapshot, error) {
	current := f.Current()
	if current == nil || current.state.Text != state.Text {
		return NewSnapshot(state)
	}
	return &Snapshot{
		state:        state,
		document:     current.document,
		leavingZones: toSet(state.ZonesLeaving),
		leavingVMs:   toSet(state.VMsLeaving),
	}, nil
}
