package coder

import (
	"encoding/json"
	"strconv"
)

// Object writes a JSON object, byte for byte as encoding/json does.
type Object struct{ text []byte }

// NewObject returns an empty Object with memory for size bytes of text.
func NewObject(size int) Object { return Object{text: append(make([]byte, 0, size), '{')} }

// Close ends the object and returns its text.
func (o *Object) Close() []byte { return append(o.text, '}') }

// Uint adds an unsigned number. Names of fields must need no escapes.
func (o *Object) Uint(name string, n uint64) {
	o.name(name)
	o.text = strconv.AppendUint(o.text, n, 10)
}

// Int adds a number.
func (o *Object) Int(name string, n int64) {
	o.name(name)
	o.text = strconv.AppendInt(o.text, n, 10)
}

// IntUnlessZero adds a number, unless it is 0.
func (o *Object) IntUnlessZero(name string, n int64) {
	if n != 0 {
		o.Int(name, n)
	}
}

// TextUnlessEmpty adds a string, unless it is empty.
func (o *Object) TextUnlessEmpty(name, text string) {
	if text == "" {
		return
	}
	o.name(name)
	start := len(o.text)
	o.text = append(o.text, '"')
	for i := range len(text) {
		c := text[i]
		if c < ' ' || c > '~' || c == '<' || c == '>' || c == '&' {
			o.text = append(o.text[:start], encodeText(text)...)
			return
		}
		if c == '"' || c == '\\' {
			o.text = append(o.text, '\\')
		}
		o.text = append(o.text, c)
	}
	o.text = append(o.text, '"')
}

func (o *Object) name(name string) {
	if len(o.text) > 1 {
		o.text = append(o.text, ',')
	}
	o.text = append(o.text, '"')
	o.text = append(o.text, name...)
	o.text = append(o.text, '"', ':')
}

// encodeText encodes a text with characters that JSON escapes in other ways.
func encodeText(text string) []byte {
	encoded, err := json.Marshal(text)
	if err != nil {
		panic(err) // a string can always be encoded
	}
	return encoded
}
