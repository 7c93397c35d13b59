// Package config parses, validates and stores the operators' configuration.
//
// A configuration document declares members, kinds of request, leaving targets,
// limits and policies. Operators write it in YAML; it is validated as a whole and
// stored as canonical JSON. Accepted documents get increasing version numbers, and
// a process never goes back to a lower version.
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

// Document is a complete configuration.
type Document struct {
	// Members may send submissions.
	Members []Member `yaml:"members" json:"members"`
	// Kinds are the kinds of request.
	Kinds []Kind `yaml:"kinds" json:"kinds"`
	// Leaving lists the targets that receive no new work.
	Leaving []string `yaml:"leaving" json:"leaving,omitempty"`
	// Limits bound the requests of callers.
	Limits Limits `yaml:"limits" json:"limits"`
	// Policies are the policy programs.
	Policies Policies `yaml:"policies" json:"policies"`
}

// Member is an organisation that sends submissions.
type Member struct {
	Name string `yaml:"name" json:"name"`
	// Secrets are hashed credentials, as HashSecret returns them.
	Secrets []string `yaml:"secrets" json:"secrets"`
	// Rate is the quota in submissions per second; 0 means unlimited.
	Rate float64 `yaml:"rate" json:"rate,omitempty"`
	// Concurrency is the maximum number of submissions in flight; 0 means unlimited.
	Concurrency int `yaml:"concurrency" json:"concurrency,omitempty"`
	// Weight is the member's relative share of the queues; the default is 1.
	Weight int `yaml:"weight" json:"weight,omitempty"`
}

// Kind is a kind of request.
type Kind struct {
	Name string `yaml:"name" json:"name"`
	// Repeatable says that requests of this kind may be sent without an id.
	Repeatable bool `yaml:"repeatable" json:"repeatable,omitempty"`
	// ExpectMS is the expected run time of a task in milliseconds.
	ExpectMS int `yaml:"expect_ms" json:"expect_ms"`
	// LeaseMS is the maximum run time of a task in milliseconds.
	LeaseMS int `yaml:"lease_ms" json:"lease_ms"`
	// DeadlineMS is the default deadline of a job in milliseconds.
	DeadlineMS int `yaml:"deadline_ms" json:"deadline_ms"`
}

// Limits bounds the requests of callers and the memory used for them.
type Limits struct {
	// MaxTasks is the maximum number of tasks in a job.
	MaxTasks int `yaml:"max_tasks" json:"max_tasks"`
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64 `yaml:"max_body_bytes" json:"max_body_bytes"`
	// MaxWaitMS is the maximum expected queueing time at which a job is still admitted.
	MaxWaitMS int `yaml:"max_wait_ms" json:"max_wait_ms"`
	// BlockLifetimeMS is how long the ids of a block and their outcomes are retained.
	BlockLifetimeMS int `yaml:"block_lifetime_ms" json:"block_lifetime_ms"`
	// BlockMintMS is how long an entry box generates ids from a block.
	BlockMintMS int `yaml:"block_mint_ms" json:"block_mint_ms"`
}

// Policies holds the source of each policy program.
type Policies struct {
	// Base names the built-in set that supplies the programs left empty.
	Base  string `yaml:"base" json:"base,omitempty"`
	Admit string `yaml:"admit" json:"admit,omitempty"`
	Place string `yaml:"place" json:"place,omitempty"`
	Retry string `yaml:"retry" json:"retry,omitempty"`
	Drain string `yaml:"drain" json:"drain,omitempty"`
	// Shadow names a built-in set that is evaluated along with the active one;
	// decisions that differ are only counted.
	Shadow string `yaml:"shadow" json:"shadow,omitempty"`
}

// ParsePolicies parses policies from a separate YAML file. Unknown fields are errors.
func ParsePolicies(text []byte) (Policies, error) {
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	var p Policies
	if err := dec.Decode(&p); err != nil {
		return Policies{}, eris.Wrap(ErrInvalid, err.Error())
	}
	return p, nil
}

// Parse parses and validates a YAML document. Unknown fields are errors.
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

// Decode parses and validates the canonical JSON form. Unknown fields are errors.
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

// IsLeaving reports whether the target is listed as leaving.
func (d *Document) IsLeaving(target string) bool {
	for _, name := range d.Leaving {
		if name == target {
			return true
		}
	}
	return false
}

// BlockLifetime returns how long a block is retained.
func (l Limits) BlockLifetime() time.Duration {
	return time.Duration(l.BlockLifetimeMS) * time.Millisecond
}

// fill sets the fields that the document omits to their defaults.
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
