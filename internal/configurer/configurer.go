// Package configurer changes the configuration, which is stored in the platform's
// table as a sequence of versions and updated by compare-and-set.
//
// A change is based on the current head, or on the version that the operator
// specifies. If another change was committed first, nothing is written and the
// error names the other change. If the response to a write is lost, its outcome is
// determined before Change returns.
//
// # Usage
//
//	c := configurer.New(platformClient, wall)
//	state, err := c.Change(ctx, configurer.Request{
//		Author: "mari",
//		Edit:   configurer.LeaveZone{Zone: "lab"},
//	})
package configurer

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/zeebo/errs"

	"marjoramstack/internal/follower"
	"marjoramstack/internal/platform"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
	"marjoramstack/pkg/result"
)

// Error is the class of this package's errors.
var Error = errs.Class("configurer")

// Edit is a change of the configuration. Only types of this package implement it.
type Edit interface{ edit() }

// ApplyDocument replaces the configuration document.
type ApplyDocument struct {
	Text string
}

// LeaveZone takes an availability zone out of service.
type LeaveZone struct {
	Zone string
}

// ReturnZone returns an availability zone to service.
type ReturnZone struct {
	Zone string
}

// LeaveVM marks a VM as leaving, which drains it.
type LeaveVM struct {
	VM string
}

// ReturnVM removes the leaving mark from a VM.
type ReturnVM struct {
	VM string
}

func (ApplyDocument) edit() {}
func (LeaveZone) edit()     {}
func (ReturnZone) edit()    {}
func (LeaveVM) edit()       {}
func (ReturnVM) edit()      {}

// Request is a change requested by an operator. Base is the version that the change
// is based on; 0 means the current head.
type Request struct {
	Author string
	Base   uint64
	Edit   Edit
	// KnownVM reports whether the VM is in the platform's list. If it is nil, any
	// VM can be marked as leaving.
	KnownVM func(id string) bool
}

// Configurer changes the configuration. It is safe for concurrent use.
type Configurer struct {
	platform *platform.Client
	clock    clock.Clock
}

// New returns a Configurer that stores the configuration with client.
func New(client *platform.Client, c clock.Clock) *Configurer {
	return &Configurer{
		platform: client,
		clock:    c,
	}
}

// Change commits one change and returns the new state. If another change was
// committed first, the error has code Raced and names that change.
func (c *Configurer) Change(ctx context.Context, request Request) (follower.State, error) {
	row, err := c.platform.Get(ctx, follower.HeadKey)
	if err != nil {
		return follower.State{}, err
	}
	head := follower.State{}
	if row.Version != 0 {
		if head, err = follower.FromRow(row); err != nil {
			return follower.State{}, err
		}
	}
	if request.Base != 0 && request.Base != head.Version {
		return follower.State{}, racedError(head)
	}
	next, err := applyEdit(head, request)
	if err != nil {
		return follower.State{}, err
	}
	next.Version = head.Version + 1
	next.RowVersion = 0
	next.Author = request.Author
	next.At = int64(c.clock.Now())
	next.Txn = fmt.Sprintf("config-%d-%s-%d", next.Version, request.Author, next.At)
	return c.write(ctx, row, next)
}

func (c *Configurer) write(ctx context.Context, row platform.Row, next follower.State) (follower.State, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return follower.State{}, Error.Wrap(err)
	}
	verdict, err := c.platform.Commit(ctx, platform.Txn{
		ID: next.Txn,
		Checks: []platform.Check{{
			Key:     follower.HeadKey,
			Version: row.Version,
		}},
		Puts: []platform.Row{
			{
				Key:   follower.HeadKey,
				Value: value,
			},
			{
				Key:   HistoryKey(next.Version),
				Value: value,
			},
		},
	})
	if err != nil {
		return follower.State{}, err
	}
	if !verdict.Committed {
		other, err := follower.FromRow(verdict.Conflicts[0])
		if err != nil {
			return follower.State{}, err
		}
		return follower.State{}, racedError(other)
	}
	next.RowVersion = verdict.Version
	return next, nil
}

func racedError(other follower.State) error {
	return result.New(result.Raced, "version %d by %q came first: %s", other.Version, other.Author, other.Change)
}

// HistoryKey returns the table key of a version of the configuration.
func HistoryKey(version uint64) string {
	return fmt.Sprintf("%s%012d", follower.HistoryPrefix, version)
}

// History returns the newest versions, at most limit, in ascending order and
// without the text of their documents.
func (c *Configurer) History(ctx context.Context, limit int) ([]follower.State, error) {
	row, err := c.platform.Get(ctx, follower.HeadKey)
	if err != nil || row.Version == 0 {
		return nil, err
	}
	head, err := follower.FromRow(row)
	if err != nil {
		return nil, err
	}
	first := uint64(1)
	if head.Version > uint64(limit) {
		first = head.Version - uint64(limit) + 1
	}
	var keys []string
	for v := first; v <= head.Version; v++ {
		keys = append(keys, HistoryKey(v))
	}
	rows, err := c.platform.Read(ctx, platform.Query{Keys: keys})
	if err != nil {
		return nil, err
	}
	var states []follower.State
	for _, r := range rows {
		s, err := follower.FromRow(r)
		if err != nil {
			return nil, err
		}
		s.Text = ""
		states = append(states, s)
	}
	return states, nil
}

// applyEdit returns the state after the edit, or an error if the edit is invalid.
func applyEdit(head follower.State, request Request) (follower.State, error) {
	next := head
	next.ZonesLeaving = slices.Clone(head.ZonesLeaving)
	next.VMsLeaving = slices.Clone(head.VMsLeaving)
	if apply, ok := request.Edit.(ApplyDocument); ok {
		return applyDocument(next, apply)
	}
	if head.Version == 0 {
		return next, result.New(result.NotReady, "no document has been applied yet")
	}
	doc, err := document.Parse([]byte(head.Text))
	if err != nil {
		return next, err
	}
	switch e := request.Edit.(type) {
	case LeaveZone:
		return leaveZone(next, doc, e.Zone)
	case ReturnZone:
		return returnZone(next, doc, e.Zone)
	case LeaveVM:
		if request.KnownVM != nil && !request.KnownVM(e.VM) {
			return next, result.New(result.UnknownVM, "VM %q is not in the platform's list", e.VM)
		}
		next.VMsLeaving = insert(next.VMsLeaving, e.VM)
		next.Change = "VM " + e.VM + " leaves"
		return next, nil
	case ReturnVM:
		if !slices.Contains(next.VMsLeaving, e.VM) {
			return next, result.New(result.UnknownVM, "VM %q is not marked as leaving", e.VM)
		}
		next.VMsLeaving = remove(next.VMsLeaving, e.VM)
		next.Change = "VM " + e.VM + " returns"
		return next, nil
	}
	return next, result.New(result.Internal, "unknown edit")
}

func applyDocument(next follower.State, apply ApplyDocument) (follower.State, error) {
	doc, err := document.Parse([]byte(apply.Text))
	if err != nil {
		return next, err
	}
	serving := 0
	for _, z := range doc.Zones {
		if !slices.Contains(next.ZonesLeaving, z) {
			serving++
		}
	}
	if serving == 0 {
		return next, result.New(result.EveryZoneLeaving, "every availability zone of the document is leaving")
	}
	next.Text = apply.Text
	next.Change = "document applied: " + strings.Join(classNames(doc), ", ")
	return next, nil
}

func classNames(doc *document.Document) []string {
	names := make([]string, 0, len(doc.Classes))
	for _, c := range doc.Classes {
		names = append(names, c.Name)
	}
	return names
}

func leaveZone(next follower.State, doc *document.Document, zone string) (follower.State, error) {
	if !doc.HasZone(zone) {
		return next, unknownZoneError(doc, zone)
	}
	next.ZonesLeaving = insert(next.ZonesLeaving, zone)
	for _, z := range doc.Zones {
		if !slices.Contains(next.ZonesLeaving, z) {
			next.Change = "availability zone " + zone + " leaves"
			return next, nil
		}
	}
	return next, result.New(result.EveryZoneLeaving, "availability zone %q is the last one in service", zone)
}

func returnZone(next follower.State, doc *document.Document, zone string) (follower.State, error) {
	if !doc.HasZone(zone) {
		return next, unknownZoneError(doc, zone)
	}
	next.ZonesLeaving = remove(next.ZonesLeaving, zone)
	next.Change = "availability zone " + zone + " returns"
	return next, nil
}

func unknownZoneError(doc *document.Document, zone string) error {
	return result.New(result.UnknownZone, "got %q, expected one of %s", zone, strings.Join(doc.Zones, ", "))
}

// insert adds name to a sorted list unless the list contains it.
func insert(list []string, name string) []string {
	if slices.Contains(list, name) {
		return list
	}
	list = append(list, name)
	slices.Sort(list)
	return list
}

func remove(list []string, name string) []string {
	return slices.DeleteFunc(list, func(n string) bool { return n == name })
}
