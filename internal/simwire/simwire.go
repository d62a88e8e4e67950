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
	"encoding/json"
	"errors"
	"fmt"
	"io"
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

// Kind tells what a record of a batch is about.
type Kind uint8

// The kinds of records.
const (
	Boot   Kind = iota + 1 // Instance, Seed, Settings
	Killed                 // Instance
	Event                  // Instance, Event
)

// Record is one record of a batch, with its list tables resolved. It and its event are valid until the
// function that Next calls returns; the entries and the report of the event stay valid.
type Record struct {
	Kind     Kind
	Instance uint32       // the balancer that it is for
	Seed     uint64       // of a Boot
	Settings []byte       // of a Boot: JSON, for ParseSettings
	Event    policy.Event // of an Event
}

// Decoder reads batches from a stream. It keeps the numbered list tables,
// which belong to the process and are shared, read-only, by all instances.
type Decoder struct {
	input io.Reader
	buf   []byte // the batch behind its header, used again for the next
	lists [16][]policy.Entry
	// events holds what the records' events point to.
	events eventBuffer
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{input: r} }

// Next reads one batch and calls fn for each of its records in order; now is the batch's clock in ms.
// It returns io.EOF if the input ends before a batch, the error of fn if that returns one, and else an
// error that names the field that is truncated, out of range or unknown; nothing more can be read then.
func (d *Decoder) Next(fn func(now float64, record *Record) error) error {
	var head [8]byte
	if _, err := io.ReadFull(d.input, head[:]); err != nil {
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return io.EOF
		}
		return fmt.Errorf("batch header: truncated: %w", err)
	}
	count, size := binary.BigEndian.Uint32(head[:4]), binary.BigEndian.Uint32(head[4:])
	if size < 8 || size > maxFrame {
		return fmt.Errorf("batch header: length: %d is out of range", size)
	}
	if uint64(count)*EventSize > uint64(size)-8 {
		return fmt.Errorf("batch header: number of records: %d do not fit into %d bytes", count, size)
	}
	if err := d.fill(int(size)); err != nil {
		return err
	}
	now := getFloat64(d.buf)
	if math.IsNaN(now) || math.IsInf(now, 0) {
		return fmt.Errorf("batch header: clock: not a number")
	}
	records := d.buf[8 : 8+int(count)*EventSize]
	tail := d.buf[8+len(records):]
	var record Record
	for i := range int(count) {
		raw := records[i*EventSize : (i+1)*EventSize]
		record = Record{}
		if err := d.decode(raw, tail, &record); err != nil {
			return fmt.Errorf("record %d: %w", i, err)
		}
		if record.Kind == 0 {
			continue // a list table
		}
		if err := fn(now, &record); err != nil {
			return err
		}
	}
	return nil
}

// fill reads size bytes in steps, so that a false length allocates no more
// than about twice what really arrives.
func (d *Decoder) fill(size int) error {
	const step = 1 << 20
	d.buf = d.buf[:0]
	for len(d.buf) < size {
		n := min(step, size-len(d.buf))
		at := len(d.buf)
		if cap(d.buf) < at+n {
			d.buf = append(d.buf, make([]byte, n)...)
		}
		d.buf = d.buf[:at+n]
		if _, err := io.ReadFull(d.input, d.buf[at:]); err != nil {
			return fmt.Errorf("batch: truncated at %d of %d bytes: %w", at, size, err)
		}
	}
	return nil
}

// span resolves a field of an offset into the tail, in bytes, and a length in units of so many bytes.
// It returns a part of the tail, or an error that names the field.
func span(field string, raw, tail []byte, unit int) ([]byte, error) {
	offset, length := uint64(binary.BigEndian.Uint32(raw)), uint64(binary.BigEndian.Uint32(raw[4:]))
	end := offset + length*uint64(unit)
	if end > uint64(len(tail)) {
		return nil, fmt.Errorf("%s: offset %d and length %d pass the tail's %d bytes", field, offset, length, len(tail))
	}
	return tail[offset:end], nil
}

// modeFailed is the mode of a codeTargets that no list came with, as the call has failed. The others are
// the policy.ListKind of what came.
const modeFailed = uint8(policy.ListCached) + 1

// decode decodes a record. A list table is kept for the records behind it, and leaves the kind 0.
func (d *Decoder) decode(raw, tail []byte, record *Record) (err error) {
	record.Kind = Event
	record.Instance = binary.BigEndian.Uint32(raw[1:])
	switch raw[0] {
	case codeBoot:
		record.Kind, record.Seed = Boot, binary.BigEndian.Uint64(raw[5:])
		record.Settings, err = span("boot: settings", raw[13:], tail, 1)
	case codeKilled:
		record.Kind = Killed
	case codePool:
		record.Kind = 0
		err = d.keepList(raw, tail)
	case codeTargets:
		record.Event, err = d.decodeTargets(raw)
	case codeAsk:
		record.Event = d.events.decodeAsk(raw)
	case codeVerdict:
		record.Event, err = d.events.decodeVerdict(raw)
	case codeFlowing:
		record.Event = d.events.decodeFlowing(raw)
	case codeDropped:
		d.events.disconnected = policy.ClientDisconnected{Request: getRequest(raw)}
		record.Event = &d.events.disconnected
	case codeHealth:
		record.Event, err = d.events.decodeHealth(raw)
	case codeFired:
		d.events.fired = policy.TimerFired{Token: binary.BigEndian.Uint32(raw[5:])}
		record.Event = &d.events.fired
	case codePeerData:
		record.Event = &policy.PeerMessageReceived{}
		_, err = span("peer_data: msg", raw[9:], tail, 1)
	default:
		err = fmt.Errorf("code: unknown event %d", raw[0])
	}
	return err
}

// getRequest is the request that a record is about.
func getRequest(raw []byte) policy.RequestID {
	return policy.RequestID(binary.BigEndian.Uint32(raw[5:]))
}

// decodeTargets decodes an endpoint list, whose entries are in a table that came before, or the failure
// of a call for one.
func (d *Decoder) decodeTargets(raw []byte) (policy.Event, error) {
	mode := raw[5]
	if mode > modeFailed {
		return nil, fmt.Errorf("targets: mode: unknown value %d", mode)
	}
	if mode == modeFailed {
		return &policy.DiscoveryFailed{}, nil
	}
	table := binary.BigEndian.Uint32(raw[10:])
	if int64(table) >= int64(len(d.lists)) {
		return nil, fmt.Errorf("targets: table: %d is out of range", table)
	}
	d.events.updated = policy.EndpointsUpdated{Kind: policy.ListKind(mode), Entries: d.lists[table]}
	return &d.events.updated, nil
}

// eventBuffer holds one event of each type that has fields, overwritten by the next of that type, so
// that decoding a record allocates nothing for its event.
type eventBuffer struct {
	arrived      policy.RequestArrived
	ended        policy.AttemptEnded
	started      policy.ResponseStarted
	disconnected policy.ClientDisconnected
	updated      policy.EndpointsUpdated
	checked      policy.HealthCheckEnded
	fired        policy.TimerFired
}

// decodeAsk decodes a request of a client.
func (b *eventBuffer) decodeAsk(raw []byte) policy.Event {
	be := binary.BigEndian
	b.arrived = policy.RequestArrived{
		Request:     getRequest(raw),
		Class:       int(be.Uint16(raw[9:])),
		Tenant:      int(be.Uint32(raw[11:])),
		Key:         be.Uint64(raw[15:]),
		TimeLeftMs:  getFloat64(raw[23:]),
		WorkHintMs:  getFloat64(raw[31:]),
		HasWorkHint: raw[39]&1 != 0,
		Retry:       raw[39]&2 != 0,
	}
	return &b.arrived
}

// decodeVerdict decodes the outcome of an attempt.
func (b *eventBuffer) decodeVerdict(raw []byte) (policy.Event, error) {
	values, err := report("verdict: report", raw[28:])
	if err != nil {
		return nil, err
	}
	be := binary.BigEndian
	b.ended = policy.AttemptEnded{
		Request:   getRequest(raw),
		Attempt:   int(be.Uint16(raw[9:])),
		Server:    policy.Addr(raw[11:17]),
		Status:    policy.Status(be.Uint16(raw[17:])),
		LatencyMs: getFloat64(raw[19:]),
		Final:     raw[27] != 0,
		Report:    values,
	}
	if status := b.ended.Status; status != policy.StatusOK &&
		(status < policy.StatusServerError || status > policy.StatusNotSent) {
		return nil, fmt.Errorf("verdict: ending: unknown value %d", status)
	}
	return &b.ended, nil
}

// decodeFlowing decodes the first byte of an attempt's answer.
func (b *eventBuffer) decodeFlowing(raw []byte) policy.Event {
	b.started = policy.ResponseStarted{
		Request:   getRequest(raw),
		Server:    policy.Addr(raw[9:15]),
		LatencyMs: getFloat64(raw[15:]),
		Attempt:   int(binary.BigEndian.Uint16(raw[23:])),
	}
	return &b.started
}

// decodeHealth decodes the outcome of a health check.
func (b *eventBuffer) decodeHealth(raw []byte) (policy.Event, error) {
	values, err := report("health: report", raw[21:])
	if err != nil {
		return nil, err
	}
	b.checked = policy.HealthCheckEnded{
		Server:    policy.Addr(raw[5:11]),
		Status:    policy.Status(binary.BigEndian.Uint16(raw[11:])),
		LatencyMs: getFloat64(raw[13:]),
		Report:    values,
	}
	return &b.checked, nil
}

// keepList decodes a list table and keeps it under its number.
func (d *Decoder) keepList(raw, tail []byte) error {
	be := binary.BigEndian
	table := be.Uint32(raw[1:])
	if int64(table) >= int64(len(d.lists)) {
		return fmt.Errorf("pool: table: %d is out of range", table)
	}
	lines, err := span("pool: hosts", raw[5:], tail, entrySize)
	if err != nil {
		return err
	}
	entries := make([]policy.Entry, 0, len(lines)/entrySize)
	for ; len(lines) > 0; lines = lines[entrySize:] {
		if lines[10] > uint8(policy.HealthGone) {
			return fmt.Errorf("pool: health: unknown value %d", lines[10])
		}
		entries = append(entries, policy.Entry{
			Zone:        int(be.Uint16(lines)),
			StartedMs:   getFloat64(lines[2:]),
			Health:      policy.Health(lines[10]),
			Server:      policy.Addr(lines[11:17]),
			Weight:      float64(math.Float32frombits(be.Uint32(lines[17:]))),
			Cell:        int(be.Uint16(lines[21:])),
			MachineKind: int(lines[23]),
		})
	}
	d.lists[table] = entries // a fresh slice: events of the old list keep theirs
	return nil
}

// report reads the values of a load report: their number, at most 4, and 32-bit floats. None is nil.
func report(field string, raw []byte) ([]float32, error) {
	if raw[0] == 0 {
		return nil, nil
	}
	if raw[0] > 4 {
		return nil, fmt.Errorf("%s: %d values, at most 4", field, raw[0])
	}
	values := make([]float32, raw[0])
	for i := range values {
		values[i] = math.Float32frombits(binary.BigEndian.Uint32(raw[1+4*i:]))
	}
	return values, nil
}

// ParseSettings reads the settings' JSON, as a Boot record or an agent's configuration has it. Unknown
// keys are skipped. The error of a value of the wrong type names its key; values are checked by policy.New.
func ParseSettings(text []byte) (policy.Settings, error) {
	var settings policy.Settings
	if err := json.Unmarshal(text, &settings); err != nil {
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) {
			return settings, fmt.Errorf("settings: %s: cannot be a %s", wrongType.Field, wrongType.Value)
		}
		return settings, fmt.Errorf("settings: no JSON: %w", err)
	}
	return settings, nil
}

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
		raw := e.record(codeCallOut, instance)
		be.PutUint32(raw[5:], uint32(action.Request))
		copy(raw[9:15], action.Server[:])
		putFloat64(raw[15:], action.TimeoutMs)
	case policy.ActionCancelAttempt:
		raw := e.record(codeRetract, instance)
		be.PutUint32(raw[5:], uint32(action.Request))
		be.PutUint16(raw[9:], uint16(action.Attempt))
	case policy.ActionRejectRequest:
		raw := e.record(codeNotNow, instance)
		be.PutUint32(raw[5:], uint32(action.Request))
		putFloat64(raw[9:], action.RetryAfterMs)
	case policy.ActionFailRequest:
		be.PutUint32(e.record(codeFinishError, instance)[5:], uint32(action.Request))
	case policy.ActionCheckHealth:
		copy(e.record(codeTouch, instance)[5:11], action.Server[:])
	case policy.ActionSetTimer:
		raw := e.record(codeNotifyMe, instance)
		putFloat64(raw[5:], action.DelayMs)
		be.PutUint32(raw[13:], action.Token)
	case policy.ActionOpenWatch:
		e.record(codeFollow, instance)[5] = 1
	case policy.ActionFetchEndpoints:
		e.record(codeReadList, instance)
	case policy.ActionCloseIdleConnections:
		copy(e.record(codeHangUp, instance)[5:11], action.Server[:])
	case policy.ActionLogText:
		e.text(codeTrace, instance, action.Text)
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

func getFloat64(raw []byte) float64 { return math.Float64frombits(binary.BigEndian.Uint64(raw)) }

func putFloat64(raw []byte, value float64) { binary.BigEndian.PutUint64(raw, math.Float64bits(value)) }
