package poison

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"crocusfold.dev/core/suspect"
	"crocusfold.dev/script"
)

func at(sec string) time.Time {
	n, _ := strconv.ParseInt(sec, 10, 64)
	return time.Unix(1000+n, 0)
}

func content(s string) suspect.Content { return suspect.NewContent([]byte(s)) }

// heard reads "r1@0" as the end of r1 in second 0, and "cleared@5".
func heard(c string, args []string) Record {
	rec := Record{Content: content(c)}
	for _, arg := range args {
		name, sec, _ := strings.Cut(arg, "@")
		if name == "cleared" {
			rec.Cleared = at(sec)
			continue
		}
		name, void := strings.CutSuffix(name, "-void")
		rec.Ends = append(rec.Ends, End{Replica: Digest(name, 0), At: at(sec), Void: void})
	}
	return rec
}

func show(records []Record) []string {
	names := map[suspect.Content]string{content("a"): "a", content("b"): "b"}
	var out []string
	for _, rec := range records {
		n := 0
		for _, e := range rec.Ends {
			if !e.Void {
				n++
			}
		}
		out = append(out, fmt.Sprintf("%s %d", names[rec.Content], n))
	}
	sort.Strings(out)
	return out
}

// TestRegister: times are in seconds, see the first lines of the script.
func TestRegister(t *testing.T) {
	script.Run(t, "testdata/register.txt", func(*testing.T) func([]string) []string {
		g := &Register{Seed: 1}
		return func(args []string) []string { return do(g, args) }
	})
}

func do(g *Register, args []string) []string {
	switch args[0] {
	case "ended":
		g.Ended(at(args[1]), Run{Content: content(args[2]), Replica: args[3], Began: at(args[4])})
	case "unanswered":
		g.Unanswered(at(args[1]), Run{Content: content(args[2]), Replica: args[3], Began: at(args[4])})
	case "replica-ended":
		g.ReplicaEnded(at(args[1]), args[2], 0)
	case "lives":
		return []string{strconv.FormatBool(g.Lives(at(args[1]), args[2], 0, at(args[3])))}
	case "succeeded":
		g.Succeeded(at(args[1]), content(args[2]), at(args[3]))
	case "hear":
		g.Hear(at(args[1]), heard(args[2], args[3:]))
	case "barred":
		_, barred := g.Barred(at(args[1]), content(args[2]))
		return []string{strconv.FormatBool(barred)}
	case "admit":
		_, ok := g.Admit(at(args[1]), content(args[2]), args[3])
		return []string{strconv.FormatBool(ok)}
	case "ends":
		return []string{strconv.Itoa(g.Ends(content(args[1])))}
	case "told":
		return show(g.Since(at(args[1]), at(args[1])))
	case "kept":
		return show(g.Kept(at(args[1])))
	case "sweep":
		g.Sweep(at(args[1]))
	case "empty":
		return []string{strconv.FormatBool(g.Empty())}
	case "flood-pairs":
		n, _ := strconv.Atoi(args[2])
		for i := range n {
			for _, replica := range []string{"r1", "r2"} {
				g.Ended(at(args[1]), Run{Content: content("pair" + strconv.Itoa(i)), Replica: replica, Began: at(args[1])})
			}
		}
	case "kept-has":
		has := false
		for _, rec := range g.Kept(at(args[1])) {
			has = has || rec.Content == content(args[2])
		}
		return []string{strconv.FormatBool(has)}
	case "flood":
		n, _ := strconv.Atoi(args[2])
		for i := range n {
			g.Ended(at(args[1]), Run{Content: content("flood" + strconv.Itoa(i)), Replica: "r1", Began: at(args[1])})
		}
	}
	return nil
}

// TestMergeHasNoOrder lets instances notice ends and tell each other in any
// order; in the end all know the same.
func TestMergeHasNoOrder(t *testing.T) {
	ends := []Run{
		{Content: content("a"), Replica: "r1", Began: at("0")}, {Content: content("a"), Replica: "r2", Began: at("0")},
		{Content: content("a"), Replica: "r3", Began: at("0")}, {Content: content("a"), Replica: "r1", Began: at("0")},
	}
	for first := range ends {
		instances := make([]Register, len(ends))
		for i := range ends {
			instances[i].Ended(at("1"), ends[(first+i)%len(ends)])
		}
		for range 2 {
			for i := range instances {
				for j := range instances {
					for _, rec := range instances[i].Since(at("2"), time.Time{}) {
						instances[j].Hear(at("2"), rec)
					}
				}
			}
		}
		for i := range instances {
			if got := show(instances[i].Since(at("2"), time.Time{})); len(got) != 1 || got[0] != "a 3" {
				t.Errorf("first %d: instance %d knows %v", first, i, got)
			}
		}
	}
}

// fill has a register of as many requests as are kept, with one end each.
func fill() *Register {
	g := &Register{}
	for i := range maxRecords {
		g.Ended(at("0"), Run{Content: content(strconv.Itoa(i)), Replica: "r" + strconv.Itoa(i%64), Began: at("0")})
	}
	return g
}

// BenchmarkLives is the cost of an answer while as many requests as are kept were
// at an end.
func BenchmarkLives(b *testing.B) {
	g := fill()
	for b.Loop() {
		g.Lives(at("1"), "other", 0, at("0"))
	}
}

// BenchmarkSince is the cost of an exchange with a peer that heard all.
func BenchmarkSince(b *testing.B) {
	g := fill()
	for b.Loop() {
		g.Since(at("2"), at("1"))
	}
}

// BenchmarkFill is the memory of as many requests as are kept.
func BenchmarkFill(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		fill()
	}
}
