package canary

import (
	"slices"
	"sort"
	"time"
)

// change is one change of what a process has counted: of a cell, of a loss or, if both are
// nil, of the other counts. Only the newest change of each counts.
type change struct {
	at   time.Time
	en   *entry
	cell *cellEntry
	loss *lossEntry
}

func (ch *change) isNewest() bool {
	switch {
	case ch.cell != nil:
		return ch.cell.changed.Equal(ch.at)
	case ch.loss != nil:
		return ch.loss.changed.Equal(ch.at)
	}
	return ch.en.changed.Equal(ch.at)
}

func (e *evidence) changeCell(now time.Time, en *entry, ce *cellEntry) {
	if !ce.changed.Equal(now) {
		ce.changed = now
		e.log(change{now, en, ce, nil})
	}
}

func (e *evidence) changeLoss(now time.Time, en *entry, l *lossEntry) {
	if !l.changed.Equal(now) {
		l.changed = now
		e.log(change{now, en, nil, l})
	}
}

func (e *evidence) change(now time.Time, en *entry) {
	if !en.changed.Equal(now) {
		en.changed = now
		e.log(change{now, en, nil, nil})
	}
}

// log adds a change. Changes that are no longer the newest are removed now and then.
func (e *evidence) log(ch change) {
	if len(e.changes) == cap(e.changes) {
		e.changes = slices.DeleteFunc(e.changes, func(old change) bool { return !old.isNewest() })
		e.changes = slices.Grow(e.changes, len(e.changes)+64)
	}
	e.changes = append(e.changes, ch)
}

// export returns what has changed since a time, of the processes that keep selects.
func (e *evidence) export(since time.Time, keep func(Process) bool) []Counts {
	var out []Counts
	index := map[*entry]int{}
	first := sort.Search(len(e.changes), func(i int) bool { return !e.changes[i].at.Before(since) })
	for i := range e.changes[first:] {
		ch := &e.changes[first+i]
		if !ch.isNewest() || !keep(ch.en.counts.Process) {
			continue
		}
		at, known := index[ch.en]
		if !known {
			at = len(out)
			index[ch.en] = at
			out = append(out, ch.en.counts)
		}
		switch n := &out[at]; {
		case ch.cell != nil:
			cl := ch.cell.Cell
			cl.FirstEvent, cl.MeanGap = slices.Clone(cl.FirstEvent), slices.Clone(cl.MeanGap)
			n.Cells = append(n.Cells, cl)
		case ch.loss != nil:
			n.Losses = append(n.Losses, ch.loss.Loss)
		}
	}
	return out
}

// merge takes in the counts of a process. Of each number, the larger one holds.
func (e *evidence) merge(now time.Time, n Counts) {
	if len(e.processes) >= maxProcesses && e.processes[n.Process] == nil {
		return
	}
	en := e.entry(n.Process)
	own := &en.counts
	grown := grow(&own.SentOld, n.SentOld, &e.sent[0])
	grown = grow(&own.SentTarget, n.SentTarget, &e.sent[1]) || grown
	grown = grow(&own.UnsentOld, n.UnsentOld, &e.unsent[0]) || grown
	grown = grow(&own.UnsentTarget, n.UnsentTarget, &e.unsent[1]) || grown
	if n.LongestMillis > own.LongestMillis {
		own.LongestMillis, grown = n.LongestMillis, true
		e.longest = max(e.longest, time.Duration(n.LongestMillis)*time.Millisecond)
	}
	if grown {
		e.change(now, en)
	}
	for i := range n.Cells {
		e.mergeCell(now, en, &n.Cells[i])
	}
	for _, l := range n.Losses {
		old := en.losses[l.Replica]
		if stage(l.Stage) > stageNone || old == nil && len(en.losses) >= maxCells || old != nil && old.Events >= l.Events {
			continue
		}
		if old == nil {
			old = &lossEntry{Loss: l}
			en.losses[l.Replica] = old
		}
		old.Events = l.Events
		e.mergeLoss(l)
		e.changeLoss(now, en, old)
	}
}

func (e *evidence) mergeCell(now time.Time, en *entry, cl *Cell) {
	k := cl.key()
	old := en.cells[k]
	if k.stage > stageNone {
		return
	}
	if old == nil {
		if len(en.cells) >= 2*maxCells {
			return
		}
		old = &cellEntry{Cell: Cell{Route: cl.Route, DataCentre: cl.DataCentre, Target: cl.Target, Stage: cl.Stage, Replica: cl.Replica}}
		en.cells[k] = old
	}
	var d Cell
	if !cl.growth(&old.Cell, &d) {
		return
	}
	old.Cell.add(&d)
	e.changeCell(now, en, old)
	e.sum(k, &d)
}

// growth sets d to the numbers by which cl is over old, and reports whether there are any.
func (cl *Cell) growth(old, d *Cell) bool {
	grown := false
	over := func(n, o uint32) uint32 {
		if n <= o {
			return 0
		}
		grown = true
		return n - o
	}
	d.Responses = over(cl.Responses, old.Responses)
	d.Failed, d.Lost = over(cl.Failed, old.Failed), over(cl.Lost, old.Lost)
	d.Timed, d.Slow = over(cl.Timed, old.Timed), over(cl.Slow, old.Slow)
	overBuckets := func(n, o []uint32) []uint32 {
		n = n[:min(len(n), buckets)]
		if slices.Equal(n, o) {
			return nil
		}
		out := make([]uint32, len(n))
		for i := range out {
			before := uint32(0)
			if i < len(o) {
				before = o[i]
			}
			out[i] = over(n[i], before)
		}
		return out
	}
	d.FirstEvent, d.MeanGap = overBuckets(cl.FirstEvent, old.FirstEvent), overBuckets(cl.MeanGap, old.MeanGap)
	return grown
}

// grow raises own to n, and the sum by as much.
func grow(own *uint32, n uint32, sum *uint64) bool {
	if n <= *own {
		return false
	}
	*sum += uint64(n - *own)
	*own = n
	return true
}
