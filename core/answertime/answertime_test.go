package answertime

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.UnixMilli(1_000_000)

// learn observes gaps of a made-up engine, with errors of up to a half, at replicas of the given
// slowdowns, and returns the end of the observations.
func learn(t *Times, replicas []*Speed, slowdowns []float64, n int) time.Time {
	r := rand.New(rand.NewPCG(1, 2))
	now := start
	for i := range n {
		now = now.Add(20 * time.Millisecond)
		load := Load{Running: r.IntN(30), PendingPrefill: r.IntN(3) * 8_000}
		ms := (20 + 2*float64(load.Running) + float64(load.PendingPrefill)/100) * (0.5 + r.Float64())
		k := i % len(replicas)
		t.ObserveGap(now, replicas[k], load, fromMilliseconds(ms*slowdowns[k]))
	}
	return now
}

// TestLearnsGaps guards against estimates that keep to the prior, or to a replica's load of one
// moment, after many events were seen.
func TestLearnsGaps(t *testing.T) {
	is := is.New(t)
	var times Times
	speed := &Speed{}
	now := learn(&times, []*Speed{speed}, []float64{1}, 3000)
	for _, running := range []int{2, 25} {
		e := times.Estimate(now, speed, Answer{Load: Load{Running: running}, Events: 2, Slots: 64})
		want := 20 + 2*float64(running) + 80 // one gap beside the mean pending prefill
		got := milliseconds(e.Last - e.First)
		t.Logf("running %d: %.0f ms, want %.0f", running, got, want)
		is.True(math.Abs(got/want-1) < 0.2)
	}
	few := times.Estimate(now, speed, Answer{Load: Load{Running: 2}, Events: 200, Slots: 64})
	many := times.Estimate(now, speed, Answer{Load: Load{Running: 25}, Events: 200, Slots: 64})
	is.True(many.Last < few.Last*12/10) // the load of now says little about a long response
}

// TestLearnsSpeeds guards against slow replicas that look like others since they state nothing,
// and against replicas that stay slow for ever without observations.
func TestLearnsSpeeds(t *testing.T) {
	is := is.New(t)
	var times Times
	slow, fast := &Speed{}, &Speed{}
	now := learn(&times, []*Speed{slow, fast, fast}, []float64{1.5, 1, 1}, 3000)
	ratio := slow.Now(now) / fast.Now(now)
	t.Logf("slow %.2f, fast %.2f", slow.Now(now), fast.Now(now))
	is.True(ratio > 1.35 && ratio < 1.65)
	later := slow.Now(now.Add(10 * time.Minute))
	is.True(math.Abs(later-1) < 0.01)
}

// TestStatedSlowdown guards against a stated slowdown that counts after the replica has changed
// its speed.
func TestStatedSlowdown(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		want float64
	}{{0, 2.5}, {150 * time.Millisecond, 1.75}, {300 * time.Millisecond, 1}, {time.Hour, 1}, {-time.Second, 2.5}} {
		t.Run(c.age.String(), func(t *testing.T) {
			is := is.New(t)
			var s Speed
			s.State(start, 2.5)
			s.State(start, 0) // not stated
			is.Equal(s.Now(start.Add(c.age)), c.want)
			is.Equal(s.Lasting(start.Add(c.age)), 1.0)
		})
	}
}

// TestStandstill guards against a replica that stands still for a minute and changes what is
// usual for its service.
func TestStandstill(t *testing.T) {
	is := is.New(t)
	var times Times
	replica, stalled := &Speed{}, &Speed{}
	now := learn(&times, []*Speed{replica}, []float64{1}, 1000)
	a := Answer{Load: Load{Running: 5}, Events: 20, Slots: 64}
	before := times.Estimate(now, replica, a)
	for range 10 {
		times.ObserveGap(now, stalled, Load{Running: 5}, time.Minute)
	}
	now = now.Add(solveInterval)
	after := times.Estimate(now, replica, a)
	is.True(after.Last < before.Last*11/10)
	t.Logf("before %v, after %v, stalled %v (%.2f)", before, after, times.Estimate(now, stalled, a), stalled.Now(now))
	is.True(times.Estimate(now, stalled, a).Last > before.Last*2)
}

// TestEstimatesAreFinite guards against estimates that are no times after odd observations, since
// every comparison with them would be false.
func TestEstimatesAreFinite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var times Times
		var s Speed
		now := start
		count := rapid.IntRange(-5, 1<<30)
		for range rapid.IntRange(0, 30).Draw(t, "observations") {
			now = now.Add(time.Duration(rapid.Int64Range(-1e9, 1e12).Draw(t, "elapsed")))
			load := Load{count.Draw(t, "running"), count.Draw(t, "prefill")}
			took := time.Duration(rapid.Int64Range(-1e9, 1e15).Draw(t, "took"))
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				times.ObserveGap(now, &s, load, took)
			case 1:
				times.ObserveFirst(now, &s, load, took)
			case 2:
				times.ObserveEnd(now, count.Draw(t, "events"), count.Draw(t, "expected"), took)
			case 3:
				s.State(now, rapid.Float64Range(0, 50).Draw(t, "slowdown"))
			case 4:
				times.SetStride(rapid.IntRange(0, 2).Draw(t, "stride"))
			}
		}
		e := times.Estimate(now, &s, Answer{Load: Load{count.Draw(t, "running"), count.Draw(t, "prefill")}, Events: count.Draw(t, "events")})
		if e.First < 0 || e.Last < e.First || e.Last > time.Hour {
			t.Fatalf("estimate %+v", e)
		}
	})
}
