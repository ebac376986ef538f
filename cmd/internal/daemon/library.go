package daemon

import (
	"bytes"

	"github.com/go-kit/log"
)

// libraryLog passes on what libraries write to the standard logger, up to the first
// quotation: they quote bytes of answers, which belong to callers.
type libraryLog struct{ logger log.Logger }

// Write takes one line.
func (l libraryLog) Write(line []byte) (int, error) {
	text, _, _ := bytes.Cut(bytes.TrimSpace(line), []byte(`"`))
	_ = l.logger.Log("part", "library", "msg", string(bytes.TrimSpace(text)))
	return len(line), nil
}
