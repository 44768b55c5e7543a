package workload

import (
	"reflect"
	"testing"
)

// TestRecordEncoding: a record is decoded as it was encoded, and keeps the form that earlier versions
// read while at most one occurrence has begun.
func TestRecordEncoding(t *testing.T) {
	waiting := []Progress{{}, {}, {}}
	running := []Progress{{Phase: Done}, {Phase: Placed, Run: 2, Worker: "w", Incarnation: 5, Checkpoint: "c"}, {}}
	for _, c := range []struct {
		name   string
		record Record
		want   string
	}{
		{"nothing has begun", Record{State: Queued}, `{"s":"queued"}`},
		{"one occurrence", Record{State: Queued, Begun: 1, Tasks: map[int][]Progress{0: waiting}}, `{"s":"queued","t":{"0":[{},{},{}]}}`},
		{"one occurrence, ended", Record{State: Completed, Begun: 1, EndMillis: 7}, `{"s":"completed","t":{"0":null},"e":7}`},
		{"all ended", Record{State: Running, Begun: 5000}, `{"s":"running","t":[5000,{}]}`},
		{
			"some open",
			Record{State: Running, Begun: 9, Tasks: map[int][]Progress{3: running, 8: waiting}},
			`{"s":"running","t":[9,{"3":[{"p":2},{"p":1,"r":2,"w":"w","l":5,"c":"c"},{}],"8":[{"x":2}]}]}`,
		},
		{"moved", Record{State: Queued, Moved: &Moved{Shard: "z-0"}}, `{"s":"queued","m":{"shard":"z-0"}}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := EncodeRecord(&c.record)
			if string(got) != c.want {
				t.Errorf("encoded as %s, want %s", got, c.want)
			}
			back, err := DecodeRecord(got)
			if err != nil {
				t.Fatal(err)
			}
			if back.Tasks != nil && len(back.Tasks) == 0 {
				back.Tasks = nil
			}
			if !reflect.DeepEqual(back, c.record) {
				t.Errorf("decoded as %+v, want %+v", back, c.record)
			}
		})
	}
}

// Guards against an earlier version running ended occurrences again: it has to reject a record that
// leaves them out.
func TestEarlierVersionRejectsRecordWithoutEndedOccurrences(t *testing.T) {
	var earlier struct {
		Tasks map[int][]Progress `json:"t"`
	}
	if err := Decode(EncodeRecord(&Record{State: Running, Begun: 2}), &earlier); err == nil {
		t.Error("the record is decoded")
	}
}

// TestRecordOfEarlierVersion: an earlier version lists ended occurrences as empty.
func TestRecordOfEarlierVersion(t *testing.T) {
	r, err := DecodeRecord([]byte(`{"s":"running","t":{"0":null,"1":[],"2":[{"p":1,"r":1,"w":"w"}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	if r.Begun != 3 || len(r.Tasks) != 1 || r.Tasks[2][0].Worker != "w" {
		t.Errorf("decoded as %+v", r)
	}
}
