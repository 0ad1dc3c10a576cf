//! Handles operators' commands.

use std::sync::Arc;

use adminapi::bill::{BillRow, BillsQuery, BillsReply};
use adminapi::entry::{CatalogueReply, EntryReply, EntrySummary, HeldBack, HistoryReply};
use adminapi::status::{MemberState, MemberStatus, StatusReply, Suspension};
use catalogue::edit::make_id;
use ledger::{Export, Row, Statement, Step};
use operators::command::{Command, Edit, ReplyTo};
use quality::Phase;
use types::prelude::*;

use super::Control;
use crate::shared::{Shared, lock};
use crate::systems::rollout::Task;

/// Author of the edits that roll-outs make.
const ROLLOUT_AUTHOR: &str = "rollout";

impl Control {
    /// Answers a command, or starts the work that will answer it.
    pub(super) fn command(&mut self, now: Time, command: Command) {
        match command {
            Command::Catalogue(reply) => reply.send(self.catalogue_reply()),
            Command::Entry(name, reply) => {
                let record = self.catalogue.catalogue().record(&name);
                reply.send(record.map(|record| EntryReply::from_record(&name, record)));
            }
            Command::History(name, reply) => {
                let record = self.catalogue.catalogue().record(&name);
                reply.send(record.map(|record| HistoryReply::from_record(&name, record)));
            }
            Command::Edit(edit, reply) => self.edit(now, edit, reply),
            Command::LiftSuspension(version, reply) => reply.send(self.lift(now, &version)),
            Command::EditState(id, reply) => self.catalogue.edit_state(now, id, reply),
            Command::Rollouts(reply) => {
                let catalogue = self.catalogue.catalogue();
                reply.send(self.rollouts.reply(now, &self.view, catalogue));
            }
            Command::Status(reply) => reply.send(self.status(now)),
            Command::Dump(reply) => reply.send(self.dump(now)),
            Command::Bills(query, reply) => self.bills(query, reply),
        }
    }

    fn edit(&mut self, now: Time, edit: Edit, reply: ReplyTo<operators::command::EditOutcome>) {
        tracing::info!(
            "catalogue: edit {} of {} by {}",
            edit.edit_id,
            edit.name,
            edit.author
        );
        self.shared.metrics.edits.inc();
        let at = self.shared.clock.wall();
        self.catalogue.edit(now, at, edit, reply);
    }

    /// Performs the tasks of the roll-outs' drivers.
    pub(super) fn perform_tasks(&mut self, now: Time, tasks: impl IntoIterator<Item = Task>) {
        for task in tasks {
            match task {
                Task::Store(ticket, request) => {
                    let purpose = crate::event::StoreUse::Rollout(ticket);
                    self.store_pool.call(purpose, request);
                }
                Task::Call(call) => self.outbound.call(call),
                Task::Edit(name, entry, revision) => {
                    let Ok(author) = OperatorName::new(ROLLOUT_AUTHOR) else {
                        continue;
                    };
                    let edit = Edit {
                        name,
                        entry: Some(entry),
                        if_match: Some(revision),
                        author,
                        edit_id: make_id(revision, &mut rand::rng()),
                    };
                    // The driver learns the outcome from the catalogue.
                    let (reply, _) = ReplyTo::new();
                    self.edit(now, edit, reply);
                }
            }
        }
    }

    fn catalogue_reply(&self) -> CatalogueReply {
        let catalogue = self.catalogue.catalogue();
        let records = catalogue.records();
        let entries = records.filter_map(|(name, r)| EntrySummary::from_record(name, r));
        let held_back = catalogue
            .rejected()
            .iter()
            .map(|(name, rejected)| HeldBack {
                name: name.clone(),
                revision: rejected.revision,
                problems: rejected.problems.iter().map(ToString::to_string).collect(),
            });
        CatalogueReply {
            revision: catalogue.revision(),
            entries: entries.collect(),
            held_back: held_back.collect(),
        }
    }

    fn status(&self, now: Time) -> StatusReply {
        let settings = &self.shared.settings;
        let sync = self.catalogue.sync();
        let revision = sync.catalogue().revision();
        let confirmed = sync.validated_at();
        let members = self.member_statuses(now);
        let live = members.iter().filter(|member| member.state.is_live());
        StatusReply {
            cluster: settings.cluster.clone(),
            daemon: settings.daemon.clone(),
            revision,
            in_force_everywhere: live.map(|m| m.revision).min().unwrap_or(revision),
            freshness_age: confirmed.map_or(now.since(Time::ZERO), |at| now.since(at)),
            store_reachable: sync.reach(now).reaches_store,
            members,
            suspended: self.suspended(),
            in_flight: self.shared.in_flight.count() as u64,
            bills_waiting: self.ledger.fill().own as u64,
        }
    }

    /// The status of every daemon, this one included, by its last report.
    fn member_statuses(&self, now: Time) -> Vec<MemberStatus> {
        let others = self.members.membership().members();
        let others = others.map(|member| (&member.record, member.heard_at));
        let me = (self.members.membership().local(), Some(now));
        let mut members: Vec<_> = std::iter::once(me).chain(others).collect();
        members.sort_by(|(a, _), (b, _)| a.id.cmp(&b.id));
        let revision = self.catalogue.catalogue().revision();
        let behind = self.catalogue.sync().in_force(now, revision).laggards;
        let status = members.into_iter().map(|(record, heard_at)| {
            let laggard = behind.iter().find(|laggard| laggard.daemon == record.id);
            let heard = heard_at.map_or(Span::ZERO, |at| now.since(at));
            let age = laggard.and_then(|laggard| laggard.heard);
            MemberStatus {
                daemon: record.id.clone(),
                failure_domain: record.failure_domain.clone(),
                state: state_of(record.state),
                revision: laggard.map_or(revision, |l| l.revision.unwrap_or_default()),
                report_age: age.unwrap_or(heard),
                behind_for: age,
            }
        });
        status.collect()
    }

    /// Lifts a version's suspension in every class that an offer has.
    fn lift(&self, now: Time, version: &VersionId) -> usize {
        let offers = self.view.offers.values();
        let classes: Vec<ClassName> = offers.map(|offer| offer.class.clone()).collect();
        let mut quality = lock(&self.shared.quality);
        let lifted = quality.lift_suspension(now, version, &classes, &mut rand::rng());
        tracing::info!(
            "quality: an operator lifted the suspension of {version} in {lifted} classes"
        );
        lifted
    }

    fn suspended(&self) -> Vec<Suspension> {
        let dump = lock(&self.shared.quality).dump();
        let streams = dump.streams.into_iter();
        let suspended = streams.filter(|stream| stream.phase == Phase::Suspended);
        let listed = suspended.map(|stream| Suspension {
            version: stream.version,
            class: Some(stream.class),
            ratings: stream.ratings as u64,
            adequate: (stream.ratings * stream.quality) as u64,
        });
        listed.collect()
    }

    /// The state of every part of the daemon.
    fn dump(&self, now: Time) -> serde_json::Value {
        let shared = &self.shared;
        serde_json::json!({
            "cluster": shared.settings.cluster,
            "daemon": shared.settings.daemon,
            "incarnation": shared.incarnation,
            "uptime": now.since(Time::ZERO),
            "readiness": format!("{:?}", self.readiness(self.view.revision)),
            "in_flight": {"requests": shared.in_flight.count(), "most": shared.settings.callers.max_in_flight},
            "events": {"waiting": shared.events.len(), "most": crate::event::MAX_WAITING_EVENTS},
            "catalogue": self.catalogue.dump(now),
            "ledger": self.ledger.fill(),
            "membership": self.members.dump(now),
            "rollouts": self.rollouts.dump(now),
            "quality": lock(&shared.quality).dump(),
            "barred": shared.quarantine.dump(now),
            "limits": self.dump_loads(),
            "claims": shared.claims.dump(now),
            "sessions": shared.sessions.dump(),
            "retries_left": shared.retries_left(),
        })
    }

    /// Reads bills from the store, on a thread that may block.
    fn bills(&self, query: BillsQuery, reply: ReplyTo<Result<BillsReply, String>>) {
        let shared = self.shared.clone();
        let answer = reply.clone();
        let is_started = self
            .outbound
            .run(move || answer.send(read_bills(&shared, query)));
        if !is_started {
            reply.send(Err("too many calls are under way".to_owned()));
        }
    }
}

fn state_of(state: membership::State) -> MemberState {
    match state {
        membership::State::Alive => MemberState::Alive,
        membership::State::Suspect => MemberState::Suspect,
        membership::State::Left => MemberState::Leaving,
        membership::State::Down => MemberState::Dead,
    }
}

fn read_bills(shared: &Arc<Shared>, query: BillsQuery) -> Result<BillsReply, String> {
    let prefix = crate::systems::ledger::prefix(&shared.settings.cluster);
    let since = query.since.unwrap_or_default();
    let until = query.until.unwrap_or_else(|| shared.clock.wall());
    let mut export = Export::new(&prefix, since, until);
    let mut request = export.start();
    loop {
        let outcome = shared.store.call(request);
        match export.on_store(outcome).map_err(|e| e.to_string())? {
            Step::Call(next) => request = next,
            Step::Done(statement) => return Ok(bills_reply(&statement)),
        }
    }
}

fn bills_reply(statement: &Statement) -> BillsReply {
    BillsReply {
        bills: statement.rows().map(bill_row).collect(),
        pending: statement.pending,
    }
}

fn bill_row(row: Row) -> BillRow {
    BillRow {
        hour: row.hour.start(),
        customer: row.customer,
        entry: row.entry,
        version: row.version,
        requests: row.requests,
        input_tokens: row.input_tokens,
        output_tokens: row.output_tokens,
        cost: row.cost,
        attempts: row.attempts,
    }
}
