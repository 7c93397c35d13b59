package member

import (
	"encoding/json"
	"reflect"
	"testing"

	"rackspur/rowstore"
)

// Rows that can't be decoded are skipped, and valid ones beside them are read.
func TestRowsOfOthers(t *testing.T) {
	good := Box{Node: "entry-1", Role: RoleEntry, Zone: "a", Address: "10.1.0.2:7720", Incarnation: "entry-1~a"}
	value, err := json.Marshal(good)
	if err != nil {
		t.Fatal(err)
	}
	s := rowstore.NewMemory()
	put := func(name string, value []byte) {
		t.Helper()
		key := rowstore.Key{Table: tableMembers, Part: partOf(RoleEntry, name), Name: hashPrefix(hashOf(name)) + name}
		if _, err := s.Transact(t.Context(), rowstore.Transaction{Puts: []rowstore.Put{{Key: key, Value: value}}}); err != nil {
			t.Fatal(err)
		}
	}
	for name, text := range map[string]string{
		"a-bytes": "\xff\x00", "b-null": "null", "c-list": "[]", "d-types": `{"node":5}`, "e-fields": `{"node":"e-fields"}`,
		"f-role": `{"node":"f-role","role":"judge","address":"10.0.0.1:1","incarnation":"x"}`,
		"g-name": string(value), "z-address": `{"node":"z-address","role":"agent","address":"nowhere","incarnation":"x"}`,
	} {
		put(name, []byte(text))
	}
	put(good.Node, value)
	all, err := ReadBoxes(t.Context(), s, nil)
	if err != nil || len(all) != 1 || all[0] != good {
		t.Errorf("boxes %v, error %v, want just %v", all, err, good)
	}
}

// A decoded box survives encoding and decoding.
func FuzzBox(f *testing.F) {
	f.Add([]byte(`{"node":"entry-1","role":"entry","zone":"a","address":"10.1.0.2:7720","incarnation":"entry-1~a"}`))
	f.Add([]byte(`{"node":"entry-1","role":7}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		d, err := decodeBox(rowstore.Row{Key: keyOf(RoleEntry, "entry-1"), Value: value})
		if err != nil {
			return
		}
		again, err := json.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		if back, err := decodeBox(rowstore.Row{Key: keyOf(RoleEntry, "entry-1"), Value: again}); err != nil || back != d {
			t.Errorf("%+v, read again %+v, %v", d, back, err)
		}
	})
}

// A decoded life survives encoding and decoding.
func FuzzLife(f *testing.F) {
	f.Add([]byte(`{"node":"entry-1","role":"entry","zone":"a","address":"10.1.0.2:7720","incarnation":"entry-1~a","count":3}`))
	f.Add([]byte(`{"incarnation":"entry-1~a","count":-3}`))
	f.Add([]byte(`{"node":"entry-1","incarnation":"entry-1~a","pending":{"checks":3}}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		row := rowstore.Row{Key: ring{parts: 1}.key("entry-1~a"), Value: value}
		l, err := decodeLife(row)
		if err != nil {
			return
		}
		row.Value = l.encode()
		if back, err := decodeLife(row); err != nil || !reflect.DeepEqual(back, l) {
			t.Errorf("%+v, read again %+v, %v", l, back, err)
		}
	})
}
