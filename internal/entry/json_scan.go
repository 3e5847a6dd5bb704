package entry

import "iter"

// jsonMembers returns the names and values of a JSON object's members, as parts of its
// text. The text must be valid JSON.
func jsonMembers(object []byte) iter.Seq2[[]byte, []byte] {
	return func(yield func(name, value []byte) bool) {
		i := skipBlank(object, 0) + 1
		for {
			i = skipBlank(object, i)
			if object[i] == '}' {
				return
			}
			nameEnd := skipValue(object, i)
			name := object[i:nameEnd]
			valueStart := skipBlank(object, skipBlank(object, nameEnd)+1)
			valueEnd := skipValue(object, valueStart)
			if !yield(name, object[valueStart:valueEnd]) {
				return
			}
			if i = skipBlank(object, valueEnd); object[i] == ',' {
				i++
			}
		}
	}
}

// lastElement returns where the last element of a JSON array that is not empty begins
// and ends. The text must be valid JSON.
func lastElement(array []byte) (start, end int) {
	i := skipBlank(array, 0) + 1
	for {
		start = skipBlank(array, i)
		end = skipValue(array, start)
		i = skipBlank(array, end)
		if array[i] == ']' {
			return start, end
		}
		i++
	}
}

// skipBlank returns the index of the first byte from i on that is not white space.
func skipBlank(text []byte, i int) int {
	for text[i] == ' ' || text[i] == '\t' || text[i] == '\n' || text[i] == '\r' {
		i++
	}
	return i
}

// skipValue returns the end of the value that begins at i.
func skipValue(text []byte, i int) int {
	depth := 0
	for ; i < len(text); i++ {
		switch text[i] {
		case '"':
			for i++; text[i] != '"'; i++ {
				if text[i] == '\\' {
					i++
				}
			}
		case '[', '{':
			depth++
			continue
		case ']', '}':
			depth--
		default:
			if depth > 0 || !endsLiteral(text, i+1) {
				continue
			}
		}
		if depth == 0 {
			return i + 1
		}
	}
	return i
}

// endsLiteral reports whether a number or a word ends before i.
func endsLiteral(text []byte, i int) bool {
	if i >= len(text) {
		return true
	}
	switch text[i] {
	case ',', ']', '}', ' ', '\t', '\n', '\r':
		return true
	}
	return false
}
