// Package jsondepth bounds the nesting of JSON documents that others have written. Decoders
// recurse into nested values, so that a document of a megabyte of brackets takes hundreds of
// megabytes of stack, or fails as a whole for the sake of one value.
package jsondepth

import "bytes"

// Placeholder replaces a value that Prune removes.
const Placeholder = `"(nested too deeply)"`

// Prune returns doc with each array and object that is nested more than limit levels deep
// replaced by Placeholder, and whether there was one; doc itself if not. It does not recurse
// and does not check the syntax. A document that ends within such a value stays incomplete.
func Prune(doc []byte, limit int) (pruned []byte, found bool) {
	if bytes.Count(doc, []byte("["))+bytes.Count(doc, []byte("{")) <= limit {
		return doc, false
	}
	// kept is the start of the part of doc that is not in pruned yet.
	kept, depth := 0, 0
	for i := nextBracket(doc, 0); i < len(doc); i = nextBracket(doc, i+1) {
		switch doc[i] {
		case '[', '{':
			depth++
			if depth == limit+1 {
				pruned = append(pruned, doc[kept:i]...)
				found = true
			}
		default:
			if depth == limit+1 {
				pruned = append(pruned, Placeholder...)
				kept = i + 1
			}
			depth--
		}
	}
	switch {
	case !found:
		return doc, false
	case depth > limit:
		return pruned, true
	}
	return append(pruned, doc[kept:]...), true
}

// nextBracket returns the index of the next bracket outside of strings, from index i on, or
// the length of doc if there is none.
func nextBracket(doc []byte, i int) int {
	for ; i < len(doc); i++ {
		switch classes[doc[i]] {
		case bracket:
			return i
		case quote:
			i = stringEnd(doc, i)
		}
	}
	return len(doc)
}

// stringEnd returns the index of the quotation mark that ends the string that starts at
// index start, or the length of doc if none does.
func stringEnd(doc []byte, start int) int {
	for i := start + 1; i < len(doc); i++ {
		switch classes[doc[i]] {
		case quote:
			return i
		case escape:
			i++
		}
	}
	return len(doc)
}

// class is what a byte means to the search for brackets.
type class uint8

const (
	other class = iota
	bracket
	quote
	escape
)

// classes holds the class of each byte.
var classes = [256]class{'[': bracket, '{': bracket, ']': bracket, '}': bracket, '"': quote, '\\': escape}

// HasPlaceholder reports whether Prune removed a value of doc.
func HasPlaceholder(doc []byte) bool { return bytes.Contains(doc, []byte(Placeholder)) }
