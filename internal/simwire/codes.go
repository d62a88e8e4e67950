// Package simwire is the codec of the simulator's wire: it translates its binary frames to the events of
// package policy, and that package's actions to reply frames. It decides nothing.
//
// A batch is a header of 8 bytes (the number of records and the bytes that follow), the clock, records
// of EventSize bytes and a tail that records point into. A reply is a header of the same form, records
// of ActionSize bytes and a tail. All numbers are big-endian; times are milliseconds as IEEE 754 doubles.
// The codes have the words of the wire's own page; the comments say what they stand for.
package simwire

import (
	"encoding/binary"
	"math"

	"ploverreel/policy"
)

// Sizes on the wire, in bytes.
const (
	EventSize  = 48      // a record of a batch
	ActionSize = 24      // a record of a reply
	entrySize  = 24      // a line of an endpoint list
	maxFrame   = 1 << 30 // no legal batch comes near it
)

// Event codes.
const (
	codeDropped  = 16 // a client has left
	codeAsk      = 17 // a request of a client
	codeVerdict  = 18 // the outcome of an attempt
	codePool     = 19 // a list table, to which codeTargets points
	codeFlowing  = 20 // the first byte of an answer
	codeKilled   = 21 // an instance has ended
	codeTargets  = 22 // an endpoint list
	codePeerData = 23 // a message of another agent
	codeHealth   = 24 // the outcome of a health check
	codeBoot     = 25 // an instance starts
	codeFired    = 26 // a timer
)

// Action codes.
const (
	codeHangUp      = 80 // close the idle connections to a server
	codeNotNow      = 81 // reject a request
	codeTouch       = 82 // check a server's health
	codeFollow      = 83 // watch the endpoint list
	codeCallOut     = 84 // send an attempt
	codeReadList    = 85 // fetch the endpoint list
	codeCrash       = 87 // the instance's decision code failed
	codeNotifyMe    = 88 // set a timer
	codeRetract     = 89 // cancel an attempt
	codeFinishError = 90 // fail a request
	codeTrace       = 91 // a line for the log
)

// modeFailed is the mode of a codeTargets that no list came with, as the call has failed. The others are
// the policy.ListKind of what came.
const modeFailed = uint8(policy.ListCached) + 1

// getFloat64 reads an IEEE 754 double at the beginning of raw.
func getFloat64(raw []byte) float64 { return math.Float64frombits(binary.BigEndian.Uint64(raw)) }

// putFloat64 writes an IEEE 754 double at the beginning of raw.
func putFloat64(raw []byte, value float64) { binary.BigEndian.PutUint64(raw, math.Float64bits(value)) }
