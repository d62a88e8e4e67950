package discovery

import (
	"errors"
	"strings"
	"testing"
)

// White space within an incomplete list is no heartbeat: otherwise a list that never ends would keep
// the watch open.
func TestListReaderIgnoresHeartbeatsWithinAList(t *testing.T) {
	activity := 0
	reader := &listReader{onActivity: func() { activity++ }}
	for _, text := range []string{"\n", "\n", "{\n", " \n", "\n", "\"seq\":2", "\n"} {
		reader.source = strings.NewReader(text)
		if _, err := reader.Read(make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
	}
	if activity != 3 { // two heartbeats and the beginning of the list
		t.Fatalf("got %d calls of onActivity, want 3", activity)
	}
	if reader.listDecoded(strings.NewReader("\n")); reader.listBytes != 0 || activity != 4 {
		t.Fatalf("got %d calls of onActivity and %d bytes after a list, want 4 and 0", activity, reader.listBytes)
	}
	if reader.listDecoded(strings.NewReader(" {")); reader.listBytes == 0 {
		t.Fatal("got 0 bytes of a list that has begun, want more")
	}
}

func TestWatchEndsAtListThatExceedsTheSizeLimit(t *testing.T) {
	call, results := startWatch(t)
	go func() {
		call.Write <- `{"seq":2,"more":"`
		for {
			select {
			case call.Write <- strings.Repeat("x", 1<<16):
			case <-call.Ended:
				return
			}
		}
	}()
	if got := next[WatchEnded](t, results).Err; !errors.Is(got, errListTooLong) {
		t.Fatalf("got error %v, want %v", got, errListTooLong)
	}
}
