// Package config reads, checks and keeps the declarations of operators.
//
// A document declares members, kinds of request, targets, limits and policies.
// It is written in YAML, checked whole, and kept in canonical JSON. Accepted
// documents are numbered; a process only ever moves to a higher number.
package config

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// Defaults of the limits.
const (
	DefaultBlockLifetimeMS = 300_000
	DefaultBlockMintMS     = 60_000
	DefaultMaxTasks        = 380
	DefaultMaxBodyBytes    = 4 << 20
	DefaultMaxWaitMS       = 60_000
)

// Document is one declaration of the whole system.
type Document struct {
	// Members may send submissions.
	Members []Member `yaml:"members" json:"members"`
	// Kinds are the kinds of request.
	Kinds []Kind `yaml:"kinds" json:"kinds"`
	// Leaving names the targets that shall receive no new work.
	Leaving []string `yaml:"leaving" json:"leaving,omitempty"`
	// Limits bound what callers may ask.
	Limits Limits `yaml:"limits" json:"limits"`
	// Policies are the programs that decide; empty ones mean the default.
	Policies Policies `yaml:"policies" json:"policies"`
}

// Member is a customer of the system.
type Member struct {
	Name string `yaml:"name" json:"name"`
	// Secrets are hashed credentials, as HashSecret returns them.
	Secrets []string `yaml:"secrets" json:"secrets"`
	// Rate is the quota in submissions a second; 0 means no bound.
	Rate float64 `yaml:"rate" json:"rate,omitempty"`
	// Concurrency is the quota of submissions in flight; 0 means no bound.
	Concurrency int `yaml:"concurrency" json:"concurrency,omitempty"`
	// Weight is the member's share in the queues, 1 if not given.
	Weight int `yaml:"weight" json:"weight,omitempty"`
}

// Kind is a kind of request.
type Kind struct {
	Name string `yaml:"name" json:"name"`
	// Repeatable requests may be sent without an id.
	Repeatable bool `yaml:"repeatable" json:"repeatable,omitempty"`
	// ExpectMS is the usual run time of a task in milliseconds.
	ExpectMS int `yaml:"expect_ms" json:"expect_ms"`
	// LeaseMS is the longest run time of a task in milliseconds.
	LeaseMS int `yaml:"lease_ms" json:"lease_ms"`
	// DeadlineMS bounds the whole job when the caller names no deadline.
	DeadlineMS int `yaml:"deadline_ms" json:"deadline_ms"`
}

// Limits bound requests and the memory kept for them.
type Limits struct {
	// MaxTasks is the largest number of tasks in a job.
	MaxTasks int `yaml:"max_tasks" json:"max_tasks"`
	// MaxBodyBytes is the largest body of a request.
	MaxBodyBytes int64 `yaml:"max_body_bytes" json:"max_body_bytes"`
	// MaxWaitMS is the longest expected wait that is admitted.
	MaxWaitMS int `yaml:"max_wait_ms" json:"max_wait_ms"`
	// BlockLifetimeMS is how long ids and outcomes are remembered.
	BlockLifetimeMS int `yaml:"block_lifetime_ms" json:"block_lifetime_ms"`
	// BlockMintMS is how long an entry box mints ids from a block.
	BlockMintMS int `yaml:"block_mint_ms" json:"block_mint_ms"`
}

// Policies holds the source of each program.
type Policies struct {
	// Base names the shipped set used where a program is empty.
	Base  string `yaml:"base" json:"base,omitempty"`
	Admit string `yaml:"admit" json:"admit,omitempty"`
	Place string `yaml:"place" json:"place,omitempty"`
	Retry string `yaml:"retry" json:"retry,omitempty"`
	Drain string `yaml:"drain" json:"drain,omitempty"`
	// Shadow names a shipped set that runs beside the one in force; its
	// differing decisions are only counted.
	Shadow string `yaml:"shadow" json:"shadow,omitempty"`
}

// ParsePolicies reads the policies of a declaration that stand in a file of
// their own. Unknown fields are errors.
func ParsePolicies(text []byte) (Policies, error) {
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	var p Policies
	if err := dec.Decode(&p); err != nil {
		return Policies{}, eris.Wrap(ErrInvalid, err.Error())
	}
	return p, nil
}

// Parse reads a YAML declaration. Unknown fields are errors.
func Parse(text []byte) (*Document, error) {
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	var d Document
	if err := dec.Decode(&d); err != nil {
		return nil, eris.Wrap(ErrInvalid, err.Error())
	}
	d.fill()
	if err := d.Check(); err != nil {
		return nil, err
	}
	return &d, nil
}

// Decode reads the canonical JSON form.
func Decode(b []byte) (*Document, error) {
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	var d Document
	if err := dec.Decode(&d); err != nil {
		return nil, eris.Wrap(ErrInvalid, err.Error())
	}
	d.fill()
	if err := d.Check(); err != nil {
		return nil, err
	}
	return &d, nil
}

// Encode returns the canonical JSON form.
func (d *Document) Encode() []byte {
	b, err := json.Marshal(d)
	if err != nil {
		panic(err) // no field of a Document can fail to encode
	}
	return b
}

// Member returns the member with the given name, or nil.
func (d *Document) Member(name string) *Member {
	for i := range d.Members {
		if d.Members[i].Name == name {
			return &d.Members[i]
		}
	}
	return nil
}

// Kind returns the kind with the given name, or nil.
func (d *Document) Kind(name string) *Kind {
	for i := range d.Kinds {
		if d.Kinds[i].Name == name {
			return &d.Kinds[i]
		}
	}
	return nil
}

// IsLeaving reports whether the target is declared to leave.
func (d *Document) IsLeaving(target string) bool {
	for _, name := range d.Leaving {
		if name == target {
			return true
		}
	}
	return false
}

// BlockLifetime returns how long a block is remembered.
func (l Limits) BlockLifetime() time.Duration {
	return time.Duration(l.BlockLifetimeMS) * time.Millisecond
}

// fill puts defaults where the declaration is silent.
func (d *Document) fill() {
	setDefault(&d.Limits.MaxTasks, DefaultMaxTasks)
	setDefault(&d.Limits.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&d.Limits.MaxWaitMS, DefaultMaxWaitMS)
	setDefault(&d.Limits.BlockLifetimeMS, DefaultBlockLifetimeMS)
	setDefault(&d.Limits.BlockMintMS, DefaultBlockMintMS)
	for i := range d.Members {
		setDefault(&d.Members[i].Weight, 1)
	}
}

func setDefault[T int | int64](v *T, def T) {
	if *v == 0 {
		*v = def
	}
}
