package eventstream

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"crocusfold.dev/script"
)

// TestScanner runs the cases of the script, whose first lines describe the commands.
func TestScanner(t *testing.T) {
	script.Run(t, "testdata/streams.txt", func(t *testing.T) func([]string) []string {
		return func(args []string) []string {
			if args[0] == "type" {
				return []string{strconv.FormatBool(IsEventStream(args[1]))}
			}
			text, err := strconv.Unquote(args[1])
			if err != nil {
				t.Fatalf("%s: %v", args[1], err)
			}
			var s Scanner
			if args[0] == "ids" {
				s.Resume(strings.Trim(args[2], `"`))
			}
			for _, part := range strings.Split(text, "|") {
				s.Scan([]byte(part))
			}
			if args[0] == "ids" {
				first, last := s.IDs()
				skipped, repeated := s.Disorder()
				return []string{fmt.Sprintf("%q to %q, skipped %d, repeated %d", first, last, skipped, repeated)}
			}
			line := strconv.Itoa(s.Events())
			if s.InEvent() {
				line += " inside"
			}
			return []string{line}
		}
	})
}

// FuzzScanner compares the scanner with a parser of whole streams, and checks that the
// result does not depend on how the bytes are split.
func FuzzScanner(f *testing.F) {
	for _, seed := range []string{"data:a\n\n", "data:a\r\n\r\nid:2\r\r:c\n", "\ufeffid:1\n\n\n", "\xef\xbb", ":\n\r\ndata", ""} {
		f.Add([]byte(seed), uint(3))
	}
	f.Fuzz(func(t *testing.T, stream []byte, split uint) {
		var whole, parts Scanner
		whole.Scan(stream)
		i := int(split % uint(len(stream)+1))
		parts.Scan(stream[:i])
		parts.Scan(stream[i:])
		if fmt.Sprint(whole.IDs()) != fmt.Sprint(parts.IDs()) || fmt.Sprint(whole.Disorder()) != fmt.Sprint(parts.Disorder()) {
			t.Errorf("%q split at %d: other ids than in one read", stream, i)
		}
		events, inside := parse(stream)
		if whole.Events() != events || whole.InEvent() != inside {
			t.Errorf("%q: %d events, inside %t; want %d, %t", stream, whole.Events(), whole.InEvent(), events, inside)
		}
		if parts.Events() != events || parts.InEvent() != inside {
			t.Errorf("%q split at %d: %d events, inside %t; want %d, %t", stream, i, parts.Events(), parts.InEvent(), events, inside)
		}
	})
}

// parse returns the number of complete events of a stream, and whether it ends inside one.
func parse(stream []byte) (events int, inside bool) {
	mark := []byte(byteOrderMark)
	if len(stream) > 0 && len(stream) < len(mark) && bytes.HasPrefix(mark, stream) {
		return 0, true
	}
	text := string(bytes.TrimPrefix(stream, mark))
	text = strings.ReplaceAll(text, "\r\n", "\n")
	text = strings.ReplaceAll(text, "\r", "\n")
	lines := strings.Split(text, "\n")
	hasFields := false
	for _, line := range lines[:len(lines)-1] {
		switch {
		case line == "":
			if hasFields {
				events++
			}
			hasFields = false
		case line[0] != ':':
			hasFields = true
		}
	}
	return events, hasFields || lines[len(lines)-1] != ""
}
