package simwire

import (
	"bytes"
	"encoding/hex"
	"io"
	"reflect"
	"strings"
	"testing"

	"ploverreel/policy"
)

// frame decodes hex text to the bytes of a frame. Blanks and newlines in the text are ignored.
func frame(t testing.TB, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// zeros returns n zero bytes as hex text.
func zeros(n int) string { return strings.Repeat("00", n) }

// decodeAll decodes a stream of batches. It returns a copy of each record and the clock of its
// batch.
func decodeAll(data []byte) (clocks []float64, recs []Record, err error) {
	d := NewDecoder(bytes.NewReader(data))
	for {
		err := d.Next(func(now float64, r *Record) error {
			clocks, recs = append(clocks, now), append(recs, *r)
			recs[len(recs)-1].Event = cloneEvent(r.Event)
			return nil
		})
		if err == io.EOF {
			return clocks, recs, nil
		}
		if err != nil {
			return clocks, recs, err
		}
	}
}

// cloneEvent returns a copy of an event, which stays valid after the decoder's next record. It
// returns nil for nil.
func cloneEvent(event policy.Event) policy.Event {
	if event == nil {
		return nil
	}
	clone := reflect.New(reflect.TypeOf(event).Elem())
	clone.Elem().Set(reflect.ValueOf(event).Elem())
	return clone.Interface().(policy.Event)
}

// eventOf returns the event of a record. The test fails if its type is not E.
func eventOf[E policy.Event](t *testing.T, record *Record) E {
	t.Helper()
	event, ok := record.Event.(E)
	if record.Kind != Event || !ok {
		t.Fatalf("record of kind %d with event %T, want kind %d with %T", record.Kind, record.Event, Event, event)
	}
	return event
}

// A request, a fired timer and a disconnected client, encoded by hand.
func TestDecoderDecodesHandEncodedBytes(t *testing.T) {
	data := frame(t, `00000003 00000098 40c06e2000000000
		11 00000003 5d3a91c4 0000 00000000 91f03b7c55d20a64 406e000000000000 4028000000000000 01`+zeros(8)+`
		1a 00000003 0000004d`+zeros(39)+`
		10 00000005 0e6f2b19`+zeros(39))
	clocks, recs, err := decodeAll(data)
	if err != nil || len(recs) != 3 {
		t.Fatalf("got %d records and error %v, want 3", len(recs), err)
	}
	if clocks[0] != 8412.25 {
		t.Errorf("got clock %v, want 8412.25", clocks[0])
	}
	request := eventOf[*policy.RequestArrived](t, &recs[0])
	if recs[0].Instance != 3 || request.Request != 0x5d3a91c4 || request.TimeLeftMs != 240 ||
		request.WorkHintMs != 12 || !request.HasWorkHint || request.Retry || request.Key != 0x91f03b7c55d20a64 {
		t.Errorf("request: got instance %d, %+v, want the request of the bytes", recs[0].Instance, request)
	}
	if e := eventOf[*policy.TimerFired](t, &recs[1]); e.Token != 0x4d {
		t.Errorf("timer: got %+v, want token 0x4d", e)
	}
	if e := eventOf[*policy.ClientDisconnected](t, &recs[2]); recs[2].Instance != 5 || e.Request != 0x0e6f2b19 {
		t.Errorf("disconnected client: got instance %d, %+v, want 5 and request 0x0e6f2b19", recs[2].Instance, e)
	}
}

// The outcomes of an attempt and of a health check, one with a load report and one without.
func TestDecoderDecodesOutcomeAndHealthCheck(t *testing.T) {
	data := frame(t, `00000002 00000068 40c06e2000000000
		12 00000003 5d3a91c4 0002 0a124a07 138b 0064 4032800000000000 01 02 3f800000 40000000 00000000 00000000`+zeros(3)+`
		18 00000003 0a9011f2 13b4 0064 3ff6666666666666 00`+zeros(16)+zeros(10))
	_, recs, err := decodeAll(data)
	if err != nil {
		t.Fatal(err)
	}
	attempt := eventOf[*policy.AttemptEnded](t, &recs[0])
	if attempt.Attempt != 2 || attempt.Server != (policy.Addr{0x0a, 0x12, 0x4a, 0x07, 0x13, 0x8b}) ||
		attempt.Status != policy.StatusOK || attempt.LatencyMs != 18.5 || !attempt.Final || len(attempt.Report) != 2 || attempt.Report[1] != 2 {
		t.Errorf("attempt: got %+v, want the outcome of the bytes", attempt)
	}
	if check := eventOf[*policy.HealthCheckEnded](t, &recs[1]); check.Status != policy.StatusOK || check.LatencyMs != 1.4 || check.Report != nil {
		t.Errorf("health check: got %+v, want OK after 1.4 ms without a report", check)
	}
}

// A table number may be used twice within a batch. Each event must get the table that was stored
// last before it.
func TestDecoderResolvesReusedTableNumbersInOrder(t *testing.T) {
	entry := func(port string) string {
		return "0001 40b7d40000000000 01 0a9011f2" + port + "3fc00000 0002 01"
	}
	data := frame(t, `00000004 000000f8 40c06e2000000000
		13 00000000 00000000 00000001`+zeros(35)+`
		16 00000003 02 00000029 00000000`+zeros(34)+`
		13 00000000 00000018 00000001`+zeros(35)+`
		16 00000003 01 0000002a 00000000`+zeros(34)+entry("13b4")+entry("13b5"))
	_, recs, err := decodeAll(data)
	if err != nil {
		t.Fatal(err)
	}
	a, b := eventOf[*policy.EndpointsUpdated](t, &recs[0]), eventOf[*policy.EndpointsUpdated](t, &recs[1])
	if a.Kind != policy.ListCached || b.Kind != policy.ListFull || a.Entries[0].Server[5] != 0xb4 || b.Entries[0].Server[5] != 0xb5 {
		t.Errorf("got lists %+v and %+v, want a cached one of port b4 and a full one of b5", a, b)
	}
	e := a.Entries[0]
	if e.Zone != 1 || e.StartedMs != 6100 || e.Health != policy.HealthReady || e.Weight != 1.5 || e.Cell != 2 || e.MachineKind != 1 {
		t.Errorf("got entry %+v, want that of the bytes", e)
	}
}

// Each mode of an endpoint list is decoded to its own event.
func TestDecoderMapsEndpointListModes(t *testing.T) {
	for _, test := range []struct {
		name, mode string
		want       policy.Event
	}{
		{"delta", "00", &policy.EndpointsUpdated{Kind: policy.ListDelta}},
		{"full", "01", &policy.EndpointsUpdated{Kind: policy.ListFull}},
		{"cached", "02", &policy.EndpointsUpdated{Kind: policy.ListCached}},
		{"call failed", "03", &policy.DiscoveryFailed{}},
		{"unknown", "04", nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, recs, err := decodeAll(frame(t, "00000001 00000038 40c06e2000000000 16 00000003 "+test.mode+zeros(42)))
			switch {
			case test.want == nil && (err == nil || !strings.Contains(err.Error(), "targets: mode")):
				t.Errorf("got error %v, want one that names targets: mode", err)
			case test.want != nil && (err != nil || !reflect.DeepEqual(recs[0].Event, test.want)):
				t.Errorf("got %+v and error %v, want %T %+v", recs, err, test.want, test.want)
			}
		})
	}
}

// Events are stored in a buffer that the next event of the type overwrites, so that decoding
// allocates no memory for events.
func TestDecoderReusesEvents(t *testing.T) {
	data := frame(t, `00000003 00000098 40c06e2000000000
		11 00000003 5d3a91c4 0000 00000000 91f03b7c55d20a64 406e000000000000 4028000000000000 01`+zeros(8)+`
		1a 00000003 0000004d`+zeros(39)+`
		10 00000005 0e6f2b19`+zeros(39))
	input := bytes.NewReader(data)
	d := NewDecoder(input)
	var events int
	count := func(_ float64, r *Record) error {
		if r.Event != nil {
			events++
		}
		return nil
	}
	allocs := testing.AllocsPerRun(100, func() {
		input.Reset(data)
		if err := d.Next(count); err != nil {
			t.Fatal(err)
		}
	})
	if events == 0 || allocs > 2 { // per batch: the header and the record
		t.Errorf("got %v allocations for a batch of 3 events, want at most 2", allocs)
	}
}

// The records for the end and for the start of an instance hold no event.
func TestDecoderDecodesInstanceEndAndStart(t *testing.T) {
	data := frame(t, `00000002 0000006a 40c06e2000000000
		15 00000003`+zeros(43)+`
		19 00000003 0000000000000007 00000000 00000002`+zeros(27)+`7b7d`)
	_, recs, err := decodeAll(data)
	if err != nil {
		t.Fatal(err)
	}
	if recs[0].Kind != InstanceEnded || recs[1].Kind != InstanceStarted || recs[1].Seed != 7 || string(recs[1].Settings) != "{}" {
		t.Errorf("got %+v, want the end and the start of an instance, with seed 7 and its settings", recs)
	}
}

// The error for a malformed frame names the field.
func TestDecoderNamesFieldOfMalformedFrame(t *testing.T) {
	for name, c := range map[string]struct{ text, field string }{
		"short header":   {"000000", "batch header"},
		"short length":   {"00000000 00000004 00000000", "length"},
		"huge length":    {"00000000 ffffffff", "length"},
		"too many":       {"ffffffff 00000008 40c06e2000000000", "number of records"},
		"truncated":      {"00000001 00000038 40c06e20", "truncated"},
		"unknown code":   {"00000001 00000038 40c06e2000000000 63" + zeros(47), "code"},
		"bad pool":       {"00000001 00000038 40c06e2000000000 13 00000010" + zeros(43), "pool: table"},
		"pool past tail": {"00000001 00000038 40c06e2000000000 13 00000000 00000000 ffffffff" + zeros(35), "pool: hosts"},
		"bad mode":       {"00000001 00000038 40c06e2000000000 16 00000003 09" + zeros(42), "targets: mode"},
		"bad settings":   {"00000001 00000038 40c06e2000000000 19 00000003 0000000000000007 00000001 00000001" + zeros(27), "boot: settings"},
		"bad ending":     {"00000001 00000038 40c06e2000000000 12 00000003 5d3a91c4 0000 0a124a07 138b 0063" + zeros(29), "verdict: ending"},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := decodeAll(frame(t, c.text))
			if err == nil || !strings.Contains(err.Error(), c.field) {
				t.Errorf("got error %v, want one that names %q", err, c.field)
			}
		})
	}
}

// For any input, the decoder must return and its buffer must not grow far beyond the size of the
// input.
func FuzzDecoder(f *testing.F) {
	f.Add(frame(f, "00000000 00000008 40c06e2000000000"))
	f.Add(frame(f, "00000001 00000038 40c06e2000000000 1a 00000003 0000004d"+zeros(39)))
	f.Add(frame(f, "00000001 00000050 40c06e2000000000 13 00000000 00000000 00000001"+zeros(35)+zeros(24)))
	f.Fuzz(func(t *testing.T, data []byte) {
		d := NewDecoder(bytes.NewReader(data))
		for range 100 {
			if d.Next(func(float64, *Record) error { return nil }) != nil {
				break
			}
		}
		if cap(d.buf) > 2*len(data)+4<<20 {
			t.Errorf("got a buffer of %d bytes for %d bytes of input, want twice the input and 4 MB at most", cap(d.buf), len(data))
		}
	})
}
