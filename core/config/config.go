// Package config defines the declarative configuration as used by the core. A
// Config is immutable: a new version is a new Config, and the instance replaces
// one pointer.
package config

import (
	"time"

	"oleanderdale.org/core/id"
)

// Config is one version of the complete configuration.
type Config struct {
	Version   id.ConfigVersion
	Fleet     Fleet
	Groups    map[id.Group]Group
	Artifacts map[id.Artifact]Artifact // models and adapters
	Services  map[id.Service]Service
	Accounts  map[id.Account]Account
	Keys      map[id.Digest]Key // by the digest of the key
	Approvals map[Approval]struct{}
}

// Fleet holds the settings of the whole deployment.
type Fleet struct {
	Zones        []id.Zone `json:"zones"`
	SlotsPerZone int       `json:"slots_per_zone"` // rate slots in each zone
	// Limits of the weight store: LoadsPerSecond is the number of loads that can
	// start per second, LoadsAtOnce the number of model loads that run at full
	// speed in parallel, and AdaptersInTransit the number of parallel adapter
	// loads beyond which these slow down.
	LoadsPerSecond    float64 `json:"loads_per_second"`
	LoadsAtOnce       int     `json:"loads_at_once"`
	AdaptersInTransit int     `json:"adapters_in_transit"`
}

// GroupKind says what the backend servers of a group run.
type GroupKind string

// The kinds of group.
const (
	GroupModels   GroupKind = "models"
	GroupServices GroupKind = "services"
)

// Group is a set of identical backend servers. The platform's instance list names
// its members.
type Group struct {
	Name  id.Group  `json:"name"`
	Kind  GroupKind `json:"kind"`
	Owner string    `json:"owner"` // team that approves client accounts
	// ChecksFencing says whether the servers refuse orders that carry a fencing
	// number smaller than the largest they have seen.
	ChecksFencing bool          `json:"checks_fencing"`
	MemoryBytes   int64         `json:"memory_bytes,omitempty"`
	Concurrency   int           `json:"concurrency"`              // concurrent requests on one server
	MaxOrderTime  time.Duration `json:"max_order_time,omitempty"` // longest time that an order can be in progress
	// Resumes says whether the engines can continue a broken stream at an offset.
	Resumes bool `json:"resumes,omitempty"`
}

// Artifact is a model, or an adapter of a model.
type Artifact struct {
	Name        id.Artifact   `json:"name"`
	Group       id.Group      `json:"group"`
	Bytes       int64         `json:"bytes"`
	LoadTime    time.Duration `json:"load_time"`    // from the weight store, without other loads
	MaxReplicas int           `json:"max_replicas"` // per availability zone
	MaxTokens   int           `json:"max_tokens"`   // maximum length of an answer
}

// Service is a plain service.
type Service struct {
	Name       id.Service `json:"name"`
	Group      id.Group   `json:"group"`
	Repeatable bool       `json:"repeatable"`            // false: non-idempotent, each call runs at most once
	StatusPath string     `json:"status_path,omitempty"` // path for queries of a call's outcome; "" if none
	Tokens     int        `json:"tokens"`                // charged per call
}

// Account is a client account.
type Account struct {
	Name   id.Account `json:"name"`
	Rate   float64    `json:"rate"`   // tokens per second, over the whole fleet
	Burst  float64    `json:"burst"`  // tokens
	Weight float64    `json:"weight"` // in fair queueing
	// Class is the most urgent class that its requests may have, and the class of
	// requests that name none.
	Class Class `json:"class"`
	// ServeFor is how long an availability zone that is cut off from the platform
	// and the other zones continues to serve the account; 0: no limit.
	ServeFor time.Duration `json:"serve_for,omitempty"`
}

// Class is the urgency of a request.
type Class string

// The classes, the most urgent first.
const (
	Urgent      Class = "urgent"
	Interactive Class = "interactive"
	Batch       Class = "batch"
)

// Key is an API key, which authorises its bearer to act for an account. Only its
// digest is stored.
type Key struct {
	Digest  id.Digest  `json:"digest"`
	Account id.Account `json:"account"`
	Label   string     `json:"label"` // name for operators
}

// Approval is the permission, given by a group's owner, for an account to call a
// model (with all its adapters) or a service. One of Model and Service is set.
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

// Slots returns the number of rate slots, into which every account's rate is
// divided.
func (c *Config) Slots() int { return len(c.Fleet.Zones) * c.Fleet.SlotsPerZone }
