package standin

import (
	"sort"
	"strings"

	"marjoramstack/internal/platform"
)

// sortedRows is an ordered map of rows with transactions. It is not safe for
// concurrent use.
type sortedRows struct {
	rows        map[string]platform.Row
	keys        []string
	lastVersion platform.Version
}

func newSortedRows() *sortedRows {
	return &sortedRows{rows: map[string]platform.Row{}}
}

func (t *sortedRows) commit(txn platform.Txn) platform.Verdict {
	var conflicts []platform.Row
	for _, check := range txn.Checks {
		row := t.rows[check.Key]
		if row.Version != check.Version {
			row.Key = check.Key
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return platform.Verdict{Conflicts: conflicts}
	}
	t.lastVersion++
	for _, row := range txn.Puts {
		row.Version = t.lastVersion
		t.put(row)
	}
	for _, key := range txn.Deletes {
		t.remove(key)
	}
	return platform.Verdict{
		Committed: true,
		Version:   t.lastVersion,
	}
}

func (t *sortedRows) put(row platform.Row) {
	if _, ok := t.rows[row.Key]; !ok {
		i := sort.SearchStrings(t.keys, row.Key)
		t.keys = append(t.keys, "")
		copy(t.keys[i+1:], t.keys[i:])
		t.keys[i] = row.Key
	}
	t.rows[row.Key] = row
}

func (t *sortedRows) remove(key string) {
	if _, ok := t.rows[key]; !ok {
		return
	}
	i := sort.SearchStrings(t.keys, key)
	t.keys = append(t.keys[:i], t.keys[i+1:]...)
	delete(t.rows, key)
}

func (t *sortedRows) read(query platform.Query) []platform.Row {
	rows := []platform.Row{}
	for _, key := range query.Keys {
		if row, ok := t.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	if query.Prefix != "" {
		rows = append(rows, t.scan(query)...)
	}
	return rows
}

func (t *sortedRows) scan(query platform.Query) []platform.Row {
	var rows []platform.Row
	from := max(query.Prefix, query.After)
	for i := sort.SearchStrings(t.keys, from); i < len(t.keys); i++ {
		key := t.keys[i]
		if !strings.HasPrefix(key, query.Prefix) {
			break
		}
		if key == query.After {
			continue
		}
		rows = append(rows, t.rows[key])
		if query.Limit > 0 && len(rows) == query.Limit {
			break
		}
	}
	return rows
}
