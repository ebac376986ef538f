package daemon

import (
	"bytes"

	"github.com/go-kit/log"
)

// libraryLog logs what libraries write to the standard logger, up to the first quotation
// mark: libraries quote bytes of responses, which are callers' data.
type libraryLog struct{ logger log.Logger }

// Write logs one line, cut at its first quotation mark.
func (l libraryLog) Write(line []byte) (int, error) {
	text, _, _ := bytes.Cut(bytes.TrimSpace(line), []byte(`"`))
	_ = l.logger.Log("part", "library", "msg", string(bytes.TrimSpace(text)))
	return len(line), nil
}
