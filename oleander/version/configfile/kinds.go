package configfile

import (
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/version"
)

// documentParsers holds the function that parses a document of each kind.
var documentParsers = map[version.Kind]func(*parser, *fields){
	version.KindFleet:    (*parser).parseFleet,
	version.KindGroup:    (*parser).parseGroup,
	version.KindModel:    (*parser).parseModel,
	version.KindAdapter:  (*parser).parseAdapter,
	version.KindService:  (*parser).parseService,
	version.KindAccount:  (*parser).parseAccount,
	version.KindKey:      (*parser).parseKey,
	version.KindApproval: (*parser).parseApproval,
}

func (p *parser) parseFleet(f *fields) {
	fleet := config.Fleet{
		SlotsPerZone:      f.integer("slots_per_zone"),
		LoadsPerSecond:    f.number("loads_per_second"),
		LoadsAtOnce:       f.integer("loads_at_once"),
		AdaptersInTransit: f.integer("adapters_in_transit"),
	}
	for _, z := range f.textList("zones") {
		fleet.Zones = append(fleet.Zones, id.Zone(z))
	}
	if p.declare(version.KindFleet, "", f) {
		p.config.Fleet = fleet
	}
}

func (p *parser) parseGroup(f *fields) {
	g := config.Group{
		Name:          id.Group(f.text("name")),
		Kind:          config.GroupKind(f.text("serves")),
		Owner:         f.text("owner"),
		ChecksFencing: f.boolean("checks_fencing"),
		Concurrency:   f.integer("concurrency"),
	}
	if g.Kind == config.GroupModels {
		g.MemoryBytes = f.size("memory")
		g.MaxOrderTime = f.duration("max_order_time")
		g.Resumes = f.optionalBoolean("resumes")
	}
	if p.declare(version.KindGroup, string(g.Name), f) {
		p.config.Groups[g.Name] = g
	}
}

func (p *parser) parseModel(f *fields) {
	a := parseArtifact(f)
	a.Name = id.Artifact(f.text("name"))
	a.Group = id.Group(f.text("group"))
	if a.Name.IsAdapter() {
		p.addProblem(f.file, f.position.lineOf("name"), "the name of a model must not contain %q", id.AdapterSeparator)
		return
	}
	if p.declare(version.KindModel, string(a.Name), f) {
		p.config.Artifacts[a.Name] = a
	}
}

func (p *parser) parseAdapter(f *fields) {
	a := parseArtifact(f)
	a.Name = id.Adapter(id.Artifact(f.text("model")), f.text("name"))
	if p.declare(version.KindAdapter, string(a.Name), f) {
		p.config.Artifacts[a.Name] = a
	}
}

// parseArtifact reads the fields that models and adapters have in common.
func parseArtifact(f *fields) config.Artifact {
	return config.Artifact{
		Bytes:       f.size("size"),
		LoadTime:    f.duration("load_time"),
		MaxReplicas: f.integer("max_replicas"),
		MaxTokens:   f.integer("max_tokens"),
	}
}

func (p *parser) parseService(f *fields) {
	s := config.Service{
		Name:       id.Service(f.text("name")),
		Group:      id.Group(f.text("group")),
		Repeatable: f.boolean("repeatable"),
		StatusPath: f.optionalText("status_path"),
		Tokens:     f.integer("tokens"),
	}
	if p.declare(version.KindService, string(s.Name), f) {
		p.config.Services[s.Name] = s
	}
}

func (p *parser) parseAccount(f *fields) {
	a := config.Account{
		Name:   id.Account(f.text("name")),
		Rate:   f.number("rate"),
		Burst:  f.number("burst"),
		Weight: f.number("weight"),
		Class:  config.Class(f.text("class")),
	}
	if isolation := f.optionalFields("isolation"); isolation != nil {
		a.ServeFor = isolation.duration("serve_for")
		isolation.rejectUnknown()
		if a.ServeFor == 0 && isolation.values["serve_for"] != nil {
			// In config.Account, 0 means no limit. An operator who writes 0 more
			// likely means the opposite.
			isolation.addProblem("serve_for", "serve_for must be above 0; omit isolation for no limit")
		}
	}
	if p.declare(version.KindAccount, string(a.Name), f) {
		p.config.Accounts[a.Name] = a
	}
}

func (p *parser) parseKey(f *fields) {
	k := config.Key{
		Digest:  id.Digest(f.text("digest")),
		Account: id.Account(f.text("account")),
		Label:   f.text("label"),
	}
	if p.declare(version.KindKey, string(k.Digest), f) {
		p.config.Keys[k.Digest] = k
	}
}

// parseApproval reads a document that approves any number of models and services.
func (p *parser) parseApproval(f *fields) {
	account, owner := id.Account(f.text("account")), f.text("owner")
	models, services := f.optionalTextList("models"), f.optionalTextList("services")
	if len(models)+len(services) == 0 {
		p.addProblem(f.file, f.position.line, "an approval must list models or services")
	}
	for _, m := range models {
		p.addApproval(config.Approval{Account: account, Model: id.Artifact(m)}, owner, f)
	}
	for _, s := range services {
		p.addApproval(config.Approval{Account: account, Service: id.Service(s)}, owner, f)
	}
}

// addApproval adds the approval of one model or service.
func (p *parser) addApproval(a config.Approval, owner string, f *fields) {
	if p.declare(version.KindApproval, version.ApprovalName(a), f) {
		p.config.Approvals[a] = struct{}{}
		p.ownerChecks = append(p.ownerChecks, ownerCheck{approval: a, owner: owner, position: f.position})
	}
}
