package coder

import (
	"bytes"
	"encoding/json"
)

// SplitObject returns the texts of the values of a JSON object by name, whatever they nest.
// ok is false if the text is not an object.
func SplitObject(text []byte) (fields map[string][]byte, ok bool) {
	members, ok := splitJSON(text, '{', '}')
	if !ok {
		return nil, false
	}
	fields = map[string][]byte{}
	for _, member := range members {
		end := 1
		for end < len(member) && member[end] != '"' {
			if member[end] == '\\' {
				end++
			}
			end++
		}
		var name string
		if end >= len(member) || json.Unmarshal(member[:end+1], &name) != nil {
			return nil, false
		}
		value, ok := bytes.CutPrefix(bytes.TrimSpace(member[end+1:]), []byte(":"))
		if !ok {
			return nil, false
		}
		fields[name] = bytes.TrimSpace(value)
	}
	return fields, true
}

// SplitArray returns the texts of the elements of a JSON array, whatever they nest. ok is
// false if the text is not an array.
func SplitArray(text []byte) (elements [][]byte, ok bool) { return splitJSON(text, '[', ']') }

// splitJSON splits an array or object into its elements or members, whatever they nest.
// It returns false if the text doesn't begin with open and end with the close that
// belongs to it.
func splitJSON(text []byte, open, end byte) ([][]byte, bool) {
	text = bytes.TrimSpace(text)
	if len(text) == 0 || text[0] != open {
		return nil, false
	}
	var parts [][]byte
	depth, from, quoted := 0, 1, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		case c == ',' && depth == 1:
			parts = append(parts, bytes.TrimSpace(text[from:i]))
			from = i + 1
		}
		if depth == 0 {
			last := bytes.TrimSpace(text[from:i])
			if len(last) > 0 {
				parts = append(parts, last)
			}
			return parts, i == len(text)-1 && text[i] == end
		}
	}
	return nil, false
}
