package topicview

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"crocusfold.dev/script"
)

// TestScripts runs the scripts in testdata. A record is written key=value@POSITION, or
// key=@POSITION if it deletes its key, and a position OFFSET or ERA/OFFSET; times are in
// seconds.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(*testing.T) func([]string) []string {
		// The values of the key "version" are numbers that never go back.
		v := &View{Newer: func(held, rec Record) (newer, known bool) {
			return len(rec.Value) > 0 && number(string(rec.Value)) >= number(string(held.Value)), rec.Key == "version"
		}}
		return func(args []string) []string {
			switch args[0] {
			case "append":
				return format(v.Apply(records(args[2:]), position(args[1])))
			case "replace":
				return format(v.Replace(records(args[2:]), position(args[1])))
			case "since":
				changed, ok := v.ChangedSince(position(args[1]))
				return append(format(changed), fmt.Sprint(ok))
			case "prove":
				v.RecordProof(time.Unix(int64(number(args[1])), 0), position(args[2]))
			case "held":
				return format(v.Held())
			case "merge-held":
				return format(v.MergeHeld(records(args[3:]), position(args[1]), position(args[2])))
			case "release":
				return format(v.Release(args[1] == "lacking"))
			case "current":
				limit, _ := time.ParseDuration(args[2])
				return []string{fmt.Sprint(v.Current(time.Unix(int64(number(args[1])), 0), limit))}
			case "show":
				next := strconv.FormatUint(v.Next().Offset, 10)
				if v.Next().Era > 0 {
					next = fmt.Sprintf("%d/%s", v.Next().Era, next)
				}
				return append(format(v.Records()), "next "+next)
			}
			return nil
		}
	})
}

func number(s string) uint64 {
	n, _ := strconv.ParseUint(s, 10, 64)
	return n
}

// position parses ERA/OFFSET, or OFFSET in era 0.
func position(s string) Position {
	era, offset, ok := strings.Cut(s, "/")
	if !ok {
		return Position{Offset: number(s)}
	}
	return Position{number(era), number(offset)}
}

func records(args []string) []Record {
	var out []Record
	for _, arg := range args {
		text, at, _ := strings.Cut(arg, "@")
		key, value, _ := strings.Cut(text, "=")
		pos := position(at)
		out = append(out, Record{Key: key, Value: []byte(value), Offset: pos.Offset, Era: pos.Era})
	}
	return out
}

func format(records []Record) []string {
	var out []string
	for _, rec := range records {
		out = append(out, fmt.Sprintf("%s=%s@%d", rec.Key, rec.Value, rec.Offset))
	}
	sort.Strings(out)
	return out
}
