package simwire

import (
	"encoding/binary"
	"fmt"
	"math"

	"ploverreel/policy"
)

// storeListTable decodes a list table and keeps it under its number.
func (d *Decoder) storeListTable(raw, tail []byte) error {
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

// decodeEndpointsUpdated decodes an endpoint list, whose entries are in a table that came before, or the failure
// of a call for one.
func (d *Decoder) decodeEndpointsUpdated(raw []byte) (policy.Event, error) {
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
