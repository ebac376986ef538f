package callerconns

import "bytes"

// headScanner follows the head of a request in the bytes of a connection. The zero value is
// before the first byte.
type headScanner struct {
	// lines and bytes are those of the head so far, without the request line. requestLine is
	// the length of that line so far.
	lines, bytes, requestLine int
	// inHeader is true after the request line. lineLength is the length of the line so far, and
	// cr is true if its last byte is a carriage return.
	inHeader   bool
	lineLength int
	cr         bool
	ended      bool
}

// scan reads the next bytes, up to the empty line that ends the head.
func (s *headScanner) scan(b []byte) {
	for len(b) > 0 && !s.ended {
		end := bytes.IndexByte(b, '\n')
		part := b
		if end >= 0 {
			part = b[:end+1]
		}
		b = b[len(part):]
		text := part
		if end >= 0 {
			text = part[:end]
		}
		if len(text) > 0 {
			s.lineLength += len(text)
			s.cr = text[len(text)-1] == '\r'
		}
		if s.inHeader {
			s.bytes += len(part)
		} else {
			s.requestLine += len(part)
		}
		if end < 0 {
			return
		}
		switch {
		case s.lineLength == 0 || s.lineLength == 1 && s.cr:
			s.ended = true
		case s.inHeader:
			s.lines++
		}
		s.inHeader, s.lineLength, s.cr = true, 0, false
	}
}
