// Package configurer changes the configuration: one version chain in the
// platform's table, moved on by compare-and-set.
//
// A change starts from the present head, or from the version that the operator
// had before them. If another change came first, nothing is written and the
// other change is named. A write whose answer was lost is read back before
// anything is said of it.
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

// Edit is a change of the configuration. The set of edits is sealed.
type Edit interface{ edit() }

// ApplyDocument replaces the class document.
type ApplyDocument struct {
	Text string
}

// LeaveZone takes an availability zone out.
type LeaveZone struct {
	Zone string
}

// ReturnZone takes an availability zone in again.
type ReturnZone struct {
	Zone string
}

// LeaveVM marks a VM as leaving.
type LeaveVM struct {
	VM string
}

// ReturnVM takes the mark off a VM.
type ReturnVM struct {
	VM string
}

func (ApplyDocument) edit() {}
func (LeaveZone) edit()     {}
func (ReturnZone) edit()    {}
func (LeaveVM) edit()       {}
func (ReturnVM) edit()      {}

// Request is a change that an operator asks for. Base is the version that it
// starts from, 0 for whatever is the head.
type Request struct {
	Author string
	Base   uint64
	Edit   Edit
	// KnownVM reports whether the VM is in the platform's list.
	KnownVM func(id string) bool
}

// Configurer changes the configuration. It is safe for concurrent use.
type Configurer struct {
	platform *platform.Client
	clock    clock.Clock
}

// New returns a Configurer.
func New(client *platform.Client, c clock.Clock) *Configurer {
	return &Configurer{
		platform: client,
		clock:    c,
	}
}

// Change makes one change durable and returns the new state. An error with code
// Raced names the change that came first.
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
		return follower.State{}, raced(head)
	}
	next, err := edit(head, request)
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
		return follower.State{}, raced(other)
	}
	next.RowVersion = verdict.Version
	return next, nil
}

func raced(other follower.State) error {
	return result.New(result.Raced, "version %d by %q came first: %s", other.Version, other.Author, other.Change)
}

// HistoryKey is the table key of a version.
func HistoryKey(version uint64) string {
	return fmt.Sprintf("%s%012d", follower.HistoryPrefix, version)
}

// History returns the newest versions, oldest of them first, without their
// documents' texts.
func (c *Configurer) History(ctx context.Context, most int) ([]follower.State, error) {
	row, err := c.platform.Get(ctx, follower.HeadKey)
	if err != nil || row.Version == 0 {
		return nil, err
	}
	head, err := follower.FromRow(row)
	if err != nil {
		return nil, err
	}
	first := uint64(1)
	if head.Version > uint64(most) {
		first = head.Version - uint64(most) + 1
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

func edit(head follower.State, request Request) (follower.State, error) {
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
		next.VMsLeaving = with(next.VMsLeaving, e.VM)
		next.Change = "VM " + e.VM + " leaves"
		return next, nil
	case ReturnVM:
		if !slices.Contains(next.VMsLeaving, e.VM) {
			return next, result.New(result.UnknownVM, "VM %q is not marked as leaving", e.VM)
		}
		next.VMsLeaving = without(next.VMsLeaving, e.VM)
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
		return next, unknownZone(doc, zone)
	}
	next.ZonesLeaving = with(next.ZonesLeaving, zone)
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
		return next, unknownZone(doc, zone)
	}
	next.ZonesLeaving = without(next.ZonesLeaving, zone)
	next.Change = "availability zone " + zone + " returns"
	return next, nil
}

func unknownZone(doc *document.Document, zone string) error {
	return result.New(result.UnknownZone, "got %q, expected one of %s", zone, strings.Join(doc.Zones, ", "))
}

func with(list []string, name string) []string {
	if slices.Contains(list, name) {
		return list
	}
	list = append(list, name)
	slices.Sort(list)
	return list
}

func without(list []string, name string) []string {
	return slices.DeleteFunc(list, func(n string) bool { return n == name })
}
