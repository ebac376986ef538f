package crashbreaker

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"crocusfold.dev/core/quarantine"
	"crocusfold.dev/script"
)

func at(sec string) time.Time {
	n, _ := strconv.ParseInt(sec, 10, 64)
	return time.Unix(1000+n, 0)
}

func content(s string) quarantine.Fingerprint { return quarantine.NewFingerprint([]byte(s)) }

// heard reads "r1@0" as the end of r1 in second 0, and "cleared@5".
func heard(c string, args []string) Record {
	rec := Record{Fingerprint: content(c)}
	for _, arg := range args {
		name, sec, _ := strings.Cut(arg, "@")
		if name == "cleared" {
			rec.ClearedUntil = at(sec)
			continue
		}
		name, void := strings.CutSuffix(name, "-void")
		rec.Crashes = append(rec.Crashes, Crash{ReplicaDigest: DigestReplica(name, 0), At: at(sec), Retracted: void})
	}
	return rec
}

func show(records []Record) []string {
	names := map[quarantine.Fingerprint]string{content("a"): "a", content("b"): "b"}
	var out []string
	for _, rec := range records {
		n := 0
		for _, e := range rec.Crashes {
			if !e.Retracted {
				n++
			}
		}
		out = append(out, fmt.Sprintf("%s %d", names[rec.Fingerprint], n))
	}
	sort.Strings(out)
	return out
}

// TestRegister: times are in seconds, see the first lines of the script.
func TestRegister(t *testing.T) {
	script.Run(t, "testdata/register.txt", func(*testing.T) func([]string) []string {
		g := &Breaker{Seed: 1}
		return func(args []string) []string { return do(g, args) }
	})
}

func do(g *Breaker, args []string) []string {
	switch args[0] {
	case "ended":
		g.RecordCrash(at(args[1]), Run{Fingerprint: content(args[2]), Replica: args[3], SentAt: at(args[4])})
	case "unanswered":
		g.RecordPending(at(args[1]), Run{Fingerprint: content(args[2]), Replica: args[3], SentAt: at(args[4])})
	case "replica-ended":
		g.RecordReplicaCrash(at(args[1]), args[2], 0)
	case "lives":
		return []string{strconv.FormatBool(g.RetractCrashes(at(args[1]), args[2], 0, at(args[3])))}
	case "succeeded":
		g.RecordSuccess(at(args[1]), content(args[2]), at(args[3]))
	case "hear":
		g.Merge(at(args[1]), heard(args[2], args[3:]))
	case "barred":
		_, barred := g.Blocked(at(args[1]), content(args[2]))
		return []string{strconv.FormatBool(barred)}
	case "admit":
		_, ok := g.Admit(at(args[1]), content(args[2]), args[3])
		return []string{strconv.FormatBool(ok)}
	case "ends":
		return []string{strconv.Itoa(g.CrashCount(content(args[1])))}
	case "told":
		return show(g.ChangedSince(at(args[1]), at(args[1])))
	case "kept":
		return show(g.ToPersist(at(args[1])))
	case "sweep":
		g.Sweep(at(args[1]))
	case "empty":
		return []string{strconv.FormatBool(g.Empty())}
	case "flood-pairs":
		n, _ := strconv.Atoi(args[2])
		for i := range n {
			for _, replica := range []string{"r1", "r2"} {
				g.RecordCrash(at(args[1]), Run{Fingerprint: content("pair" + strconv.Itoa(i)), Replica: replica, SentAt: at(args[1])})
			}
		}
	case "kept-has":
		has := false
		for _, rec := range g.ToPersist(at(args[1])) {
			has = has || rec.Fingerprint == content(args[2])
		}
		return []string{strconv.FormatBool(has)}
	case "flood":
		n, _ := strconv.Atoi(args[2])
		for i := range n {
			g.RecordCrash(at(args[1]), Run{Fingerprint: content("flood" + strconv.Itoa(i)), Replica: "r1", SentAt: at(args[1])})
		}
	}
	return nil
}

// TestMergeHasNoOrder lets instances notice ends and tell each other in any
// order; in the end all know the same.
func TestMergeHasNoOrder(t *testing.T) {
	ends := []Run{
		{Fingerprint: content("a"), Replica: "r1", SentAt: at("0")}, {Fingerprint: content("a"), Replica: "r2", SentAt: at("0")},
		{Fingerprint: content("a"), Replica: "r3", SentAt: at("0")}, {Fingerprint: content("a"), Replica: "r1", SentAt: at("0")},
	}
	for first := range ends {
		instances := make([]Breaker, len(ends))
		for i := range ends {
			instances[i].RecordCrash(at("1"), ends[(first+i)%len(ends)])
		}
		for range 2 {
			for i := range instances {
				for j := range instances {
					for _, rec := range instances[i].ChangedSince(at("2"), time.Time{}) {
						instances[j].Merge(at("2"), rec)
					}
				}
			}
		}
		for i := range instances {
			if got := show(instances[i].ChangedSince(at("2"), time.Time{})); len(got) != 1 || got[0] != "a 3" {
				t.Errorf("first %d: instance %d knows %v", first, i, got)
			}
		}
	}
}

// fill has a register of as many requests as are kept, with one end each.
func fill() *Breaker {
	g := &Breaker{}
	for i := range maxRecords {
		g.RecordCrash(at("0"), Run{Fingerprint: content(strconv.Itoa(i)), Replica: "r" + strconv.Itoa(i%64), SentAt: at("0")})
	}
	return g
}

// BenchmarkLives is the cost of an answer while as many requests as are kept were
// at an end.
func BenchmarkLives(b *testing.B) {
	g := fill()
	for b.Loop() {
		g.RetractCrashes(at("1"), "other", 0, at("0"))
	}
}

// BenchmarkSince is the cost of an exchange with a peer that heard all.
func BenchmarkSince(b *testing.B) {
	g := fill()
	for b.Loop() {
		g.ChangedSince(at("2"), at("1"))
	}
}

// BenchmarkFill is the memory of as many requests as are kept.
func BenchmarkFill(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		fill()
	}
}
