package crashbreaker

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"crocusfold.dev/core/peering"
	"crocusfold.dev/core/quarantine"
	"crocusfold.dev/script"
)

func at(sec string) time.Time {
	s, _ := strconv.ParseFloat(sec, 64)
	return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second)))
}

func fingerprint(s string) quarantine.Fingerprint { return quarantine.NewFingerprint([]byte(s)) }

// parseRecord reads "r1@0" as a crash of r1 at second 0, "r1-retracted@0" as a
// retracted one, and "cleared@5" as ClearedUntil.
func parseRecord(name string, args []string) Record {
	rec := Record{Fingerprint: fingerprint(name)}
	for _, arg := range args {
		replica, sec, _ := strings.Cut(arg, "@")
		if replica == "cleared" {
			rec.ClearedUntil = at(sec)
			continue
		}
		replica, retracted := strings.CutSuffix(replica, "-retracted")
		rec.Crashes = append(rec.Crashes, Crash{ReplicaDigest: DigestReplica(replica, 0), At: at(sec), Retracted: retracted})
	}
	return rec
}

// format returns "FINGERPRINT COUNT" for each record, in order of the names.
func format(records []Record) []string {
	names := map[quarantine.Fingerprint]string{fingerprint("a"): "a", fingerprint("b"): "b", fingerprint("p"): "p"}
	var out []string
	for _, rec := range records {
		n := 0
		for _, c := range rec.Crashes {
			if !c.Retracted {
				n++
			}
		}
		out = append(out, fmt.Sprintf("%s %d", names[rec.Fingerprint], n))
	}
	sort.Strings(out)
	return out
}

// TestBreaker runs the cases of the script, whose first lines describe the commands.
func TestBreaker(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(*testing.T) func([]string) []string {
		b := &Breaker{Seed: 1}
		return func(args []string) []string { return runCommand(b, args) }
	})
}

func fingerprints(names []string) []quarantine.Fingerprint {
	var out []quarantine.Fingerprint
	for _, name := range names {
		out = append(out, fingerprint(name))
	}
	return out
}

// formatVerdict returns "allowed", or "refused" with what is blocked and for how long.
func formatVerdict(v Verdict, names []string) []string {
	if v.Allowed {
		return []string{"allowed"}
	}
	for _, name := range names {
		if fingerprint(name) == v.Fingerprint {
			return []string{fmt.Sprintf("refused %s part=%t after %s", name, v.Part, v.After.Round(100*time.Millisecond))}
		}
	}
	return []string{"refused"}
}

// parsePart reads "r1@2/1" as a crash of r1 at second 2 that hit a run sent at second 1,
// "r1-retracted@2/1" as a retracted one, and "cleared@5" as ClearedUntil.
func parsePart(name string, args []string) Record {
	rec := Record{Fingerprint: fingerprint(name), Part: true}
	for _, arg := range args {
		replica, times, _ := strings.Cut(arg, "@")
		sec, sent, _ := strings.Cut(times, "/")
		if replica == "cleared" {
			rec.ClearedUntil = at(sec)
			continue
		}
		replica, retracted := strings.CutSuffix(replica, "-retracted")
		rec.Crashes = append(rec.Crashes, Crash{
			ReplicaDigest: DigestReplica(replica, 0), At: at(sec), SentAt: at(sent), Request: DigestReplica(replica, 1), Retracted: retracted,
		})
	}
	return rec
}

func runCommand(b *Breaker, args []string) []string {
	switch args[0] {
	case "crash-parts":
		b.RecordCrash(at(args[1]), Run{Fingerprint: fingerprint(args[2]), Replica: args[3], SentAt: at(args[4]), Parts: fingerprints(args[5:])})
	case "answered":
		b.RecordAnswered(at(args[1]), fingerprints(args[2:]))
	case "merge-changes":
		return []string{strconv.FormatBool(b.Merge(at(args[1]), parseRecord(args[2], args[3:]), peering.RootPeer))}
	case "merge-part":
		b.Merge(at(args[1]), parsePart(args[2], args[3:]), peering.RootPeer)
	case "merge-part-changes":
		return []string{strconv.FormatBool(b.Merge(at(args[1]), parsePart(args[2], args[3:]), peering.RootPeer))}
	case "merge-part-of-child":
		b.Merge(at(args[1]), parsePart(args[2], args[3:]), peering.Child)
	case "changed-since-for-child":
		return format(b.ChangedSince(at(args[1]), at(args[1]), peering.Parent))
	case "check":
		return formatVerdict(b.Check(at(args[1]), fingerprints(args[2:])...), args[2:])
	case "admit-parts":
		return formatVerdict(b.Admit(at(args[1]), args[2], fingerprints(args[2:])...), args[2:])
	case "blocked-parts":
		return []string{strconv.Itoa(b.BlockedParts(at(args[1])))}
	case "crash":
		b.RecordCrash(at(args[1]), Run{Fingerprint: fingerprint(args[2]), Replica: args[3], SentAt: at(args[4])})
	case "pending":
		b.RecordPending(at(args[1]), Run{Fingerprint: fingerprint(args[2]), Replica: args[3], SentAt: at(args[4])})
	case "replica-crash":
		b.RecordReplicaCrash(at(args[1]), args[2], 0)
	case "retract":
		return []string{strconv.FormatBool(b.RetractCrashes(at(args[1]), args[2], 0, at(args[3])))}
	case "success":
		b.RecordSuccess(at(args[1]), fingerprint(args[2]), at(args[3]))
	case "merge":
		b.Merge(at(args[1]), parseRecord(args[2], args[3:]), peering.RootPeer)
	case "blocked":
		_, blocked := b.Blocked(at(args[1]), fingerprint(args[2]))
		return []string{strconv.FormatBool(blocked)}
	case "admit":
		return []string{strconv.FormatBool(b.Admit(at(args[1]), args[3], fingerprint(args[2])).Allowed)}
	case "crash-count":
		return []string{strconv.Itoa(b.CrashCount(fingerprint(args[1])))}
	case "changed-since":
		return format(b.ChangedSince(at(args[1]), at(args[1]), peering.RootPeer))
	case "to-persist":
		return format(b.ToPersist(at(args[1])))
	case "sweep":
		b.Sweep(at(args[1]))
	case "empty":
		return []string{strconv.FormatBool(b.Empty())}
	case "flood-pairs":
		n, _ := strconv.Atoi(args[2])
		for i := range n {
			for _, replica := range []string{"r1", "r2"} {
				b.RecordCrash(at(args[1]), Run{Fingerprint: fingerprint("pair" + strconv.Itoa(i)), Replica: replica, SentAt: at(args[1])})
			}
		}
	case "to-persist-has":
		has := false
		for _, rec := range b.ToPersist(at(args[1])) {
			has = has || rec.Fingerprint == fingerprint(args[2])
		}
		return []string{strconv.FormatBool(has)}
	case "flood":
		n, _ := strconv.Atoi(args[2])
		for i := range n {
			b.RecordCrash(at(args[1]), Run{Fingerprint: fingerprint("flood" + strconv.Itoa(i)), Replica: "r1", SentAt: at(args[1])})
		}
	}
	return nil
}

// TestMergeInAnyOrder checks that instances converge to the same records, in
// whichever order they observe crashes and merge each other's records.
func TestMergeInAnyOrder(t *testing.T) {
	runs := []Run{
		{Fingerprint: fingerprint("a"), Replica: "r1", SentAt: at("0")}, {Fingerprint: fingerprint("a"), Replica: "r2", SentAt: at("0")},
		{Fingerprint: fingerprint("a"), Replica: "r3", SentAt: at("0")}, {Fingerprint: fingerprint("a"), Replica: "r1", SentAt: at("0")},
	}
	for first := range runs {
		instances := make([]Breaker, len(runs))
		for i := range runs {
			instances[i].RecordCrash(at("1"), runs[(first+i)%len(runs)])
		}
		for range 2 {
			for i := range instances {
				for j := range instances {
					for _, rec := range instances[i].ChangedSince(at("2"), time.Time{}, peering.RootPeer) {
						instances[j].Merge(at("2"), rec, peering.RootPeer)
					}
				}
			}
		}
		for i := range instances {
			if got := format(instances[i].ChangedSince(at("2"), time.Time{}, peering.RootPeer)); len(got) != 1 || got[0] != "a 3" {
				t.Errorf("first %d: instance %d has %v, want [a 3]", first, i, got)
			}
		}
	}
}

// fullBreaker returns a breaker with maxRecords records of one crash each.
func fullBreaker() *Breaker {
	b := &Breaker{}
	for i := range maxRecords {
		b.RecordCrash(at("0"), Run{Fingerprint: fingerprint(strconv.Itoa(i)), Replica: "r" + strconv.Itoa(i%64), SentAt: at("0")})
	}
	return b
}

// BenchmarkRetractCrashes measures what a response costs while the breaker is full.
func BenchmarkRetractCrashes(b *testing.B) {
	full := fullBreaker()
	for b.Loop() {
		full.RetractCrashes(at("1"), "other", 0, at("0"))
	}
}

// BenchmarkChangedSince measures an exchange with a peer that has all records.
func BenchmarkChangedSince(b *testing.B) {
	full := fullBreaker()
	for b.Loop() {
		full.ChangedSince(at("2"), at("1"), peering.RootPeer)
	}
}

// BenchmarkFill measures the memory of maxRecords records.
func BenchmarkFill(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		fullBreaker()
	}
}

// TestRequestAddsUpInTwoLevels checks that crashes of one request that three children of
// different roots observe are known to every instance.
func TestRequestAddsUpInTwoLevels(t *testing.T) {
	f := newFleet(58, 90, 1)
	for i := range 3 {
		f.instances[maxRoots+i].breaker.RecordCrash(f.now, Run{Fingerprint: fingerprint("a"), Replica: fmt.Sprintf("r%d", i), SentAt: f.now})
	}
	for range 100 {
		f.now = f.now.Add(step)
		f.exchangeAll()
	}
	for i, m := range f.instances {
		if n := m.breaker.CrashCount(fingerprint("a")); n != 3 {
			t.Fatalf("instance %d knows of %d crashes; want 3", i, n)
		}
	}
}
