// Package simwire is the codec of the simulator's wire protocol. It decodes the binary frames of the
// simulator to events of package policy, and encodes the actions of that package to reply frames.
//
// A batch consists of a header of headerSize bytes (the number of records and the number of bytes
// that follow), the clock, records of EventSize bytes and a tail to which records refer. A reply
// consists of a header of the same form, records of ActionSize bytes and a tail. A record begins
// with its code, 1 byte, and the number of the instance that it is for, 4 bytes. A list table, which
// is for all instances, has its own number there. All numbers are big-endian. Times are in
// milliseconds, as IEEE 754 doubles.
package simwire

import (
	"encoding/binary"
	"math"

	"ploverreel/policy"
)

// Sizes on the wire, in bytes.
const (
	EventSize  = 48      // of a record of a batch
	ActionSize = 24      // of a record of a reply
	entrySize  = 24      // of an entry of an endpoint list
	maxFrame   = 1 << 30 // limit of a batch without its header, far above any valid batch
	headerSize = 8       // of the header of a batch or a reply
	clockSize  = 8       // of the clock of a batch
)

// Limits of the numbers on the wire.
const (
	maxListTables   = 16 // list tables; their numbers start at 0
	maxReportValues = 4  // values in a load report
)

// Bits of the flags of a codeRequestArrived record.
const (
	flagWorkHint = 1 << iota // the record has a work hint
	flagRetry                // the client marked the request as a retry
)

// Event codes. The words in quotes are those of the wire's specification.
const (
	codeClientDisconnected = 16 // "dropped": a client has disconnected
	codeRequestArrived     = 17 // "ask": a request of a client
	codeAttemptEnded       = 18 // "verdict": the outcome of an attempt
	codeListTable          = 19 // "pool": a list table, to which codeEndpointsUpdated refers
	codeResponseStarted    = 20 // "flowing": the first byte of a response
	codeInstanceEnded      = 21 // "killed": an instance has ended
	codeEndpointsUpdated   = 22 // "targets": an endpoint list, or the failure of a call for one
	codePeerMessage        = 23 // "peer data": a message from another agent
	codeHealthCheckEnded   = 24 // "health": the outcome of a health check
	codeInstanceStarted    = 25 // "boot": an instance starts
	codeTimerFired         = 26 // "fired": the delay of a timer has passed
)

// Action codes. The words in quotes are those of the wire's specification.
const (
	codeCloseIdleConnections = 80 // "hang up": close the idle connections to a server
	codeRejectRequest        = 81 // "not now": reject a request
	codeCheckHealth          = 82 // "touch": check a server's health
	codeOpenWatch            = 83 // "follow": watch the endpoint list
	codeSendAttempt          = 84 // "call out": send an attempt
	codeFetchEndpoints       = 85 // "read list": fetch the endpoint list
	codeCrash                = 87 // "crash": the instance's decision code failed
	codeSetTimer             = 88 // "notify me": set a timer
	codeCancelAttempt        = 89 // "retract": cancel an attempt
	codeFailRequest          = 90 // "finish error": fail a request
	codeLogText              = 91 // "trace": a line for the log
)

// modeFailed is the mode of a codeEndpointsUpdated record that carries no list, because the call to
// discovery failed. The other modes are the values of policy.ListKind.
const modeFailed = uint8(policy.ListCached) + 1

// getFloat64 reads an IEEE 754 double from the first 8 bytes of raw.
func getFloat64(raw []byte) float64 { return math.Float64frombits(binary.BigEndian.Uint64(raw)) }

// putFloat64 writes an IEEE 754 double to the first 8 bytes of raw.
func putFloat64(raw []byte, value float64) { binary.BigEndian.PutUint64(raw, math.Float64bits(value)) }
