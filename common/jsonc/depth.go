package jsonc

import "bytes"

// exceedsMaxDepth returns the offset at which the nesting exceeds MaxDepth. It skips
// strings and comments, and leaves all other validation to the parser.
func exceedsMaxDepth(data []byte) (offset int, deep bool) {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = stringEnd(data, i)
		case '/':
			i = commentEnd(data, i)
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		if depth > MaxDepth {
			return i, true
		}
	}
	return 0, false
}

func stringEnd(data []byte, start int) int {
	for i := start + 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(data)
}

func commentEnd(data []byte, start int) int {
	rest := data[start:]
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		return endAfter(data, start, "\n")
	case bytes.HasPrefix(rest, []byte("/*")):
		return endAfter(data, start+len("/*"), "*/")
	}
	return start
}

func endAfter(data []byte, start int, delimiter string) int {
	n := bytes.Index(data[start:], []byte(delimiter))
	if n < 0 {
		return len(data)
	}
	return start + n + len(delimiter) - 1
}
