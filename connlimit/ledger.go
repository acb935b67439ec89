package connlimit

import "container/list"

// phase is what a connection is doing. Only connections in phaseWaiting, phaseSending and
// phaseIdle may be ended.
type phase int

const (
	// phaseWaiting is a new connection on which nothing has arrived.
	phaseWaiting phase = iota
	// phaseSending is a connection with an incomplete head or body.
	phaseSending
	// phaseIdle is a connection between two requests.
	phaseIdle
	// phaseRunning is a connection whose request is complete, so that it may have been passed on.
	phaseRunning
	// phaseEnded is a connection that was ended, but whose goroutine may not have noticed yet.
	phaseEnded
	phaseCount
)

// entry is one connection in a ledger.
type entry struct {
	phase phase
	// progress orders entries by when they last made progress. It is unique.
	progress uint64
	// bytes is the memory that the connection's head and body take.
	bytes int64
	// held is the memory that the handler has for the request. Unlike bytes it stays until the
	// handler returns, also after the connection was ended.
	held int64
	// closed is set once the connection has no descriptor any more.
	closed  bool
	element *list.Element
	// owner is the connection that the entry stands for.
	owner *Conn
}

// ledger counts what the connections of all callers take, and finds those to end. It has no clock,
// lock or I/O.
type ledger struct {
	limits Limits
	// open is the number of connections with a descriptor. ending is the number of those without
	// one whose goroutines have not returned yet.
	open, ending int
	// bytes and held are the sums of the entries' fields of these names.
	bytes, held int64
	// progress is that of the entry that made progress last.
	progress uint64
	// queues hold the entries of each phase, longest without progress first.
	queues [phaseCount]list.List
}

// full reports whether as many connections are open as may be.
func (l *ledger) full() bool { return l.open >= l.limits.Conns }

// tooManyEnding reports whether the goroutines of closed connections leave no room for another.
func (l *ledger) tooManyEnding() bool {
	return l.open+l.ending >= l.limits.Conns+l.limits.Conns/endingDivisor
}

// add adds a connection.
func (l *ledger) add(e *entry) {
	l.open++
	e.phase = phaseWaiting
	l.enqueue(e)
}

func (l *ledger) enqueue(e *entry) {
	l.progress++
	e.progress = l.progress
	e.element = l.queues[e.phase].PushBack(e)
}

// setPhase changes the phase of an entry, which counts as progress. An ended one stays so.
func (l *ledger) setPhase(e *entry, p phase) {
	if e.phase == phaseEnded {
		return
	}
	l.queues[e.phase].Remove(e.element)
	e.phase = p
	l.enqueue(e)
}

// charge sets the memory that an entry takes. An ended one takes none.
func (l *ledger) charge(e *entry, bytes int64) {
	if e.phase == phaseEnded {
		return
	}
	l.bytes += bytes - e.bytes
	e.bytes = bytes
}

// hold sets the memory that the handler of an entry has, also if the entry has ended.
func (l *ledger) hold(e *entry, bytes int64) {
	l.held += bytes - e.held
	e.held = bytes
}

// mustWait reports whether an entry's handler may not have that much memory yet, because the
// handlers of ended connections still have theirs.
func (l *ledger) mustWait(e *entry, bytes int64) bool {
	return l.held-e.held+bytes > l.limits.Bytes+l.limits.Bytes/heldDivisor
}

// end marks an entry as ended. Its memory counts as free, since its handler is about to return.
func (l *ledger) end(e *entry) {
	l.charge(e, 0)
	l.setPhase(e, phaseEnded)
}

// close counts the descriptor of an entry as free, and its goroutine as ending.
func (l *ledger) close(e *entry) {
	if !e.closed {
		e.closed = true
		l.open--
		l.ending++
	}
}

// remove removes an entry whose connection the server has closed, so that its goroutine is about to
// return.
func (l *ledger) remove(e *entry) {
	l.charge(e, 0)
	l.close(e)
	l.ending--
	l.queues[e.phase].Remove(e.element)
}

// oldest returns the entry of two queues that has made no progress for longest, or nil.
func oldest(a, b *list.List) *entry {
	first, second := a.Front(), b.Front()
	switch {
	case first == nil && second == nil:
		return nil
	case second == nil:
		return first.Value.(*entry)
	case first == nil:
		return second.Value.(*entry)
	}
	x, y := first.Value.(*entry), second.Value.(*entry)
	if y.progress < x.progress {
		return y
	}
	return x
}

// nextForDescriptors returns the connection to end so that another may be opened, or nil.
func (l *ledger) nextForDescriptors() *entry {
	if e := oldest(&l.queues[phaseWaiting], &l.queues[phaseSending]); e != nil {
		return e
	}
	if front := l.queues[phaseIdle].Front(); front != nil {
		return front.Value.(*entry)
	}
	return nil
}

// nextForMemory returns the connection to end so that another may take memory, or nil.
func (l *ledger) nextForMemory() *entry {
	if front := l.queues[phaseSending].Front(); front != nil {
		return front.Value.(*entry)
	}
	return nil
}

func (l *ledger) overMemory() bool { return l.bytes > l.limits.Bytes }
