package registrar

import (
	"encoding/json"
	"path"

	"marjoramstack/internal/address"
	"marjoramstack/internal/platform"
)

// DecodeRow decodes a member's row. It returns an error if the row is not the one of the
// member that it describes, or if its address can't be used.
func DecodeRow(row platform.Row) (Row, error) {
	var r Row
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Row{}, Error.Wrap(err)
	}
	if r.Member.ID == "" || row.Key != Prefix+r.Member.Zone+"/"+r.Member.ID {
		return Row{}, Error.New("the row describes member %.60q of zone %.60q", r.Member.ID, r.Member.Zone)
	}
	if r.Gone {
		return r, nil
	}
	return r, Error.Wrap(address.CheckHost(r.Member.Address))
}

// MemberOf returns the identifier of the member that has the row with a key.
func MemberOf(key string) string { return path.Base(key) }
