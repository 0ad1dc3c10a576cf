//! Drives the roll-outs whose lease this daemon holds.
//!
//! There is one [`rollout::Driver`] for each model with a roll-out, and the engines' reports that
//! it asked for. The effects of a driver become tasks for the control thread; calls of engines and
//! of the weight store are made by threads that may block.

mod observations;

use std::collections::BTreeMap;
use std::sync::Arc;

use ::catalogue::entry::{Entry, Model, Rollout};
use ::catalogue::record::Catalogue;
use ::catalogue::view::{MODELS, View};
use ::quality::Dump;
use ::rollout::observed::Observed;
use ::rollout::{Config, Driver, Effect, Order, OrderKind};
use adminapi::rollout::{RolloutStatus, RolloutsReply};
use engine::LoadReport;
use keyvalue::Request;
use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use observations::Observations;

/// Number of daemons that stand by to drive a roll-out; more would only load the store.
const MAX_STANDBYS: usize = 3;

/// A task for the control thread.
#[derive(Debug)]
pub(crate) enum Task {
    /// Call the store; the outcome comes back with the ticket.
    Store(u64, Request),
    /// Write a model's entry, if it still has this revision.
    Edit(EntryName, Arc<Entry>, Revision),
    /// Call an engine or the weight store.
    Call(Call),
}

/// A call of an engine or of the weight store.
#[derive(Debug, Clone)]
pub(crate) enum Call {
    /// Read an engine's load report.
    Read(ModelName, UpstreamId, std::net::SocketAddr),
    /// Send an order to an engine.
    Order(ModelName, Order, std::net::SocketAddr),
    /// Ask the weight store for a slot to load a version.
    Permit(VersionId),
}

/// The result of a call.
#[derive(Debug)]
pub enum CallResult {
    /// An engine's load report.
    Report(ModelName, UpstreamId, LoadReport),
    /// An engine refused a load because it has no room.
    Full(ModelName, UpstreamId),
    /// The weight store gave a slot, or the pause before it may be asked again.
    Permit(ModelName, Result<(), Span>),
}

/// The drivers of roll-outs, by model.
pub(crate) struct Table {
    daemon: DaemonId,
    prefix: String,
    driven: BTreeMap<ModelName, DrivenRollout>,
    tickets: BTreeMap<u64, (ModelName, u64)>,
    last_ticket: u64,
    leaving: bool,
}

struct DrivenRollout {
    driver: Driver,
    observations: Observations,
    rank: Option<u32>,
}

impl Table {
    /// Creates a table without roll-outs.
    pub(crate) fn new(cluster: &ClusterName, daemon: &DaemonId) -> Self {
        Self {
            daemon: daemon.clone(),
            prefix: format!("/buckthorncross/{cluster}/rollouts/"),
            driven: BTreeMap::new(),
            tickets: BTreeMap::new(),
            last_ticket: 0,
            leaving: false,
        }
    }

    /// Runs the drivers of all roll-outs.
    pub(crate) fn tick(
        &mut self,
        now: Time,
        view: &View,
        catalogue: &Catalogue,
        members: &[DaemonId],
        quality: impl FnOnce() -> Dump,
    ) -> Vec<Task> {
        let has_rollout = |model: &&ModelName| view.models[*model].rollout.is_some();
        let models: Vec<ModelName> = view.models.keys().filter(has_rollout).cloned().collect();
        self.driven.retain(|model, _| models.contains(model));
        if models.is_empty() || self.leaving {
            return Vec::new();
        }
        let quality = quality();
        let mut tasks = Vec::new();
        for name in &models {
            self.ensure_driver(name, members);
            let effects = self.run_driver(now, name, view, catalogue, &quality);
            for effect in effects {
                tasks.extend(self.task(name, view, catalogue, effect));
            }
        }
        tasks
    }

    fn ensure_driver(&mut self, model: &ModelName, members: &[DaemonId]) {
        let rank = standby_rank(model, &self.daemon, members);
        let key = format!("{}{model}", self.prefix);
        let driven = self
            .driven
            .entry(model.clone())
            .or_insert_with(|| DrivenRollout {
                driver: Driver::new(key, self.daemon.clone(), Config::default()),
                observations: Observations::default(),
                rank,
            });
        driven.rank = rank;
    }

    fn run_driver(
        &mut self,
        now: Time,
        name: &ModelName,
        view: &View,
        catalogue: &Catalogue,
        quality: &Dump,
    ) -> Vec<Effect> {
        let model = &view.models[name];
        let (Some(driven), Some(rollout), Some(revision)) = (
            self.driven.get_mut(name),
            &model.rollout,
            revision_of(catalogue, name),
        ) else {
            return Vec::new();
        };
        driven.observations.set_upstreams(view.upstreams_of(name));
        driven.observations.note_served(now, name, rollout, quality);
        let engines = driven.observations.engines(now, name);
        let observed = Observed {
            model,
            revision,
            engines: &engines,
            evidence: observations::evidence(name, rollout, quality),
            demand: driven.observations.demand(now),
            standby_rank: driven.rank,
        };
        driven.driver.tick(now, &observed)
    }

    fn task(
        &mut self,
        name: &ModelName,
        view: &View,
        catalogue: &Catalogue,
        effect: Effect,
    ) -> Option<Task> {
        let address = |id: &UpstreamId| {
            let upstreams = view.upstreams_of(name).iter();
            upstreams.clone().find(|u| u.id == *id).map(|u| u.address)
        };
        match effect {
            Effect::Store(call) => Some(self.store_task(name, call.number, call.request)),
            Effect::Read(id) => {
                let address = address(&id)?;
                Some(Task::Call(Call::Read(name.clone(), id, address)))
            }
            Effect::Order(order) => {
                let address = address(&order.engine)?;
                tracing::info!("rollout: {}", describe_order(name, &order));
                Some(Task::Call(Call::Order(name.clone(), order, address)))
            }
            Effect::RequestPermit(version) => {
                let version = VersionId::new(name.clone(), version);
                Some(Task::Call(Call::Permit(version)))
            }
            Effect::Edit { model, if_match } => edit_task(name, catalogue, *model, if_match),
        }
    }

    fn store_task(&mut self, name: &ModelName, number: u64, request: Request) -> Task {
        self.last_ticket += 1;
        self.tickets
            .insert(self.last_ticket, (name.clone(), number));
        Task::Store(self.last_ticket, request)
    }

    /// Gives up every lease and requests no more: the daemon is leaving.
    pub(crate) fn leave(&mut self, now: Time) -> Vec<Task> {
        let driven = std::mem::take(&mut self.driven);
        self.leaving = true;
        let mut tasks = Vec::new();
        for (name, mut driven) in driven {
            if let Some(Effect::Store(call)) = driven.driver.release_lease(now) {
                tasks.push(self.store_task(&name, call.number, call.request));
            }
        }
        tasks
    }

    /// Handles the outcome of a store call; returns the call that follows, if any.
    pub(crate) fn on_store(
        &mut self,
        now: Time,
        ticket: u64,
        outcome: keyvalue::Outcome,
    ) -> Option<Task> {
        let (name, number) = self.tickets.remove(&ticket)?;
        let driven = self.driven.get_mut(&name)?;
        let effect = driven
            .driver
            .on_store_outcome(now, number, outcome, driven.rank);
        match effect? {
            Effect::Store(call) => Some(self.store_task(&name, call.number, call.request)),
            _ => None,
        }
    }

    /// Handles the result of a call of an engine or of the weight store.
    pub(crate) fn on_called(&mut self, now: Time, called: CallResult) {
        let name = match &called {
            CallResult::Report(name, ..)
            | CallResult::Full(name, _)
            | CallResult::Permit(name, _) => name,
        };
        let Some(driven) = self.driven.get_mut(name) else {
            return;
        };
        match called {
            CallResult::Report(_, id, report) => driven.observations.report(now, id, report),
            CallResult::Full(_, id) => driven.observations.full(now, id),
            CallResult::Permit(_, answer) => driven.driver.on_permit(now, answer),
        }
    }

    /// The status of all roll-outs, for operators.
    pub(crate) fn reply(&self, now: Time, view: &View, catalogue: &Catalogue) -> RolloutsReply {
        let models = view.models.iter();
        let rollouts = models.filter_map(|(name, model)| {
            let rollout = model.rollout.as_ref()?;
            self.status(now, name, rollout, revision_of(catalogue, name)?)
        });
        RolloutsReply {
            rollouts: rollouts.collect(),
        }
    }

    fn status(
        &self,
        now: Time,
        name: &ModelName,
        rollout: &Rollout,
        revision: Revision,
    ) -> Option<RolloutStatus> {
        let driven = self.driven.get(name);
        let driver = driven.map(|driven| &driven.driver);
        let held = driver.and_then(|driver| driver.held(now));
        Some(RolloutStatus {
            model: name.clone(),
            rollout: rollout.clone(),
            revision,
            driver: driver.and_then(|driver| driver.holder()).cloned(),
            fencing: held.map(|hold| hold.fencing),
            upstreams: driven
                .map_or_else(Default::default, |d| d.observations.counts(name, rollout)),
            waiting_for: driver
                .and_then(|driver| driver.waiting())
                .map(ToString::to_string),
        })
    }

    /// The table's state, for the dump.
    pub(crate) fn dump(&self, now: Time) -> serde_json::Value {
        let driven = self.driven.iter().map(|(name, driven)| {
            let held = driven.driver.held(now);
            let state = serde_json::json!({
                "rank": driven.rank,
                "driver": driven.driver.holder(),
                "fencing": held.map(|hold| hold.fencing),
                "lease_left": held.map(|hold| now.until(hold.deadline)),
                "waits_for": driven.driver.waiting().map(ToString::to_string),
                "engines": driven.observations.dump(now),
            });
            (name.to_string(), state)
        });
        serde_json::Value::Object(driven.collect())
    }
}

fn revision_of(catalogue: &Catalogue, model: &ModelName) -> Option<Revision> {
    let name = EntryName::new(&format!("{MODELS}{model}")).ok()?;
    Some(catalogue.record(&name)?.revision)
}

/// The edit of a model's entry that a driver asks for.
fn edit_task(
    name: &ModelName,
    catalogue: &Catalogue,
    model: Model,
    if_match: Revision,
) -> Option<Task> {
    let name = EntryName::new(&format!("{MODELS}{name}")).ok()?;
    let owner = catalogue.entry(&name)?.owner.clone();
    let body = ::catalogue::entry::Body::Model(model);
    Some(Task::Edit(name, Arc::new(Entry { owner, body }), if_match))
}

fn describe_order(model: &ModelName, order: &Order) -> String {
    let verb = match order.kind {
        OrderKind::Load => "load",
        OrderKind::Unload => "unload",
    };
    let (engine, version, fencing) = (&order.engine, &order.version, order.fencing);
    format!("order to {engine}: {verb} {model}@{version}, fencing token {fencing}")
}

/// This daemon's place in a roll-out's standby order, if it is one of the standbys. All daemons
/// compute the same order, which differs from model to model.
fn standby_rank(model: &ModelName, me: &DaemonId, members: &[DaemonId]) -> Option<u32> {
    let weight = |daemon: &DaemonId| xxh3_64(format!("{model} {daemon}").as_bytes());
    let mine = weight(me);
    let ahead = members.iter().filter(|daemon| weight(daemon) > mine);
    let ahead = ahead.count();
    (ahead < MAX_STANDBYS).then(|| u32::try_from(ahead).unwrap_or(u32::MAX))
}
