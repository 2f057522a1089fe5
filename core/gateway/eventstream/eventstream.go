// Package eventstream finds the events of a stream of server-sent events that arrives in
// pieces. An event ends with an empty line; lines end with LF, CR or both.
package eventstream

// Scanner reads one stream. The zero value is at its beginning.
type Scanner struct {
	inEvent bool // bytes came since the last complete event
	inLine  bool // bytes came since the last end of a line
	afterCR bool // the last byte was a CR
	events  int
}

// Scan reads the next piece of the stream. It returns the length of the part of the piece up to
// the end of its last complete event, 0 if no event ends there.
func (s *Scanner) Scan(piece []byte) int {
	end := 0
	for i, b := range piece {
		switch {
		case b == '\n' && s.afterCR: // the second half of the end of a line
			s.afterCR = false
			if !s.inEvent {
				end = i + 1
			}
			continue
		case b != '\n' && b != '\r':
			s.inEvent, s.inLine = true, true
		case s.inLine:
			s.inLine = false
		default:
			if s.inEvent {
				s.events++
			}
			s.inEvent, end = false, i+1
		}
		s.afterCR = b == '\r'
	}
	return end
}

// InEvent reports whether the stream, if it ends here, ends inside an event.
func (s *Scanner) InEvent() bool { return s.inEvent }

// Events returns the number of complete events.
func (s *Scanner) Events() int { return s.events }
