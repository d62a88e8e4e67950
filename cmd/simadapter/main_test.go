package main

import (
	"bytes"
	"encoding/binary"
	"io"
	"math"
	"strings"
	"testing"
)

const settings = `{"classes":[{"name":"a","aimMs":100,"giveUpMs":500,"effect":"free","credit":1}],
"limits":{"maxAttempts":2},"membershipMode":"pushed","roundMs":5}`

// batch returns a batch with a tail. Each record is given by its first bytes and padded with zeros
// to 48 bytes.
func batch(clock float64, tail string, records ...[]byte) []byte {
	be := binary.BigEndian
	out := be.AppendUint32(nil, uint32(len(records)))
	out = be.AppendUint32(out, uint32(8+48*len(records)+len(tail)))
	out = be.AppendUint64(out, math.Float64bits(clock))
	for _, r := range records {
		out = append(out, append(r, make([]byte, 48-len(r))...)...)
	}
	return append(out, tail...)
}

// startRecord returns a record that starts an instance. Its settings are the first textLen bytes of
// the tail.
func startRecord(instance uint32, textLen int) []byte {
	be := binary.BigEndian
	r := be.AppendUint32([]byte{25}, instance)
	r = be.AppendUint64(r, 7)
	r = be.AppendUint32(r, 0)
	return be.AppendUint32(r, uint32(textLen))
}

// requestRecord returns a record of a request with 400 ms left.
func requestRecord(instance, id uint32) []byte {
	be := binary.BigEndian
	r := be.AppendUint32([]byte{17}, instance)
	r = be.AppendUint32(r, id)
	r = append(r, make([]byte, 14)...)
	return be.AppendUint64(r, math.Float64bits(400))
}

// endRecord returns a record that ends an instance.
func endRecord(instance uint32) []byte { return binary.BigEndian.AppendUint32([]byte{21}, instance) }

// If an instance ends and another starts with the same number in one batch, the second one must not
// know requests of the first.
func TestAdapterReplacesInstanceWithinBatch(t *testing.T) {
	in := batch(1000, settings, startRecord(3, len(settings)), requestRecord(3, 9))
	in = append(in, batch(1005, settings, endRecord(3), requestRecord(3, 10), startRecord(3, len(settings)), requestRecord(3, 11))...)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	// Each instance queues its one request, because it has no endpoint list, and sets one timer. The
	// request between the two has no instance and is ignored.
	reply := out.Bytes()
	for i, want := range []uint32{1, 1} {
		n, size := binary.BigEndian.Uint32(reply), binary.BigEndian.Uint32(reply[4:])
		if n != want || reply[8] != 88 {
			t.Errorf("batch %d: got %d actions, the first of code %d, want %d of code 88", i, n, reply[8], want)
		}
		reply = reply[8+size:]
	}
}

// Invalid settings are answered with a crash record that names the key.
func TestAdapterReportsInvalidSettingsAsCrash(t *testing.T) {
	bad := strings.Replace(settings, "free", "maybe", 1)
	var out bytes.Buffer
	if err := run(bytes.NewReader(batch(1000, bad, startRecord(3, len(bad)))), &out); err != nil {
		t.Fatal(err)
	}
	if reply := out.Bytes(); reply[8] != 87 || !strings.Contains(string(reply), "classes[0].effect") {
		t.Errorf("got reply %q, want a crash that names classes[0].effect", reply)
	}
}

// Input that ends within a batch causes an error of one line. Input that ends before a batch is no
// error.
func TestAdapterRejectsTruncatedInput(t *testing.T) {
	in := batch(1000, "", endRecord(1))
	var out bytes.Buffer
	if err := run(bytes.NewReader(in[:len(in)-1]), &out); err == nil || strings.Contains(err.Error(), "\n") {
		t.Errorf("got error %v, want one of one line", err)
	}
	if err := run(bytes.NewReader(nil), &out); err != nil {
		t.Errorf("input that ends before a batch: got error %v, want none", err)
	}
}

// For any input, the adapter must either answer or return an error of one line, and never panic.
func FuzzAdapter(f *testing.F) {
	entry := func(startedMs, weight float64) []byte {
		e := append([]byte{0, 0}, binary.BigEndian.AppendUint64(nil, math.Float64bits(startedMs))...)
		e = append(e, 1, 10, 0, 0, 1, 0x13, 0x8b)
		return append(e, append(binary.BigEndian.AppendUint32(nil, math.Float32bits(float32(weight))), 0, 0, 0)...)
	}
	listUpdate := func(n uint32) []byte {
		return append(binary.BigEndian.AppendUint32([]byte{22}, n), 1, 0, 0, 0, 1, 0, 0, 0, 0)
	}
	listTable := append([]byte{19, 0, 0, 0, 0}, 0, 0, 0, 0, 0, 0, 0, 1)
	outcome := append(binary.BigEndian.AppendUint32([]byte{18, 0, 0, 0, 3}, 9), 0, 0, 10, 0, 0, 1, 0x13, 0x8b, 0, 100)
	for _, x := range []float64{0, -1, math.NaN(), math.Inf(1), 1e300} {
		request := binary.BigEndian.AppendUint64(requestRecord(3, 9)[:23], math.Float64bits(x))
		outcomeRecord := binary.BigEndian.AppendUint64(outcome[:19:19], math.Float64bits(x))
		in := batch(1000, settings, startRecord(3, len(settings)))
		in = append(in, batch(1000, string(entry(x, x)), listTable, listUpdate(3), request, requestRecord(3, 10))...)
		f.Add(append(in, batch(1010, "", outcomeRecord, endRecord(3))...))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if err := run(bytes.NewReader(data), io.Discard); err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("got error %q, want one of one line", err)
		}
	})
}
