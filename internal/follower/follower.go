// Package follower keeps the configuration in force in one process.
//
// The configuration is one chain of versions, whose head is a row of the
// platform's table. A Follower takes versions from wherever they come, the
// platform or a peer, and never goes back to an older one. What depends on the
// configuration subscribes to it.
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

// HistoryPrefix is the table prefix under which every version is kept.
const HistoryPrefix = "config/version/"

// State is one version of the configuration as the table and peers carry it.
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

// FromRow reads the state that the head row holds.
func FromRow(row platform.Row) (State, error) {
	var s State
	if err := json.Unmarshal(row.Value, &s); err != nil {
		return State{}, Error.Wrap(err)
	}
	s.RowVersion = row.Version
	return s, nil
}

// Snapshot is a version of the configuration ready for use. It does not
// change.
type Snapshot struct {
	state    State
	document *document.Document
	zones    map[string]bool
	vms      map[string]bool
}

// State returns the version as it was offered.
func (s *Snapshot) State() State { return s.state }

// Version returns the number of the version.
func (s *Snapshot) Version() uint64 { return s.state.Version }

// Document returns the class document.
func (s *Snapshot) Document() *document.Document { return s.document }

// ZoneLeaving reports whether operators have taken the availability zone out.
func (s *Snapshot) ZoneLeaving(zone string) bool { return s.zones[zone] }

// VMLeaving reports whether operators have marked the VM as leaving.
func (s *Snapshot) VMLeaving(id string) bool { return s.vms[id] }

// ZonesLeaving returns the set of availability zones taken out. The caller must
// not change it.
func (s *Snapshot) ZonesLeaving() map[string]bool { return s.zones }

// VMsLeaving returns the set of VMs marked as leaving. The caller must not
// change it.
func (s *Snapshot) VMsLeaving() map[string]bool { return s.vms }

// NewSnapshot checks a state and makes it ready for use.
func NewSnapshot(state State) (*Snapshot, error) {
	doc, err := document.Parse([]byte(state.Text))
	if err != nil {
		return nil, err
	}
	return &Snapshot{
		state:    state,
		document: doc,
		zones:    set(state.ZonesLeaving),
		vms:      set(state.VMsLeaving),
	}, nil
}

func set(names []string) map[string]bool {
	m := make(map[string]bool, len(names))
	for _, n := range names {
		m[n] = true
	}
	return m
}

// Follower holds the newest version that this process has seen. It is safe for
// concurrent use.
type Follower struct {
	mu          sync.Mutex
	current     atomic.Pointer[Snapshot]
	subscribers []func(*Snapshot)
}

// New returns a Follower without a configuration.
func New() *Follower { return &Follower{} }

// Current returns the configuration in force, or nil if none has been seen.
func (f *Follower) Current() *Snapshot { return f.current.Load() }

// Version returns the number of the version in force, 0 if there is none.
func (f *Follower) Version() uint64 {
	if s := f.Current(); s != nil {
		return s.Version()
	}
	return 0
}

// Subscribe has fn called, in order, with every version that comes into force
// from now on, and at once with the present one.
func (f *Follower) Subscribe(fn func(*Snapshot)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers = append(f.subscribers, fn)
	if s := f.Current(); s != nil {
		fn(s)
	}
}

// Offer brings a state into force if it is newer than the present one, and
// reports whether it did. An older or equal one is ignored, whoever sends it.
func (f *Follower) Offer(state State) (bool, error) {
	if state.Version <= f.Version() {
		return false, nil
	}
	snap, err := f.prepare(state)
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

// prepare makes a state ready for use. Most changes leave the document as it
// is, so its reading is saved then.
func (f *Follower) prepare(state State) (*Snapshot, error) {
	present := f.Current()
	if present == nil || present.state.Text != state.Text {
		return NewSnapshot(state)
	}
	return &Snapshot{
		state:    state,
		document: present.document,
		zones:    set(state.ZonesLeaving),
		vms:      set(state.VMsLeaving),
	}, nil
}
