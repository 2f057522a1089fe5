// Package logline reads the structured lines that processes log.
package logline

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxLine bounds a line, in bytes.
const maxLineBytes = 1 << 20

// OmittedPrefix begins the message of a line that tells how many others were
// left out.
const DroppedLinesPrefix = "logs: "

// Each calls take with the text of each line, without what a collector put
// before it. Take reports whether it could read the line; Each returns how many
// it could not.
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
