package simwire

import (
	"encoding/binary"
	"fmt"
	"math"

	"ploverreel/policy"
)

// eventBuffer holds one event of each type that has fields. The next event of the type overwrites
// it, so that decoding allocates no memory for these events.
type eventBuffer struct {
	arrived      policy.RequestArrived
	ended        policy.AttemptEnded
	started      policy.ResponseStarted
	disconnected policy.ClientDisconnected
	updated      policy.EndpointsUpdated
	checked      policy.HealthCheckEnded
	fired        policy.TimerFired
}

// decodeRequestArrived decodes the arrival of a client's request.
func (b *eventBuffer) decodeRequestArrived(raw []byte) policy.Event {
	be := binary.BigEndian
	b.arrived = policy.RequestArrived{
		Request:     getRequest(raw),
		Class:       int(be.Uint16(raw[9:])),
		Tenant:      int(be.Uint32(raw[11:])),
		Key:         be.Uint64(raw[15:]),
		TimeLeftMs:  getFloat64(raw[23:]),
		WorkHintMs:  getFloat64(raw[31:]),
		HasWorkHint: raw[39]&flagWorkHint != 0,
		Retry:       raw[39]&flagRetry != 0,
	}
	return &b.arrived
}

// decodeAttemptEnded decodes the outcome of an attempt.
func (b *eventBuffer) decodeAttemptEnded(raw []byte) (policy.Event, error) {
	values, err := decodeReport("verdict: report", raw[28:])
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

// decodeResponseStarted decodes the arrival of a response's first byte.
func (b *eventBuffer) decodeResponseStarted(raw []byte) policy.Event {
	b.started = policy.ResponseStarted{
		Request:   getRequest(raw),
		Server:    policy.Addr(raw[9:15]),
		LatencyMs: getFloat64(raw[15:]),
		Attempt:   int(binary.BigEndian.Uint16(raw[23:])),
	}
	return &b.started
}

// decodeHealthCheckEnded decodes the outcome of a health check.
func (b *eventBuffer) decodeHealthCheckEnded(raw []byte) (policy.Event, error) {
	values, err := decodeReport("health: report", raw[21:])
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

// getRequest returns the request id of a record.
func getRequest(raw []byte) policy.RequestID {
	return policy.RequestID(binary.BigEndian.Uint32(raw[5:]))
}

// decodeReport decodes a load report: the number of its values, at most maxReportValues, then the
// values as 32-bit floats. It returns nil for an empty report. The error names the field.
func decodeReport(field string, raw []byte) ([]float32, error) {
	if raw[0] == 0 {
		return nil, nil
	}
	if raw[0] > maxReportValues {
		return nil, fmt.Errorf("%s: %d values, at most 4", field, raw[0])
	}
	values := make([]float32, raw[0])
	for i := range values {
		values[i] = math.Float32frombits(binary.BigEndian.Uint32(raw[1+4*i:]))
	}
	return values, nil
}
