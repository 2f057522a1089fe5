package front

// messages is the text of the messages of a chat, one after the other without what separates them.
type messages struct {
	size   int    // bytes
	prefix []byte // the first prefixHashBytes of them
}

// readMessages reads an array in valid JSON without holding its elements; null and nothing have none.
func readMessages(array []byte) messages {
	var m messages
	if len(array) == 0 || array[0] != '[' {
		return m
	}
	depth, inString, escaped := 0, false, false
	for _, b := range array[1 : len(array)-1] {
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped, inString = b == '\\', b != '"'
		case b == '"':
			inString = true
		case b == '{', b == '[':
			depth++
		case b == '}', b == ']':
			depth--
		case depth == 0 && (b == ',' || b == ' ' || b == '\t' || b == '\n' || b == '\r'):
			continue
		}
		m.size++
		if len(m.prefix) < prefixHashBytes {
			m.prefix = append(m.prefix, b)
		}
	}
	return m
}
