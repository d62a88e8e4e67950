package simwire

import (
	"encoding/binary"
	"io"

	"ploverreel/policy"
)

// Encoder builds one reply frame at a time. The zero value is an empty frame.
type Encoder struct {
	count   uint32
	records []byte
	tail    []byte
}

// Reset empties the frame and keeps its memory for the next one.
func (e *Encoder) Reset() { e.count, e.records, e.tail = 0, e.records[:0], e.tail[:0] }

// appendRecord appends a record of an instance, with empty fields, and returns its bytes.
func (e *Encoder) appendRecord(code byte, instance uint32) []byte {
	start := len(e.records)
	e.records = append(e.records, make([]byte, ActionSize)...)
	e.count++
	raw := e.records[start:]
	raw[0] = code
	binary.BigEndian.PutUint32(raw[1:], instance)
	return raw
}

// appendText appends a record that refers to a text, and appends the text to the tail.
func (e *Encoder) appendText(code byte, instance uint32, text string) {
	raw := e.appendRecord(code, instance)
	binary.BigEndian.PutUint32(raw[5:], uint32(len(e.tail)))
	binary.BigEndian.PutUint32(raw[9:], uint32(len(text)))
	e.tail = append(e.tail, text...)
}

// AddCrash appends a record which says that the decision code of an instance failed. The text is the
// reason.
func (e *Encoder) AddCrash(instance uint32, text string) { e.appendText(codeCrash, instance, text) }

// Add appends a record for one action of an instance. It skips kinds of actions for which the wire
// has no record.
func (e *Encoder) Add(instance uint32, action *policy.Action) {
	be := binary.BigEndian
	switch action.Kind {
	case policy.ActionSendAttempt:
		raw := e.appendRecord(codeSendAttempt, instance)
		be.PutUint32(raw[5:], uint32(action.Request))
		copy(raw[9:15], action.Server[:])
		putFloat64(raw[15:], action.TimeoutMs)
	case policy.ActionCancelAttempt:
		raw := e.appendRecord(codeCancelAttempt, instance)
		be.PutUint32(raw[5:], uint32(action.Request))
		be.PutUint16(raw[9:], uint16(action.Attempt))
	case policy.ActionRejectRequest:
		raw := e.appendRecord(codeRejectRequest, instance)
		be.PutUint32(raw[5:], uint32(action.Request))
		putFloat64(raw[9:], action.RetryAfterMs)
	case policy.ActionFailRequest:
		be.PutUint32(e.appendRecord(codeFailRequest, instance)[5:], uint32(action.Request))
	case policy.ActionCheckHealth:
		copy(e.appendRecord(codeCheckHealth, instance)[5:11], action.Server[:])
	case policy.ActionSetTimer:
		raw := e.appendRecord(codeSetTimer, instance)
		putFloat64(raw[5:], action.DelayMs)
		be.PutUint32(raw[13:], action.Token)
	case policy.ActionOpenWatch:
		e.appendRecord(codeOpenWatch, instance)[5] = 1
	case policy.ActionFetchEndpoints:
		e.appendRecord(codeFetchEndpoints, instance)
	case policy.ActionCloseIdleConnections:
		copy(e.appendRecord(codeCloseIdleConnections, instance)[5:11], action.Server[:])
	case policy.ActionLogText:
		e.appendText(codeLogText, instance, action.Text)
	}
}

// WriteTo writes the frame to w. It returns the number of bytes written and the error of w. The
// frame is kept until Reset.
func (e *Encoder) WriteTo(w io.Writer) (int64, error) {
	var head [headerSize]byte
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
