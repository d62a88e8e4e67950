package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"ploverreel/policy"
)

// Kind is the kind of a record. It determines which fields of the record are set.
type Kind uint8

// The kinds of records, with the fields that each sets.
const (
	InstanceStarted Kind = iota + 1 // Instance, Seed, Settings
	InstanceEnded                   // Instance
	Event                           // Instance, Event
)

// Record is one record of a batch. References to list tables are resolved. The record and its event
// are valid until the function passed to Next returns. The entries and the report of the event stay
// valid.
type Record struct {
	Kind     Kind
	Instance uint32       // number of the balancer that the record is for
	Seed     uint64       // seed of the new instance
	Settings []byte       // settings of the new instance: JSON for ParseSettings
	Event    policy.Event // event for the instance
}

// Decoder reads batches from a stream. It stores the list tables, which are shared by all instances
// of the process and read-only.
type Decoder struct {
	input  io.Reader
	buf    []byte                        // the current batch without its header; reused for the next batch
	lists  [maxListTables][]policy.Entry // by the number of the table
	events eventBuffer                   // holds the events that records point to
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{input: r} }

// Next reads one batch and calls fn for each of its records in order, except for list tables; now is
// the batch's clock in ms. It returns io.EOF if the input ends before a batch begins. An error of fn
// is returned as it is. Any other error names the field that is truncated, out of range or unknown.
// After an error the Decoder can't be used any more.
func (d *Decoder) Next(fn func(now float64, record *Record) error) error {
	var head [headerSize]byte
	if _, err := io.ReadFull(d.input, head[:]); err != nil {
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return io.EOF
		}
		return fmt.Errorf("batch header: truncated: %w", err)
	}
	count, size := binary.BigEndian.Uint32(head[:4]), binary.BigEndian.Uint32(head[4:])
	if size < clockSize || size > maxFrame {
		return fmt.Errorf("batch header: length: %d is out of range", size)
	}
	if uint64(count)*EventSize > uint64(size)-clockSize {
		return fmt.Errorf("batch header: number of records: %d do not fit into %d bytes", count, size)
	}
	if err := d.fill(int(size)); err != nil {
		return err
	}
	now := getFloat64(d.buf)
	if math.IsNaN(now) || math.IsInf(now, 0) {
		return fmt.Errorf("batch header: clock: not a number")
	}
	records := d.buf[clockSize : clockSize+int(count)*EventSize]
	tail := d.buf[clockSize+len(records):]
	var record Record
	for i := range int(count) {
		raw := records[i*EventSize : (i+1)*EventSize]
		record = Record{}
		if err := d.decode(raw, tail, &record); err != nil {
			return fmt.Errorf("record %d: %w", i, err)
		}
		if record.Kind == 0 {
			continue // a list table, which decode has stored
		}
		if err := fn(now, &record); err != nil {
			return err
		}
	}
	return nil
}

// fill reads size bytes into the buffer. It reads in steps, so that a wrong length in a header
// allocates at most about twice the number of bytes that arrive.
func (d *Decoder) fill(size int) error {
	const step = 1 << 20 // bytes
	d.buf = d.buf[:0]
	for len(d.buf) < size {
		n := min(step, size-len(d.buf))
		filled := len(d.buf)
		if cap(d.buf) < filled+n {
			d.buf = append(d.buf, make([]byte, n)...)
		}
		d.buf = d.buf[:filled+n]
		if _, err := io.ReadFull(d.input, d.buf[filled:]); err != nil {
			return fmt.Errorf("batch: truncated at %d of %d bytes: %w", filled, size, err)
		}
	}
	return nil
}

// span returns the part of the tail to which a field refers. The field consists of an offset in
// bytes and a length in units of unitSize bytes. The error names the field.
func span(field string, raw, tail []byte, unitSize int) ([]byte, error) {
	offset, length := uint64(binary.BigEndian.Uint32(raw)), uint64(binary.BigEndian.Uint32(raw[4:]))
	end := offset + length*uint64(unitSize)
	if end > uint64(len(tail)) {
		return nil, fmt.Errorf("%s: offset %d and length %d pass the tail's %d bytes", field, offset, length, len(tail))
	}
	return tail[offset:end], nil
}

// decode decodes one record. It stores a list table for later records and sets the kind 0 for it.
func (d *Decoder) decode(raw, tail []byte, record *Record) (err error) {
	record.Kind = Event
	record.Instance = binary.BigEndian.Uint32(raw[1:])
	switch raw[0] {
	case codeInstanceStarted:
		record.Kind, record.Seed = InstanceStarted, binary.BigEndian.Uint64(raw[5:])
		record.Settings, err = span("boot: settings", raw[13:], tail, 1)
	case codeInstanceEnded:
		record.Kind = InstanceEnded
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
