// Package config defines the declarative configuration as the core uses it.
// A Config is never changed once made: a new version is a new Config, and the
// instance swaps one pointer.
package config

import (
	"time"

	"oleanderdale.org/core/id"
)

// Config is one whole configuration.
type Config struct {
	Version   id.ConfigVersion
	Fleet     Fleet
	Groups    map[id.Group]Group
	Artifacts map[id.Artifact]Artifact // models and adapters
	Services  map[id.Service]Service
	Accounts  map[id.Account]Account
	Keys      map[id.Digest]Key // by digest of the key
	Approvals map[Approval]struct{}
}

// Fleet holds what is the same for the whole deployment.
type Fleet struct {
	Zones        []id.Zone `json:"zones"`
	SlotsPerZone int       `json:"slots_per_zone"` // holders of rate shares in a zone
	// LoadsPerSecond is what the weight store starts in a second; LoadsAtOnce
	// run at full speed together; adapter loads slow beyond AdaptersInTransit.
	LoadsPerSecond    float64 `json:"loads_per_second"`
	LoadsAtOnce       int     `json:"loads_at_once"`
	AdaptersInTransit int     `json:"adapters_in_transit"`
}

// GroupKind says what runs on the servers of a group.
type GroupKind string

// The kinds of group.
const (
	GroupModels   GroupKind = "models"
	GroupServices GroupKind = "services"
)

// Group is a set of alike backend servers. Which servers are in it, the
// platform's instance list says.
type Group struct {
	Name  id.Group  `json:"name"`
	Kind  GroupKind `json:"kind"`
	Owner string    `json:"owner"` // the team that approves client accounts
	// ChecksFencing says whether the servers refuse orders that carry an old
	// fencing number.
	ChecksFencing bool          `json:"checks_fencing"`
	MemoryBytes   int64         `json:"memory_bytes,omitempty"`
	Concurrency   int           `json:"concurrency"`              // requests at a time on one server
	MaxOrderTime  time.Duration `json:"max_order_time,omitempty"` // longest that an order can be under way
	// Resumes says whether an engine can continue a broken stream at an offset.
	Resumes bool `json:"resumes,omitempty"`
}

// Artifact is a model or an adapter of one.
type Artifact struct {
	Name        id.Artifact   `json:"name"`
	Group       id.Group      `json:"group"`
	Bytes       int64         `json:"bytes"`
	LoadTime    time.Duration `json:"load_time"`    // from remote, alone on the weight store
	MaxReplicas int           `json:"max_replicas"` // in one availability zone
	MaxTokens   int           `json:"max_tokens"`   // longest answer
}

// Service is a plain service.
type Service struct {
	Name       id.Service `json:"name"`
	Group      id.Group   `json:"group"`
	Repeatable bool       `json:"repeatable"`            // false: each call runs at most once
	StatusPath string     `json:"status_path,omitempty"` // asked for the outcome of an unknown call; "" if none
	Tokens     int        `json:"tokens"`                // charged for a call
}

// Account is a client account.
type Account struct {
	Name   id.Account `json:"name"`
	Rate   float64    `json:"rate"`  // tokens a second, over the whole fleet
	Burst  float64    `json:"burst"` // tokens
	Weight float64    `json:"weight"`
	// Class is the class of its requests that name none.
	Class Class `json:"class"`
	// ServeFor is how long an availability zone that is cut off from the
	// platform and the other zones goes on serving the account; 0: no limit.
	ServeFor time.Duration `json:"serve_for,omitempty"`
}

// Class orders requests by urgency.
type Class string

// The classes, the most urgent first.
const (
	Urgent      Class = "urgent"
	Interactive Class = "interactive"
	Batch       Class = "batch"
)

// Key is the right of whoever shows the key to act for an account. Only the
// digest of a key is kept.
type Key struct {
	Digest  id.Digest  `json:"digest"`
	Account id.Account `json:"account"`
	Label   string     `json:"label"` // what operators call it
}

// Approval is the consent of a group's owner that an account may call a model
// (with all its adapters) or a service. One of the two is set.
type Approval struct {
	Account id.Account  `json:"account"`
	Model   id.Artifact `json:"model,omitempty"`
	Service id.Service  `json:"service,omitempty"`
}

// Approved reports whether account may call the model of a.
func (c *Config) Approved(account id.Account, a id.Artifact) bool {
	_, ok := c.Approvals[Approval{Account: account, Model: a.Model()}]
	return ok
}

// ApprovedService reports whether account may call service s.
func (c *Config) ApprovedService(account id.Account, s id.Service) bool {
	_, ok := c.Approvals[Approval{Account: account, Service: s}]
	return ok
}

// Slots returns the number of parts that every account's rate is divided into.
func (c *Config) Slots() int { return len(c.Fleet.Zones) * c.Fleet.SlotsPerZone }
