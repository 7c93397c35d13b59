package evacuation

import (
	"slices"
	"testing"
	"time"
)

func TestJoin(t *testing.T) {
	tests := []struct {
		name        string
		one, other  News
		wantDomains []string
		wantAsOf    time.Duration
	}{
		{"nothing known", News{}, News{Domains: []string{"a"}, Version: 3, AsOf: 2}, []string{"a"}, 2},
		{"newer version", News{Domains: []string{"a"}, Version: 3, AsOf: 2}, News{Version: 4, AsOf: 5}, nil, 5},
		{"newer version that arrived late", News{Domains: []string{"a"}, Version: 3, AsOf: 7}, News{Version: 4, AsOf: 5}, nil, 7},
		{"older version that was sent later", News{Domains: []string{"a"}, Version: 4, AsOf: 2}, News{Version: 3, AsOf: 5}, []string{"a"}, 5},
		{"same version", News{Domains: []string{"a"}, Version: 4, AsOf: 2}, News{Domains: []string{"a"}, Version: 4, AsOf: 5}, []string{"a"}, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, joined := range []News{test.one.Join(test.other), test.other.Join(test.one)} {
				if !slices.Equal(joined.Domains, test.wantDomains) || joined.AsOf != test.wantAsOf {
					t.Errorf("joined %+v, want domains %v as of %v", joined, test.wantDomains, test.wantAsOf)
				}
			}
		})
	}
}

func TestHolderTellsOfNews(t *testing.T) {
	var h Holder
	var told []News
	h.OnNews(func(n News) { told = append(told, n) })
	h.Take(News{Domains: []string{"a"}, Version: 2, AsOf: 1})
	h.Take(News{Version: 1, AsOf: 3})
	if len(told) != 2 || !told[1].Includes("a") || told[1].AsOf != 3 {
		t.Errorf("reported %+v, want a evacuated as of 3", told)
	}
	if got := h.News(); !got.Includes("a") || got.Includes("b") {
		t.Errorf("news %+v", got)
	}
}
