package test

import (
	"encoding/json"
	"testing"
)

func TestPathOneAnswer(t *testing.T) {
	c := newCluster(t, shape{entries: 2, agents: 3, slots: 8})
	for i, tasks := range []int{1, 24, 380} {
		client := c.client(tokenA, i)
		job := newJob(t, "reshuffle", tasks, 50)
		reply, err := client.Submit(c.context(), c.id(client), job)
		if err != nil {
			t.Fatal(err)
		}
		checkComplete(t, job, reply)
		for i, n := range c.startsOf(job) {
			if n != 1 {
				t.Errorf("task %d started %d times", i, n)
			}
		}
	}
}

func TestPathCommandLine(t *testing.T) {
	c := newCluster(t, shape{entries: 1, agents: 1, slots: 8})
	job := newJob(t, "reshuffle", 5, 50)
	body, err := json.Marshal(job)
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name, in, token string
		code            int
	}{
		{"1 answered", string(body), tokenA, 0},
		{"2 wrong token", string(body), "ghanta:wrong", 2},
		{"3 broken job file", `{"kind":`, tokenA, 2},
		{"4 unknown field", `{"kind":"swap","tusks":[]}`, tokenA, 2},
		{"5 no tasks", `{"kind":"swap","tasks":[]}`, tokenA, 2},
		{"6 unknown kind", `{"kind":"nap","tasks":[{"payload":{}}]}`, tokenA, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := command(t, tc.in, "submit", "--entry", c.entries[0].url, "--token", tc.token)
			if r.code != tc.code {
				t.Errorf("exit %d, want %d: %s", r.code, tc.code, r.errOut)
			}
		})
	}
	if n := c.totalStarts(); n != len(job.Tasks) {
		t.Errorf("%d starts, want only the %d of the valid job", n, len(job.Tasks))
	}
}
