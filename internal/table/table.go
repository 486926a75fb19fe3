// Package table defines the durable, transactional table that the scheduler of staged
// jobs requires, independent of the platform that provides it. It also provides hedged
// calls.
//
// A table is divided into parts. A transaction may cover several tables, but only one
// part. A single counter numbers all transactions; a row's version is the number of
// the transaction that last wrote it, and a row that does not exist has version 0.
//
// # Usage
//
//	verdict, err := store.Commit(ctx, table.Txn{
//		Part:   "cell",
//		Checks: []table.Check{{Table: "owner", Key: "0", Version: seen}},
//		Puts:   []table.Put{{Table: "owner", Key: "0", Value: row}},
//	})
//	switch {
//	case errors.Is(err, table.ErrUnknown): // it may have committed or may still commit
//	case err != nil:                       // it did not commit
//	case !verdict.Committed:               // a check failed, see verdict.Conflicts
//	}
package table

import (
	"context"
	"errors"

	"marjoramstack/pkg/clock"
)

// Errors of a Store. Any other error means that the call had no effect.
var (
	// ErrUnknown means that no response was received: the call may have been
	// carried out, or may still be.
	ErrUnknown = errors.New("outcome unknown")
	// ErrHistoryLost means that the store no longer has the changes after the given
	// version: the whole table must be read again.
	ErrHistoryLost = errors.New("history lost")
)

// Row is a row as read from a Store. Only Follow returns removed rows.
type Row struct {
	Part    string
	Key     string
	Value   []byte
	Version uint64
	Removed bool
}

// Check is a condition of a transaction: the row must have the given version, or must
// not exist if Version is 0.
type Check struct {
	Table   string
	Key     string
	Version uint64
}

// Put inserts or replaces a row.
type Put struct {
	Table string
	Key   string
	Value []byte
}

// Remove deletes a row.
type Remove struct {
	Table string
	Key   string
}

// Txn is a transaction on rows of one part. If every check passes, all puts and removes
// take effect atomically; otherwise none does.
type Txn struct {
	Part    string
	Checks  []Check
	Puts    []Put
	Removes []Remove
}

// Verdict is the result of a transaction. Version is the version of all rows written. If
// a check failed, Conflicts are the existing rows named in the checks, as they are now.
type Verdict struct {
	Committed bool
	Version   uint64
	Conflicts []Row
}

// Query selects rows of one part by key, from From up to but excluding To; an empty To
// means no upper bound. Limit, if positive, is the maximum number of rows in the page.
type Query struct {
	Table string
	Part  string
	From  string
	To    string
	Limit int
}

// Page is the result of a Query: its rows in order of their keys, whether more rows
// follow, and the newest version of the table.
type Page struct {
	Rows    []Row
	More    bool
	Version uint64
}

// Changes are the rows of a table that changed after a version, and the version to pass
// to the next call of Follow.
type Changes struct {
	Rows    []Row
	Version uint64
}

// Store is a durable, transactional table. It is safe for concurrent use.
type Store interface {
	// Commit executes a transaction.
	Commit(ctx context.Context, txn Txn) (Verdict, error)
	// List reads one page of rows from a consistent snapshot.
	List(ctx context.Context, query Query) (Page, error)
	// Parts returns the names of the parts of a table.
	Parts(ctx context.Context, table string) ([]string, error)
	// Follow returns the changes of a table after a version. It waits up to wait
	// for the first change.
	Follow(ctx context.Context, table string, after uint64, wait clock.Span) (Changes, error)
}

// Get reads one row; a row that does not exist has version 0.
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
