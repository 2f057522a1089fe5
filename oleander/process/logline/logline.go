// Package logline reads structured log lines.
package logline

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxLineBytes is the longest line that is read.
const maxLineBytes = 1 << 20

// DroppedLinesPrefix starts the message of a line that reports how many lines
// were dropped.
const DroppedLinesPrefix = "logs: "

// ForEach calls handle with each line, without any prefix that a log collector
// put before the JSON object. handle reports whether it could parse the line;
// ForEach returns the number of lines that it could not.
func ForEach(r io.Reader, handle func(text []byte) bool) (unreadable int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		if start := bytes.IndexByte(text, '{'); start > 0 {
			text = text[start:]
		}
		if !handle(text) {
			unreadable++
		}
	}
	return unreadable, errors.Wrap(scanner.Err(), "logline: read")
}
