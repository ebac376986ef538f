// Package eventstream follows the bytes of an event stream (text/event-stream), to tell
// whether the stream ends between two events or inside one, and whether the ids of its
// events follow one another.
package eventstream

import (
	"bytes"
	"mime"
	"strconv"
	"strings"
)

// MediaType is the media type of event streams.
const MediaType = "text/event-stream"

// byteOrderMark may precede the first event and belongs to none.
const byteOrderMark = "\uFEFF"

// maxIDLine bounds the length of a line with an id. A longer one gives no id.
const maxIDLine = 64

// Scanner follows the bytes of one stream. The zero value is at the start of a stream. It
// is not safe for concurrent use.
type Scanner struct {
	events int
	// marked is the number of bytes of a byte order mark that have been read; it is
	// negative once the start of the stream is over.
	marked int
	// inLine is true after the first byte of a line, and inComment if that line is a
	// comment. hasFields is true if the current event has a complete field line.
	inLine, inComment, hasFields bool
	// afterCR is true if the last byte was a carriage return. A line feed after it belongs
	// to the same end of line.
	afterCR bool

	// line is the current line if it may state an id, and id the last id that was stated.
	// hasID is true if the current event states one.
	line, id []byte
	hasID    bool
	// first and last are the ids of the first and the last complete event that have one.
	first, last string
	// skipped and repeated count the events whose number is not the one after that of the
	// event before.
	skipped, repeated int
}

// IsEventStream reports whether the value of a Content-Type header is that of an event
// stream.
func IsEventStream(contentType string) bool {
	mediaType, _, err := mime.ParseMediaType(contentType)
	if err != nil {
		// Invalid parameters don't change the type of the body.
		mediaType, _, _ = strings.Cut(contentType, ";")
	}
	return strings.EqualFold(strings.TrimSpace(mediaType), MediaType)
}

// Scan follows the next bytes of the stream. It does not keep p.
func (s *Scanner) Scan(p []byte) {
	for _, b := range p {
		s.next(b)
	}
}

func (s *Scanner) next(b byte) {
	if s.marked >= 0 {
		if s.marked < len(byteOrderMark) && b == byteOrderMark[s.marked] {
			s.marked++
			return
		}
		// An incomplete mark is the begin of the first line.
		s.inLine = s.marked > 0 && s.marked < len(byteOrderMark)
		s.marked = -1
	}
	switch {
	case b == '\n' && s.afterCR:
		s.afterCR = false
		return
	case b == '\n' || b == '\r':
		s.endLine()
	case !s.inLine:
		s.inLine, s.inComment = true, b == ':'
		if b == 'i' {
			s.line = append(s.line, b)
		}
	case len(s.line) > 0 && len(s.line) < maxIDLine:
		s.line = append(s.line, b)
	}
	s.afterCR = b == '\r'
}

// endLine ends a line. A blank line ends an event.
func (s *Scanner) endLine() {
	switch {
	case s.inLine && !s.inComment:
		s.hasFields = true
		s.readID()
	case !s.inLine && s.hasFields:
		s.hasFields = false
		s.events++
		s.endEvent()
	}
	s.inLine, s.inComment = false, false
}

// readID takes the id from the current line if it states one.
func (s *Scanner) readID() {
	value, ok := bytes.CutPrefix(s.line, []byte("id:"))
	s.line = s.line[:0]
	if !ok || len(value) >= maxIDLine-len("id:") {
		return
	}
	s.id, s.hasID = append(s.id[:0], bytes.TrimPrefix(value, []byte(" "))...), true
}

// endEvent compares the id of an event with that of the event before.
func (s *Scanner) endEvent() {
	if !s.hasID {
		return
	}
	s.hasID = false
	before := s.last
	s.last = string(s.id)
	if s.first == "" {
		s.first = s.last
	}
	n, err := strconv.ParseUint(s.last, 10, 64)
	old, errBefore := strconv.ParseUint(before, 10, 64)
	switch {
	case err != nil || errBefore != nil:
	case n <= old:
		s.repeated++
	case n > old+1:
		s.skipped++
	}
}

// Resume makes the stream go on after the event with an id. It must be called before Scan.
func (s *Scanner) Resume(after string) { s.last = after }

// IDs returns the ids of the first and the last complete event; they are empty if no event
// has one. The last one is the id given to Resume until the first event is complete.
func (s *Scanner) IDs() (first, last string) { return s.first, s.last }

// Disorder returns how many events are numbered higher than the one after the event before,
// and how many not higher than the event before.
func (s *Scanner) Disorder() (skipped, repeated int) { return s.skipped, s.repeated }

// Events returns the number of complete events.
func (s *Scanner) Events() int { return s.events }

// InEvent reports whether the bytes so far end inside an event or inside a line: a stream
// that ends here has been broken off.
func (s *Scanner) InEvent() bool {
	incompleteMark := s.marked > 0 && s.marked < len(byteOrderMark)
	return s.inLine || s.hasFields || incompleteMark
}
