// Package directory knows which parts of prompts lie whole in which store, from
// the stores' events and lists, and chooses where a part is saved.
package directory

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusfold.dev/core/pool"
)

// blockTokens is the unit in which stores give out their space, in tokens.
const blockTokens = 16

// saveTimeout is how long a save that was asked for counts as under way. A save
// that has not been reported by then is taken as lost.
const saveTimeout = 3 * time.Second

// writeStallTimeout is how long the writing of a part may stand still.
const writeStallTimeout = 3500 * time.Millisecond

// maxFillRatio is the part of a store's space up to which parts are saved.
const maxFillRatio = 0.985

// Part is one part of a prompt. Salt separates model versions and isolated accounts.
type Part struct {
	Salt, ID string
}

// Salt names the context of a model version; account is empty unless the account
// is isolated.
func Salt(model string, version int, account string) string {
	return model + "/" + strconv.Itoa(version) + "/" + account
}

// ParseSalt returns the model and version of a salt.
func ParseSalt(salt string) (model string, version int, ok bool) {
	fields := strings.Split(salt, "/")
	if len(fields) < 3 {
		return "", 0, false
	}
	version, err := strconv.Atoi(fields[1])
	return fields[0], version, err == nil
}

// Event is one change of a store's contents.
type Event struct {
	Number uint64
	Part   Part
	Tokens int
	// Removed is true if the part was dropped.
	Removed bool
}

// Listing is the whole contents of a store.
type Listing struct {
	Epoch uint64
	// Last is the number of the newest event that the listing includes.
	Last uint64
	Held map[Part]int
	// Partial holds the parts that are being written or whose writing broke off.
	Partial map[Part]Partial
}

// Partial is the state of a part that is not whole, in tokens.
type Partial struct {
	Complete, Reserved int
}

// StoreConfig describes a store.
type StoreConfig struct {
	// Capacity is in tokens.
	Capacity int
	// TransferDelay is the fixed delay of a transfer, PerToken its time for each token.
	TransferDelay, TransferPerToken time.Duration
	DataCentre                      string
}

type storeState struct {
	StoreConfig
	epoch uint64
	// lastEvent is the number of the newest event that was read.
	lastEvent uint64
	// listed is true once the contents were read in this epoch.
	listed bool
	// synced is false until a listing was read after a gap in the events.
	synced       bool
	held         map[Part]int
	pendingSaves map[Part]pendingSave
	// partial has the parts that are not whole, and since when without progress.
	partial map[Part]partialWrite
	used    int
	fetches throttle
	// meanDelay is that of the time to a first answer of requests that fetched here.
	meanDelay   time.Duration
	meanUpdated time.Time
	// journal is for the instances that follow this one.
	journal journal
}

type pendingSave struct {
	tokens  int
	expires time.Time
	// replica is the replica that reads the part.
	replica string
}

// partialWrite is a part that is not whole: since when it is so without progress,
// and the list that showed it last.
type partialWrite struct {
	Partial
	lastProgress, lastListed time.Time
}

// Directory is the contents of all stores. The zero value knows none. It is not
// safe for concurrent use.
type Directory struct {
	stores     map[string]*storeState
	sizeSample sizeSample
}

// Configure sets the stores. Others are forgotten.
func (d *Directory) Configure(spaces map[string]StoreConfig) {
	if d.stores == nil {
		d.stores = map[string]*storeState{}
	}
	for name := range d.stores {
		if _, ok := spaces[name]; !ok {
			delete(d.stores, name)
		}
	}
	for name, space := range spaces {
		if s, ok := d.stores[name]; ok {
			s.StoreConfig = space
			continue
		}
		d.stores[name] = &storeState{StoreConfig: space, held: map[Part]int{}, pendingSaves: map[Part]pendingSave{}}
	}
}

// Position returns the store's epoch and the number of the last event that was read.
func (d *Directory) Position(store string) (epoch, last uint64) {
	if s, ok := d.stores[store]; ok {
		return s.epoch, s.lastEvent
	}
	return 0, 0
}

// Synced reports whether no event is known to be missing.
func (d *Directory) Synced(store string) bool {
	s, ok := d.stores[store]
	return ok && s.synced
}

// Apply takes events of a store in its epoch. A new epoch means that the store
// restarted empty.
func (d *Directory) Apply(store string, epoch, last uint64, lost bool, events []Event) {
	s, ok := d.stores[store]
	if !ok {
		return
	}
	if epoch != s.epoch {
		s.reset(epoch)
	}
	if lost {
		s.synced = false
	}
	for _, ev := range events {
		if s.listed && ev.Number > s.lastEvent+1 {
			s.synced = false
		}
		s.lastEvent = max(s.lastEvent, ev.Number)
		s.apply(ev)
	}
	s.lastEvent = max(s.lastEvent, last)
}

// Replace takes the whole contents of a store as of now.
func (d *Directory) Replace(now time.Time, store string, l Listing) {
	s, ok := d.stores[store]
	if !ok || l.Epoch == s.epoch && l.Last < s.lastEvent {
		return
	}
	if l.Epoch != s.epoch {
		s.reset(l.Epoch)
	}
	s.journalDiff(l.Held)
	s.lastEvent, s.listed, s.synced, s.held = l.Last, true, true, l.Held
	s.used = 0
	for _, tokens := range l.Held {
		s.used += roundToBlocks(tokens)
	}
	partial := map[Part]partialWrite{}
	for part, p := range l.Partial {
		old, ok := s.partial[part]
		if !ok || old.Complete != p.Complete {
			old.lastProgress = now
		}
		partial[part] = partialWrite{p, old.lastProgress, now}
	}
	s.partial = partial
	for part := range s.pendingSaves {
		if _, ok := l.Held[part]; ok {
			delete(s.pendingSaves, part)
		}
	}
}

// StalledWrites returns the parts of a store whose writing broke off, as two lists some
// time apart showed. They keep their space until they are freed.
func (d *Directory) StalledWrites(store string) []Part {
	var out []Part
	if s, ok := d.stores[store]; ok {
		for part, p := range s.partial {
			if p.lastListed.Sub(p.lastProgress) >= writeStallTimeout {
				out = append(out, part)
			}
		}
	}
	return out
}

// HasPartial reports whether a store has parts that are not whole.
func (d *Directory) HasPartial(store string) bool {
	s, ok := d.stores[store]
	return ok && len(s.partial) > 0
}

// Forget drops what is known of a store that can't be reached.
func (d *Directory) Forget(store string) {
	if s, ok := d.stores[store]; ok {
		s.reset(0)
	}
}

// journalDiff keeps what differs from new contents in the journal.
func (s *storeState) journalDiff(held map[Part]int) {
	for part := range s.held {
		if held[part] == 0 {
			s.journal.add(Event{Part: part, Removed: true})
		}
	}
	for part, tokens := range held {
		if s.held[part] != tokens {
			s.journal.add(Event{Part: part, Tokens: tokens})
		}
	}
}

func (s *storeState) reset(epoch uint64) {
	run := s.journal.generation + 1
	*s = storeState{StoreConfig: s.StoreConfig, epoch: epoch, held: map[Part]int{}, pendingSaves: map[Part]pendingSave{}, journal: journal{generation: run}}
}

func (s *storeState) apply(ev Event) {
	s.journal.add(ev)
	delete(s.pendingSaves, ev.Part)
	delete(s.partial, ev.Part)
	if old, ok := s.held[ev.Part]; ok {
		s.used -= roundToBlocks(old)
		delete(s.held, ev.Part)
	}
	if !ev.Removed {
		s.held[ev.Part] = ev.Tokens
		s.used += roundToBlocks(ev.Tokens)
	}
}

// MarkFreed notes that parts are about to be freed, so that none is fetched any more.
func (d *Directory) MarkFreed(store string, parts []Part) {
	if s, ok := d.stores[store]; ok {
		for _, p := range parts {
			s.apply(Event{Part: p, Removed: true})
			delete(s.partial, p)
		}
	}
}

// Transfer returns the transfer of a part from a store.
func (d *Directory) Transfer(store string, tokens int) pool.Transfer {
	s, ok := d.stores[store]
	if !ok {
		return pool.Transfer{}
	}
	return pool.Transfer{DataCentre: s.DataCentre, Latency: s.TransferDelay, LinkTime: time.Duration(tokens) * s.TransferPerToken}
}

// Locate returns a store that holds all tokens of a part.
func (d *Directory) Locate(p Part, tokens int) (string, bool) {
	best, top := "", uint64(0)
	for name, s := range d.stores {
		if s.held[p] < tokens || s.held[p] == 0 {
			continue
		}
		if score := rendezvousScore(p, name); best == "" || score > top {
			best, top = name, score
		}
	}
	return best, best != ""
}

// SavingReplica returns the replica that reads a part whose save is under way.
func (d *Directory) SavingReplica(now time.Time, p Part) (string, bool) {
	for _, s := range d.stores {
		if sv, ok := s.pendingSaves[p]; ok && now.Before(sv.expires) {
			return sv.replica, true
		}
	}
	return "", false
}

// Reserve chooses a store with room for a part that none holds, and notes that
// it is being saved there by a replica that reads it.
func (d *Directory) Reserve(now time.Time, p Part, tokens int, reader string) (string, bool) {
	if _, ok := d.SavingReplica(now, p); ok {
		return "", false
	}
	best, top, tier := "", 0.0, false
	for name, s := range d.stores {
		room := s.freeTokens(now)
		if !s.listed || room < roundToBlocks(tokens) || s.fetches.share(now) < minSaveShare {
			continue
		}
		// Weighted rendezvous by capacity: instances that save the same part at
		// the same time choose the same store, and stores of one tier fill alike.
		// A store of the part's own tier goes before all others.
		v := float64(s.Capacity) / -math.Log((float64(rendezvousScore(p, name)>>11)+0.5)/(1<<53))
		own := d.inTier(name, tokens)
		if best == "" || own && !tier || own == tier && v > top {
			best, top, tier = name, v, own
		}
	}
	if best == "" {
		return "", false
	}
	d.stores[best].pendingSaves[p] = pendingSave{tokens, now.Add(saveTimeout), reader}
	return best, true
}

func (s *storeState) freeTokens(now time.Time) int {
	taken := s.used + s.partialTokens()
	for p, sv := range s.pendingSaves {
		if !now.Before(sv.expires) {
			delete(s.pendingSaves, p)
			continue
		}
		taken += roundToBlocks(sv.tokens)
	}
	return int(float64(s.Capacity)*maxFillRatio) - taken
}

// partialTokens is the space of parts that are not whole, without those whose save
// is counted already.
func (s *storeState) partialTokens() int {
	sum := 0
	for part, p := range s.partial {
		if _, ok := s.pendingSaves[part]; !ok {
			sum += roundToBlocks(p.Reserved)
		}
	}
	return sum
}

// Stale returns the parts of a store whose salt is not wanted any more.
func (d *Directory) Stale(store string, wanted func(salt string) bool) []Part {
	var out []Part
	if s, ok := d.stores[store]; ok {
		for p := range s.held {
			if !wanted(p.Salt) {
				out = append(out, p)
			}
		}
	}
	return out
}

// Usage returns the tokens held and the space of a store.
func (d *Directory) Usage(store string) (used, capacity int) {
	if s, ok := d.stores[store]; ok {
		return s.used + s.partialTokens(), s.Capacity
	}
	return 0, 0
}

func roundToBlocks(tokens int) int {
	return (tokens + blockTokens - 1) / blockTokens * blockTokens
}

func rendezvousScore(p Part, store string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{p.Salt, "\x00", p.ID, "\x00", store} {
		_, _ = d.WriteString(s)
	}
	return d.Sum64()
}
