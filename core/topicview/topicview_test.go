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

// TestScripts: a record is key=value@offset, without a value it deletes its
// key; times are in seconds.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(*testing.T) func([]string) []string {
		f := &View{}
		return func(args []string) []string {
			switch args[0] {
			case "append":
				return keys(f.Apply(records(args[2:]), number(args[1])))
			case "replace":
				return keys(f.Replace(records(args[2:]), number(args[1])))
			case "since":
				changed, ok := f.ChangedSince(number(args[1]))
				return append(keys(changed), fmt.Sprint(ok))
			case "prove":
				f.RecordProof(time.Unix(int64(number(args[1])), 0), number(args[2]))
			case "current":
				limit, _ := time.ParseDuration(args[2])
				return []string{fmt.Sprint(f.Current(time.Unix(int64(number(args[1])), 0), limit))}
			case "show":
				return append(keys(f.Records()), fmt.Sprintf("next %d", f.Next()))
			}
			return nil
		}
	})
}

func number(s string) uint64 {
	n, _ := strconv.ParseUint(s, 10, 64)
	return n
}

func records(args []string) []Record {
	var out []Record
	for _, arg := range args {
		text, offset, _ := strings.Cut(arg, "@")
		key, value, _ := strings.Cut(text, "=")
		out = append(out, Record{Key: key, Value: []byte(value), Offset: number(offset)})
	}
	return out
}

func keys(records []Record) []string {
	var out []string
	for _, rec := range records {
		out = append(out, fmt.Sprintf("%s=%s@%d", rec.Key, rec.Value, rec.Offset))
	}
	sort.Strings(out)
	return out
}
