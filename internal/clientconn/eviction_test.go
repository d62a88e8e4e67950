package clientconn

import (
	"net"
	"testing"
	"time"
)

// The eviction class of a connection follows from its stage, from the age of the stage and from
// what was read from the connection.
func TestEvictionClassFollowsStageAndAge(t *testing.T) {
	now := time.Now()
	stalled := now.Add(-stalledGrace)
	for _, test := range []struct {
		name     string
		conn     *Conn
		age      time.Duration
		received bool
		want     evictionClass
	}{
		{"new and silent for long", &Conn{stage: stageNew}, defaultSilentGrace, false, evictSilent},
		{"new and silent", &Conn{stage: stageNew}, defaultSilentGrace - 1, false, notEvictable},
		{"new with a head in progress", &Conn{stage: stageNew}, unfinishedGrace - 1, true, notEvictable},
		{"new with an unfinished head", &Conn{stage: stageNew}, unfinishedGrace, true, evictUnfinished},
		{"idle", &Conn{stage: stageIdle}, idleGrace - 1, true, evictIdle},
		{"idle for long", &Conn{stage: stageIdle}, idleGrace, true, evictLongIdle},
		{"idle with a head in progress", &Conn{stage: stageIdle, head: headState{started: true}}, unfinishedGrace - 1, true, notEvictable},
		{"idle with an unfinished head", &Conn{stage: stageIdle, head: headState{started: true}}, idleGrace, true, evictUnfinished},
		{"new with a stalled head", &Conn{stage: stageNew, progress: progress{since: stalled}}, stalledGrace, true, evictStalled},
		{"new with a head that goes on", &Conn{stage: stageNew, progress: progress{since: stalled.Add(1)}}, stalledGrace, true, notEvictable},
		{"idle with a stalled head", &Conn{stage: stageIdle, head: headState{started: true}, progress: progress{since: stalled}}, stalledGrace, true, evictStalled},
		{"active", &Conn{stage: stageActive, progress: progress{since: stalled}}, time.Hour, true, notEvictable},
		{"active with a body in progress", &Conn{stage: stageActive, wait: awaitsBody}, unfinishedGrace - 1, true, notEvictable},
		{"active with a stalled body", &Conn{stage: stageActive, wait: awaitsBody, progress: progress{since: stalled}}, stalledGrace, true, evictStalled},
		{"active with an unfinished body", &Conn{stage: stageActive, wait: awaitsBody}, unfinishedGrace, true, evictUnfinished},
		{"active with an unfinished body, closing", &Conn{stage: stageActive, wait: awaitsBody, closing: true}, unfinishedGrace, true, evictUnfinished},
		{"active with an evicted body", &Conn{stage: stageActive, wait: waitEvicted}, time.Hour, true, notEvictable},
		{"active with a delayed answer", &Conn{stage: stageActive, wait: delaysAnswer}, unfinishedGrace - 1, true, notEvictable},
		{"active with an answer delayed for long", &Conn{stage: stageActive, wait: delaysAnswer, progress: progress{since: stalled}}, stalledGrace, true, evictStalled},
		{"rejected with an answer delayed for long", &Conn{stage: stageRejected, wait: delaysAnswer, progress: progress{since: stalled}}, stalledGrace, true, evictStalled},
		{"rejected, closing, response written", &Conn{stage: stageRejected, closing: true, responseWritten: true}, 0, true, evictRejected},
		{"rejected, response written", &Conn{stage: stageRejected, responseWritten: true}, 0, true, evictRejected},
		{"rejected, response in progress", &Conn{stage: stageRejected}, time.Hour, true, notEvictable},
		{"closing", &Conn{stage: stageIdle, closing: true}, time.Hour, true, notEvictable},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.conn.stageSince = now.Add(-test.age)
			test.conn.received.Store(test.received)
			if got := NewTable(1, 1).evictionClass(test.conn, now); got != test.want {
				t.Errorf("got class %d, want %d", got, test.want)
			}
		})
	}
}

// Among several connections, one of the lowest class is evicted. Within a class it is the one that
// has been in its stage longest.
func TestEvictionCandidateIsOldestOfLowestClass(t *testing.T) {
	now, table := time.Now(), NewTable(10, 10)
	enter := func(conn *Conn, age time.Duration, received bool) *Conn {
		conn.stageSince = now.Add(-age)
		conn.received.Store(received)
		add(t, table, conn, now)
		return conn
	}
	enter(&Conn{stage: stageActive}, time.Hour, true)
	want := []*Conn{
		enter(&Conn{stage: stageIdle}, idleGrace+1, true),
		enter(&Conn{stage: stageIdle}, idleGrace, true),
		enter(&Conn{stage: stageNew}, time.Hour, false),
		enter(&Conn{stage: stageRejected, responseWritten: true}, 0, true),
		enter(&Conn{stage: stageNew}, time.Hour, true),
		enter(&Conn{stage: stageIdle}, 0, true),
	}
	for i, conn := range want {
		if got := table.evictionCandidate(now); got != conn {
			t.Errorf("candidate %d: got %+v, want %+v", i, got, conn)
		}
		delete(table.conns, conn)
	}
	if got := table.evictionCandidate(now); got != nil {
		t.Errorf("got %+v, want none, as it is active", got)
	}
}

// Only one connection is evicted for a new one, even if several could be. The evicted connection
// keeps its slot until it is closed.
func TestTableEvictsOneConnectionForOneNew(t *testing.T) {
	table, now := NewTable(2, 2), time.Now()
	for range 2 {
		add(t, table, &Conn{stage: stageIdle, stageSince: now}, now)
	}
	server, _ := net.Pipe()
	next := &Conn{Conn: server, table: table, stageSince: now}
	for range 3 {
		if got := table.acquire(next, now); got || table.closingCount() != 1 || table.Count() != 2 {
			t.Fatalf("got a slot %v, %d evicted, %d slots taken; want none, 1, 2", got, table.closingCount(), table.Count())
		}
	}
	for conn := range table.conns {
		if conn.closing {
			conn.Close()
		}
	}
	if got := table.acquire(next, now); !got || table.Count() != 2 {
		t.Fatalf("got a slot %v, %d slots taken; want the slot of the closed connection", got, table.Count())
	}
}

// A rejected connection is not evicted before its response is written.
func TestTableKeepsRejectedConnectionUntilResponseIsWritten(t *testing.T) {
	table, now := NewTable(1, 1), time.Now()
	rejected := &Conn{stageSince: now}
	add(t, table, rejected, now)
	next := &Conn{Conn: rejected.Conn, table: table, stageSince: now}
	rejected.MarkRejected()
	if table.acquire(next, now) {
		t.Fatal("got a slot, want none before the response is written")
	}
	_ = rejected.CloseWrite()
	if !table.acquire(next, now) {
		t.Fatal("got no slot, want that of the connection whose response is written")
	}
}
