package simwire

import (
	"encoding/binary"
	"fmt"
	"math"

	"ploverreel/policy"
)

// storeListTable decodes a list table and stores it under its number.
func (d *Decoder) storeListTable(raw, tail []byte) error {
	be := binary.BigEndian
	table := be.Uint32(raw[1:])
	if int64(table) >= int64(len(d.lists)) {
		return fmt.Errorf("pool: table: %d is out of range", table)
	}
	rawEntries, err := span("pool: hosts", raw[5:], tail, entrySize)
	if err != nil {
		return err
	}
	entries := make([]policy.Entry, 0, len(rawEntries)/entrySize)
	for ; len(rawEntries) > 0; rawEntries = rawEntries[entrySize:] {
		if rawEntries[10] > uint8(policy.HealthGone) {
			return fmt.Errorf("pool: health: unknown value %d", rawEntries[10])
		}
		entries = append(entries, policy.Entry{
			Zone:        int(be.Uint16(rawEntries)),
			StartedMs:   getFloat64(rawEntries[2:]),
			Health:      policy.Health(rawEntries[10]),
			Server:      policy.Addr(rawEntries[11:17]),
			Weight:      float64(math.Float32frombits(be.Uint32(rawEntries[17:]))),
			Cell:        int(be.Uint16(rawEntries[21:])),
			MachineKind: int(rawEntries[23]),
		})
	}
	d.lists[table] = entries // a new slice, because earlier events still refer to the former one
	return nil
}

// decodeEndpointsUpdated decodes an endpoint list, whose entries are in an earlier list table, or
// the failure of a call to discovery.
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
