package jsonc

import "bytes"

// tooDeep finds where the nesting goes over MaxDepth. It skips strings and
// comments, and judges nothing else; the parser does.
func tooDeep(data []byte) (offset int, deep bool) {
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

func endAfter(data []byte, start int, mark string) int {
	n := bytes.Index(data[start:], []byte(mark))
	if n < 0 {
		return len(data)
	}
	return start + n + len(mark) - 1
}
