package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"ploverreel/policy"
)

// Kind says which event of the wire a record of a batch holds.
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

// decode decodes a record. A list table is kept for the records behind it, and leaves the kind 0.
func (d *Decoder) decode(raw, tail []byte, record *Record) (err error) {
	record.Kind = Event
	record.Instance = binary.BigEndian.Uint32(raw[1:])
	switch raw[0] {
	case codeInstanceStarted:
		record.Kind, record.Seed = Boot, binary.BigEndian.Uint64(raw[5:])
		record.Settings, err = span("boot: settings", raw[13:], tail, 1)
	case codeInstanceEnded:
		record.Kind = Killed
	case codeListTable:
		record.Kind = 0
		err = d.storeListTable(raw, tail)
	case codeEndpointsUpdated:
		record.Event, err = d.decodeEndpointsUpdated(raw)
	case codeRequestArrived:
		record.Event = d.events.decodeRequestArrived(raw)
	case codeAttemptEnded:
		record.Event, err = d.events.decodeAttemptEnded(raw)
	case codeResponseStarted:
		record.Event = d.events.decodeResponseStarted(raw)
	case codeClientDisconnected:
		d.events.disconnected = policy.ClientDisconnected{Request: getRequest(raw)}
		record.Event = &d.events.disconnected
	case codeHealthCheckEnded:
		record.Event, err = d.events.decodeHealthCheckEnded(raw)
	case codeTimerFired:
		d.events.fired = policy.TimerFired{Token: binary.BigEndian.Uint32(raw[5:])}
		record.Event = &d.events.fired
	case codePeerMessage:
		record.Event = &policy.PeerMessageReceived{}
		_, err = span("peer_data: msg", raw[9:], tail, 1)
	default:
		err = fmt.Errorf("code: unknown event %d", raw[0])
	}
	return err
}
