// Package table states what the scheduler of staged jobs needs from a durable,
// transactional table, whatever platform provides it.
//
// Rows lie in tables, and in parts within a table. A transaction touches one
// part, in any tables. A single counter numbers all transactions; a row's
// version is the number of the one that last wrote it, and a row that does not
// exist has version 0.
//
// # Usage
//
//	verdict, err := store.Commit(ctx, table.Txn{
//		Part:   "cell",
//		Checks: []table.Check{{Table: "owner", Key: "0", Version: seen}},
//		Puts:   []table.Put{{Table: "owner", Key: "0", Value: row}},
//	})
//	switch {
//	case errors.Is(err, table.ErrUnknown): // it may have been or yet be done
//	case err != nil:                       // nothing was done
//	case !verdict.Committed:               // verdict.Conflicts tells why
//	}
package table

import (
	"context"
	"errors"

	"marjoramstack/pkg/clock"
)

// Errors of a Store. Any other error means that nothing was done.
var (
	// ErrUnknown means that no answer came: the call may have been carried out,
	// or may yet be.
	ErrUnknown = errors.New("outcome unknown")
	// ErrHistoryLost means that changes can't be followed from the version
	// given: the table has to be read again.
	ErrHistoryLost = errors.New("history lost")
)

// Row is a row as it was read. Removed rows come only from Follow.
type Row struct {
	Part    string
	Key     string
	Value   []byte
	Version uint64
	Removed bool
}

// Check is a condition of a transaction: the row must have the version.
type Check struct {
	Table   string
	Key     string
	Version uint64
}

// Put writes a row.
type Put struct {
	Table string
	Key   string
	Value []byte
}

// Remove names a row to be removed.
type Remove struct {
	Table string
	Key   string
}

// Txn is a transaction on rows of one part: if every check holds, all of it
// takes effect at once, else nothing does.
type Txn struct {
	Part    string
	Checks  []Check
	Puts    []Put
	Removes []Remove
}

// Verdict is the answer to a transaction. Version is that of all rows put.
// Conflicts are the present rows named in its checks, if one did not hold.
type Verdict struct {
	Committed bool
	Version   uint64
	Conflicts []Row
}

// Query selects rows of one part by a range of keys; To is excluded, and empty
// means no end.
type Query struct {
	Table string
	Part  string
	From  string
	To    string
	Limit int
}

// Page is an answer to a Query, in the order of keys, with the table's newest
// version.
type Page struct {
	Rows    []Row
	More    bool
	Version uint64
}

// Changes are the rows of a table that changed after a version, and the version
// to follow on from.
type Changes struct {
	Rows    []Row
	Version uint64
}

// Store is the durable table. It is safe for concurrent use.
type Store interface {
	// Commit carries out a transaction.
	Commit(ctx context.Context, txn Txn) (Verdict, error)
	// List reads rows as of a single moment.
	List(ctx context.Context, query Query) (Page, error)
	// Parts lists the parts of a table.
	Parts(ctx context.Context, table string) ([]string, error)
	// Follow returns the changes after a version, waiting for the first one at
	// most the span given.
	Follow(ctx context.Context, table string, after uint64, wait clock.Span) (Changes, error)
}

// Get reads one row; an absent one has version 0.
func Get(ctx context.Context, store Store, name, part, key string) (Row, error) {
	page, err := store.List(ctx, Query{
		Table: name,
		Part:  part,
		From:  key,
		To:    key + "\x00",
		Limit: 1,
	})
	if err != nil || len(page.Rows) == 0 {
		return Row{}, err
	}
	return page.Rows[0], nil
}
