package simwire

import (
	"encoding/binary"
	"io"

	"ploverreel/policy"
)

// Encoder builds one reply frame at a time. Its zero value is an empty frame.
type Encoder struct {
	count   uint32
	records []byte
	tail    []byte
}

// Reset empties the frame; its memory is used again.
func (e *Encoder) Reset() { e.count, e.records, e.tail = 0, e.records[:0], e.tail[:0] }

// record appends an empty record of an instance and returns it.
func (e *Encoder) record(code byte, instance uint32) []byte {
	at := len(e.records)
	e.records = append(e.records, make([]byte, ActionSize)...)
	e.count++
	raw := e.records[at:]
	raw[0] = code
	binary.BigEndian.PutUint32(raw[1:], instance)
	return raw
}

// text appends a record whose text is in the tail.
func (e *Encoder) text(code byte, instance uint32, text string) {
	raw := e.record(code, instance)
	binary.BigEndian.PutUint32(raw[5:], uint32(len(e.tail)))
	binary.BigEndian.PutUint32(raw[9:], uint32(len(text)))
	e.tail = append(e.tail, text...)
}

// Crash appends the record that an instance's decision code failed, with the reason.
func (e *Encoder) Crash(instance uint32, text string) { e.text(codeCrash, instance, text) }

// Add appends one action of an instance. Kinds of actions that the wire has no record for are skipped.
func (e *Encoder) Add(instance uint32, action *policy.Action) {
	be := binary.BigEndian
	switch action.Kind {
	case policy.ActionSendAttempt:
		raw := e.record(codeSendAttempt, instance)
		be.PutUint32(raw[5:], uint32(action.Request))
		copy(raw[9:15], action.Server[:])
		putFloat64(raw[15:], action.TimeoutMs)
	case policy.ActionCancelAttempt:
		raw := e.record(codeCancelAttempt, instance)
		be.PutUint32(raw[5:], uint32(action.Request))
		be.PutUint16(raw[9:], uint16(action.Attempt))
	case policy.ActionRejectRequest:
		raw := e.record(codeRejectRequest, instance)
		be.PutUint32(raw[5:], uint32(action.Request))
		putFloat64(raw[9:], action.RetryAfterMs)
	case policy.ActionFailRequest:
		be.PutUint32(e.record(codeFailRequest, instance)[5:], uint32(action.Request))
	case policy.ActionCheckHealth:
		copy(e.record(codeCheckHealth, instance)[5:11], action.Server[:])
	case policy.ActionSetTimer:
		raw := e.record(codeSetTimer, instance)
		putFloat64(raw[5:], action.DelayMs)
		be.PutUint32(raw[13:], action.Token)
	case policy.ActionOpenWatch:
		e.record(codeOpenWatch, instance)[5] = 1
	case policy.ActionFetchEndpoints:
		e.record(codeFetchEndpoints, instance)
	case policy.ActionCloseIdleConnections:
		copy(e.record(codeCloseIdleConnections, instance)[5:11], action.Server[:])
	case policy.ActionLogText:
		e.text(codeLogText, instance, action.Text)
	}
}

// WriteTo writes the frame to w and returns the bytes written, or the error of w. The frame stays until
// Reset.
func (e *Encoder) WriteTo(w io.Writer) (int64, error) {
	var head [8]byte
	binary.BigEndian.PutUint32(head[:], e.count)
	binary.BigEndian.PutUint32(head[4:], uint32(len(e.records)+len(e.tail)))
	var total int64
	for _, part := range [][]byte{head[:], e.records, e.tail} {
		n, err := w.Write(part)
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}
