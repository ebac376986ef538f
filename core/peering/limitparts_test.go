package peering

import (
	"testing"
	"time"
)

// TestLimitOfParts guards against more requests than the limit allows when a fleet falls
// into parts that can't reach each other, and against parts that use nothing of it.
func TestLimitOfParts(t *testing.T) {
	const rate = 4.9
	m := newLimitModel(t, 1, 9, 3, 1, 40)
	m.play(5 * time.Second)
	m.setRate(rate)
	m.play(4 * time.Second)
	m.partitioned = "a"
	m.play(30 * time.Second)
	m.used = 0
	m.play(10 * time.Second)
	if float64(m.used) < 0.6*rate*10 {
		t.Errorf("%d requests of the limit used in 10 s by the parts", m.used)
	}
	m.partitioned = ""
	m.play(10 * time.Second)
	m.checkWindows("two parts")
}

// TestLimitAfterLoss guards against a limit of which nothing is used after most instances
// are lost for good.
func TestLimitAfterLoss(t *testing.T) {
	const rate = 4.9
	m := newLimitModel(t, 1, 9, 3, 1, 40)
	m.play(5 * time.Second)
	m.setRate(rate)
	m.play(4 * time.Second)
	for _, n := range m.nodes[:6] {
		n.up = false
	}
	m.play(15 * time.Second)
	m.used = 0
	m.play(10 * time.Second)
	if float64(m.used) < 0.6*rate*10*3/9 {
		t.Errorf("%d requests of the limit used in 10 s by three of nine instances", m.used)
	}
	m.checkWindows("three of nine left")
}
