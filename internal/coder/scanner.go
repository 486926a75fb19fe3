// Package coder reads and writes the usual forms of JSON without intermediate values, for
// messages that are too frequent for encoding/json. It does not decide what to do with
// unusual forms: its users decode these with encoding/json.
//
// # Usage
//
//	s := coder.NewScanner(data)
//	s.Expect('[')
//	name := s.Text()
//	s.Expect(',')
//	count := s.Integer()
//	s.Expect(']')
//	if s.End(); s.Odd() { /* decode data with encoding/json */ }
package coder

import (
	"bytes"
	"unicode/utf8"
)

// maxScannedDigits is the number of decimal digits that a float64 and an int64 hold
// exactly, so that it makes no difference which of them a number is decoded to.
const maxScannedDigits = 15

// Scanner reads JSON text in place. It knows only the usual forms: strings without
// escapes and short numbers without exponents. Its results are meaningless once Odd
// reports true.
type Scanner struct {
	data []byte
	pos  int
	odd  bool
}

// NewScanner returns a Scanner at the start of data.
func NewScanner(data []byte) *Scanner { return &Scanner{data: data} }

// Odd reports whether the text read so far has an unusual form or is malformed.
func (s *Scanner) Odd() bool { return s.odd }

// Refuse makes Odd report true.
func (s *Scanner) Refuse() { s.odd = true }

// End reads the end of the text.
func (s *Scanner) End() {
	s.peek()
	s.odd = s.odd || s.pos < len(s.data)
}

// peek returns the next byte that is not white space, 0 at the end.
func (s *Scanner) peek() byte {
	for s.pos < len(s.data) {
		c := s.data[s.pos]
		if c != ' ' && c != '\n' && c != '\r' && c != '\t' {
			return c
		}
		s.pos++
	}
	return 0
}

// Skip reads c if it comes next, and reports whether it did.
func (s *Scanner) Skip(c byte) bool {
	if s.peek() != c || s.pos == len(s.data) {
		return false
	}
	s.pos++
	return true
}

// Expect reads c, which must come next.
func (s *Scanner) Expect(c byte) {
	if !s.Skip(c) {
		s.odd = true
	}
}

// Text reads a string and returns its bytes, which are a part of the scanned data.
func (s *Scanner) Text() []byte {
	s.Expect('"')
	start := s.pos
	ascii := true
	for ; s.pos < len(s.data); s.pos++ {
		c := s.data[s.pos]
		if c == '"' {
			text := s.data[start:s.pos]
			s.pos++
			s.odd = s.odd || !ascii && !utf8.Valid(text)
			return text
		}
		if c == '\\' || c < ' ' {
			break
		}
		ascii = ascii && c < utf8.RuneSelf
	}
	s.odd = true
	return nil
}

// Integer reads a number without a fraction.
func (s *Scanner) Integer() int64 {
	s.peek()
	n, digits := s.digits()
	s.odd = s.odd || digits == 0
	return n
}

// Truncated reads a number and drops its fraction.
func (s *Scanner) Truncated() int64 {
	s.peek()
	n, digits := s.digits()
	if digits > 0 && s.pos < len(s.data) && s.data[s.pos] == '.' {
		s.pos++
		start := s.pos
		for s.pos < len(s.data) && isDigit(s.data[s.pos]) {
			s.pos++
		}
		s.odd = s.odd || s.pos == start || digits+s.pos-start > maxScannedDigits
	}
	s.odd = s.odd || digits == 0
	return n
}

// digits reads an optional sign and the digits of an integer, and returns how many
// digits there were.
func (s *Scanner) digits() (n int64, digits int) {
	negative := s.pos < len(s.data) && s.data[s.pos] == '-'
	if negative {
		s.pos++
	}
	start := s.pos
	for s.pos < len(s.data) && isDigit(s.data[s.pos]) {
		if s.pos-start < maxScannedDigits {
			n = n*10 + int64(s.data[s.pos]-'0')
		}
		s.pos++
	}
	digits = s.pos - start
	if digits > maxScannedDigits || digits > 1 && s.data[start] == '0' {
		s.odd = true
	}
	if negative {
		n = -n
	}
	return n, digits
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// Number returns the integer that text consists of; ok is false if it is anything else
// or has an unusual form.
func Number(text []byte) (n int64, ok bool) {
	s := Scanner{data: text}
	n, digits := s.digits()
	return n, digits > 0 && !s.odd && s.pos == len(text)
}

// Array reads an array whose elements start with a bracket, with element. Elements have
// at least minBytes bytes. It returns nil for an empty array.
func Array[T any](s *Scanner, minBytes int, element func(*Scanner) T) []T {
	s.Expect('[')
	if s.odd || s.Skip(']') {
		return nil
	}
	rest := s.data[s.pos:]
	elements := make([]T, 0, min(bytes.Count(rest, []byte{'['}), len(rest)/minBytes+1))
	for !s.odd {
		elements = append(elements, element(s))
		if !s.Skip(',') {
			s.Expect(']')
			break
		}
	}
	return elements
}
